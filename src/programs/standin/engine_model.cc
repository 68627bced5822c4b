#include "programs/standin/engine_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpethatch::standin {
namespace {

// Tolerance for rounding errors, because positions are sums of fractions.
constexpr double kTokenTolerance = 1e-6;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      std::ceil(static_cast<double>(duration.count()) * factor)));
}

}  // namespace

EngineModel::EngineModel(const EngineModelOptions& options,
                         uint64_t version,
                         TimePoint now)
    : options_(options),
      version_(version),
      now_(now),
      cache_(options.cached_prefixes) {}

void EngineModel::Submit(SequenceId id, SequenceSpec spec, TimePoint now) {
  Advance(now);
  Sequence& sequence = sequences_[id];
  sequence.tokens = spec.first_token;
  sequence.position = spec.first_token;
  sequence.spec = std::move(spec);
  queue_.push_back(id);
  AdmitWaiting();
}

void EngineModel::Remove(SequenceId id, TimePoint now) {
  Advance(now);
  sequences_.erase(id);
  std::erase(running_, id);
  std::erase(queue_, id);
  AdmitWaiting();
}

void EngineModel::SetVersion(uint64_t version, TimePoint now) {
  Advance(now);
  version_ = version;
}

void EngineModel::SetPaused(bool paused, TimePoint now) {
  Advance(now);
  paused_ = paused;
}

void EngineModel::Advance(TimePoint now) {
  for (TimePoint event = NextEvent(); event <= now; event = NextEvent()) {
    AdvanceBy(event - now_);
    std::erase_if(running_,
                  [this](SequenceId id) { return sequences_[id].finished(); });
    AdmitWaiting();
  }
  if (now > now_) {
    AdvanceBy(now - now_);
  }
}

TimePoint EngineModel::NextEvent() const {
  if (paused_ || running_.empty()) {
    return TimePoint::max();
  }
  TimePoint next = TimePoint::max();
  for (const SequenceId id : running_) {
    const Sequence& sequence = sequences_.at(id);
    const double remaining_tokens = sequence.spec.end_token - sequence.position;
    const Duration wait =
        sequence.remaining_prefill > Duration::zero()
            ? sequence.remaining_prefill
            : Scale(TokenTime(), std::max(remaining_tokens, 0.0));
    next = std::min(next, now_ + wait);
  }
  return next;
}

const Sequence* EngineModel::Find(SequenceId id) const {
  const auto found = sequences_.find(id);
  return found == sequences_.end() ? nullptr : &found->second;
}

Duration EngineModel::TokenTime() const {
  const double occupancy = static_cast<double>(running_.size() - 1) /
                           std::max<double>(options_.slots - 1, 1);
  return Scale(options_.token_interval, 1 + options_.slowdown * occupancy);
}

void EngineModel::AdvanceBy(Duration elapsed) {
  now_ += elapsed;
  if (paused_) {
    return;
  }
  for (const SequenceId id : running_) {
    Sequence& sequence = sequences_[id];
    const Duration prefill = std::min(elapsed, sequence.remaining_prefill);
    sequence.remaining_prefill -= prefill;
    AddTokens(sequence, elapsed - prefill);
  }
}

void EngineModel::AddTokens(Sequence& sequence, Duration elapsed) {
  sequence.position += static_cast<double>(elapsed.count()) /
                       static_cast<double>(TokenTime().count());
  const auto tokens =
      std::min(static_cast<uint32_t>(sequence.position + kTokenTolerance),
               sequence.spec.end_token);
  if (tokens <= sequence.tokens) {
    return;
  }
  if (sequence.ranges.empty() || sequence.ranges.back().version != version_) {
    sequence.ranges.push_back({version_, sequence.tokens, tokens});
  }
  sequence.ranges.back().end_token = tokens;
  sequence.tokens = tokens;
}

void EngineModel::AdmitWaiting() {
  while (!queue_.empty() && running_.size() < options_.slots) {
    const SequenceId id = queue_.front();
    queue_.pop_front();
    Sequence& sequence = sequences_[id];
    const SequenceSpec& spec = sequence.spec;
    const size_t cached = cache_.LookupAndInsert(spec.prefix_blocks);
    const double uncached_share =
        spec.prefix_blocks.empty()
            ? 1.0
            : 1.0 - static_cast<double>(cached) /
                        static_cast<double>(spec.prefix_blocks.size());
    // A resumed stream without its KV cache recomputes its generated tokens.
    const double tokens =
        uncached_share * spec.prompt_tokens + spec.first_token;
    sequence.remaining_prefill =
        spec.has_kv_cache ? Duration::zero()
                          : Scale(options_.prefill_per_token, tokens);
    sequence.admitted = true;
    running_.push_back(id);
  }
}

}  // namespace limpethatch::standin
