#include "limpethatch/version/engine_table.h"

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// Weight of the newest gap in the smoothed event gap.
constexpr double kGapWeight = 0.2;
// Weight of the newest gap in the usual event gap.
constexpr double kUsualGapWeight = 0.02;
constexpr size_t kFastShareDivisor = 4;

Duration Smoothed(Duration average, Duration newest, double weight) {
  return average +
         std::chrono::duration_cast<Duration>((newest - average) * weight);
}

// The `position` of `gaps`, in ascending order.
Duration NthGap(std::vector<Duration> gaps, size_t position) {
  const auto nth = gaps.begin() + static_cast<std::ptrdiff_t>(position);
  std::nth_element(gaps.begin(), nth, gaps.end());
  return *nth;
}

}  // namespace

uint64_t EngineState::ServableVersion(std::string_view model,
                                      TimePoint now) const {
  const auto found = models.find(model);
  if (found == models.end() || now < found->second.paused_until) {
    return 0;
  }
  const EngineModel& held = found->second;
  return held.loading_version != 0 ? held.loading_version : held.version;
}

bool EngineState::IsFailing(TimePoint now) const {
  return failing_since && now - *failing_since >= EngineTable::kMinOutage;
}

void EngineTable::Announce(const wire::TargetRecord& record) {
  if (record.gone() || record.draining() || record.weights().empty()) {
    Drop(record.id());
    return;
  }
  Endpoint address;
  if (!ParseEndpoint(record.address(), &address)) {
    return;
  }
  EngineState& engine = engines_[record.id()];
  if (engine.born_ms != record.born_ms()) {
    // The runs of the former incarnation have ended. Their counts are released
    // when each of them is reported as ended.
    engine.models.clear();
    engine.event_gap = {};
    engine.usual_event_gap = {};
    engine.observed_gaps = 0;
    engine.backoff_until = {};
    engine.backoff = {};
    engine.failing_since.reset();
    engine.faulty_until = {};
  }
  engine.id = record.id();
  engine.address = address;
  engine.service = record.service();
  engine.zone = record.zone();
  engine.software_version = record.software_version();
  engine.slots = std::max<uint32_t>(record.slots(), 1);
  engine.born_ms = record.born_ms();
  if (const auto tokens = cache_tokens_.find(record.service());
      tokens != cache_tokens_.end()) {
    engine.cache_tokens = tokens->second;
  }
  for (const wire::ModelWeights& weights : record.weights()) {
    EngineModel& model = engine.models[weights.model()];
    model.announced_version = weights.version();
    model.version = std::max(model.version, weights.version());
    if (model.loading_version != 0 && model.version >= model.loading_version) {
      model.loading_version = 0;
      model.paused_until = {};
    }
  }
}

void EngineTable::Drop(std::string_view id) {
  if (const auto found = engines_.find(id); found != engines_.end()) {
    engines_.erase(found);
  }
}

void EngineTable::SetCacheTokens(const std::string& service, uint64_t tokens) {
  cache_tokens_[service] = tokens;
  for (auto& [id, engine] : engines_) {
    if (engine.service == service) {
      engine.cache_tokens = tokens;
    }
  }
}

EngineState* EngineTable::Find(std::string_view id) {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

void EngineTable::SetNewestVersions(
    const std::map<std::string, uint64_t>& versions) {
  newest_versions_ = versions;
}

bool EngineTable::ConfirmVersion(std::string_view id,
                                 std::string_view model,
                                 uint64_t version) {
  EngineState* engine = Find(id);
  if (!engine) {
    return true;
  }
  const auto found = engine->models.find(model);
  if (found == engine->models.end()) {
    return true;
  }
  EngineModel& held = found->second;
  const auto newest = newest_versions_.find(found->first);
  if (version > held.announced_version &&
      (newest == newest_versions_.end() || version > newest->second)) {
    return false;
  }
  if (version < held.version) {
    return true;
  }
  held.version = version;
  if (version >= held.loading_version) {
    held.loading_version = 0;
  }
  return true;
}

void EngineTable::RefuteVersion(std::string_view id,
                                std::string_view model,
                                uint64_t version) {
  EngineState* engine = Find(id);
  if (!engine) {
    return;
  }
  if (const auto found = engine->models.find(model);
      found != engine->models.end() && found->second.version == version) {
    found->second.version = found->second.announced_version;
  }
}

void EngineTable::RecordFailure(std::string_view id, TimePoint now) {
  EngineState* engine = Find(id);
  if (!engine || now < engine->backoff_until) {
    return;
  }
  engine->backoff = engine->backoff == Duration::zero()
                        ? kInitialBackoff
                        : std::min(2 * engine->backoff, kMaxBackoff);
  engine->backoff_until = now + engine->backoff;
  if (!engine->failing_since) {
    engine->failing_since = now;
  }
}

void EngineTable::RecordFault(std::string_view id, TimePoint now) {
  if (EngineState* engine = Find(id)) {
    engine->faulty_until = now + kFaultPause;
  }
}

void EngineTable::RecordSuccess(std::string_view id) {
  if (EngineState* engine = Find(id)) {
    engine->backoff = {};
    engine->backoff_until = {};
    engine->failing_since.reset();
  }
}

void EngineTable::RecordContact(std::string_view id) {
  if (EngineState* engine = Find(id)) {
    engine->failing_since.reset();
  }
}

void EngineTable::ObserveEventGap(std::string_view id, Duration gap) {
  EngineState* engine = Find(id);
  if (!engine) {
    return;
  }
  engine->observed_gaps = std::min(engine->observed_gaps + 1, kMinObservedGaps);
  if (engine->event_gap == Duration::zero()) {
    engine->event_gap = gap;
    engine->usual_event_gap = gap;
    return;
  }
  engine->event_gap = Smoothed(engine->event_gap, gap, kGapWeight);
  // The plain mean at first, so that the first gap does not dominate.
  engine->usual_event_gap = Smoothed(engine->usual_event_gap, gap,
                                     engine->observed_gaps < kMinObservedGaps
                                         ? 1.0 / engine->observed_gaps
                                         : kUsualGapWeight);
}

Duration EngineTable::MedianEventGap(std::string_view service) const {
  std::vector<Duration> gaps;
  for (const auto& [id, engine] : engines_) {
    if (engine.service == service && engine.event_gap > Duration::zero()) {
      gaps.push_back(engine.event_gap);
    }
  }
  const size_t middle = gaps.size() / 2;
  return gaps.empty() ? Duration{} : NthGap(std::move(gaps), middle);
}

Duration EngineTable::FastEventGap(std::string_view service) const {
  std::vector<Duration> gaps;
  for (const auto& [id, engine] : engines_) {
    if (engine.service == service && engine.observed_gaps >= kMinObservedGaps) {
      gaps.push_back(engine.usual_event_gap);
    }
  }
  const size_t position = gaps.size() / kFastShareDivisor;
  return gaps.empty() ? Duration{} : NthGap(std::move(gaps), position);
}

double EngineTable::Slowness(const EngineState& engine,
                             Duration fast_event_gap) {
  if (fast_event_gap == Duration::zero() ||
      engine.observed_gaps < kMinObservedGaps) {
    return 1.0;
  }
  const double slowness =
      std::chrono::duration<double>(engine.usual_event_gap) /
      std::chrono::duration<double>(fast_event_gap);
  return slowness >= kUnevenSlowness ? slowness : 1.0;
}

}  // namespace limpethatch
