#include "limpethatch/request/hedging/hedge_delay.h"

#include <algorithm>
#include <iterator>

namespace limpethatch {
namespace {

constexpr size_t kSamplesPerComputation = 16;
constexpr Duration kMaxFigureAge = std::chrono::seconds(1);
constexpr double kMedian = 0.5;

Duration Quantile(std::vector<Duration>& latencies, double quantile) {
  const auto rank = std::min(
      latencies.size() - 1,
      static_cast<size_t>(quantile * static_cast<double>(latencies.size())));
  const auto position =
      std::next(latencies.begin(), static_cast<std::ptrdiff_t>(rank));
  std::nth_element(latencies.begin(), position, latencies.end());
  return *position;
}

}  // namespace

void HedgeDelay::Add(Duration latency, TimePoint now) {
  ++samples_since_;
  if (samples_.size() < kMaxSamples) {
    samples_.push_back({now, latency});
    return;
  }
  samples_[oldest_] = {now, latency};
  oldest_ = (oldest_ + 1) % kMaxSamples;
}

std::optional<HedgeDelay::Figures> HedgeDelay::Get(TimePoint now) {
  if (samples_since_ >= kSamplesPerComputation ||
      now - computed_at_ >= kMaxFigureAge) {
    figures_ = Compute(now);
    samples_since_ = 0;
    computed_at_ = now;
  }
  return figures_;
}

std::optional<HedgeDelay::Figures> HedgeDelay::Compute(TimePoint now) const {
  std::vector<Duration> latencies;
  latencies.reserve(samples_.size());
  for (const Sample& sample : samples_) {
    if (now - sample.at <= kMaxAge) {
      latencies.push_back(sample.latency);
    }
  }
  if (latencies.size() < kMinSamples) {
    return std::nullopt;
  }
  return Figures{.delay = Quantile(latencies, kQuantile),
                 .median = Quantile(latencies, kMedian)};
}

}  // namespace limpethatch
