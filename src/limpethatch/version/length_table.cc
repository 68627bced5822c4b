#include "limpethatch/version/length_table.h"

#include <algorithm>
#include <cmath>

namespace limpethatch {
namespace {

// Limits the weight of old samples: from this number on, the mean is an
// exponential moving average.
constexpr uint32_t kMaxMeanSamples = 64;

// At this number, the weight of all earlier samples is halved.
constexpr uint32_t kMaxSpreadSamples = 8192;

}  // namespace

void LengthEstimate::Add(double tokens) {
  samples = std::min(samples + 1, kMaxMeanSamples);
  const double log_tokens = std::log(std::max(tokens, 1.0));
  mean_log_tokens += (log_tokens - mean_log_tokens) / samples;
}

void LengthEstimate::Merge(const LengthEstimate& other) {
  if (other.samples == 0) {
    return;
  }
  const double weight = static_cast<double>(other.samples) /
                        static_cast<double>(samples + other.samples);
  mean_log_tokens += (other.mean_log_tokens - mean_log_tokens) * weight;
  samples = std::min(samples + other.samples, kMaxMeanSamples);
}

LengthSpread::LengthSpread(const wire::LengthSpreadSnapshot& saved)
    : samples_(saved.samples()),
      mean_(saved.mean()),
      squares_(saved.squares()),
      pairs_(saved.pairs()),
      like_squares_(saved.like_squares()),
      tells_(saved.tells()) {}

wire::LengthSpreadSnapshot LengthSpread::Save() const {
  wire::LengthSpreadSnapshot saved;
  saved.set_samples(samples_);
  saved.set_mean(mean_);
  saved.set_squares(squares_);
  saved.set_pairs(pairs_);
  saved.set_like_squares(like_squares_);
  saved.set_tells(tells_);
  return saved;
}

void LengthSpread::Add(double tokens, const LengthEstimate& same_prompt) {
  if (samples_ >= kMaxSpreadSamples) {
    samples_ /= 2;
    squares_ /= 2;
    pairs_ /= 2;
    like_squares_ /= 2;
  }
  const double log_tokens = std::log(std::max(tokens, 1.0));
  // Welford's running variance (Technometrics, 1962).
  ++samples_;
  const double deviation = log_tokens - mean_;
  mean_ += deviation / samples_;
  squares_ += deviation * (log_tokens - mean_);
  if (same_prompt.samples == 0) {
    return;
  }
  // The mean of n samples of the prompt itself deviates by 1/n of the variance,
  // which the factor n / (n + 1) corrects.
  ++pairs_;
  const double prompt_deviation = log_tokens - same_prompt.mean_log_tokens;
  like_squares_ += prompt_deviation * prompt_deviation * same_prompt.samples /
                   (same_prompt.samples + 1.0);
  const double total_variance = squares_ / samples_;
  if (pairs_ >= kMinPairs && total_variance > 0) {
    const double explained_share = 1 - like_squares_ / pairs_ / total_variance;
    tells_ = explained_share > (tells_ ? kUnpredictiveBelow : kPredictiveAbove);
  }
}

void LengthTable::Merge(uint64_t prompt, const LengthEstimate& length) {
  const auto [found, added] = lengths_.try_emplace(prompt);
  found->second.Merge(length);
  if (!added) {
    return;
  }
  order_.push_back(prompt);
  if (order_.size() > kMaxPrompts) {
    lengths_.erase(order_.front());
    order_.pop_front();
  }
}

LengthEstimate LengthTable::Find(uint64_t prompt) const {
  const auto found = lengths_.find(prompt);
  return found == lengths_.end() ? LengthEstimate{} : found->second;
}

void LengthTable::Save(wire::StepLedgerSnapshot& snapshot) const {
  for (const auto prompt : order_) {
    const auto& length = lengths_.at(prompt);
    auto& saved = *snapshot.add_lengths();
    saved.set_prompt(prompt);
    saved.set_samples(length.samples);
    saved.set_mean_log_tokens(length.mean_log_tokens);
  }
}

void LengthTable::Load(const wire::StepLedgerSnapshot& snapshot) {
  lengths_.clear();
  order_.clear();
  for (const auto& saved : snapshot.lengths()) {
    lengths_[saved.prompt()] = {saved.samples(), saved.mean_log_tokens()};
    order_.push_back(saved.prompt());
  }
}

}  // namespace limpethatch
