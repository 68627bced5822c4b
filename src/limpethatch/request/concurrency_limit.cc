#include "limpethatch/request/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace limpethatch {
namespace {

constexpr Duration kMinWindow = std::chrono::milliseconds(100);
// Window length in latencies: long enough that calls started under the previous
// limit have ended.
constexpr double kWindowLatencies = 1.5;
constexpr uint32_t kMinSamples = 15;
constexpr double kMaxLatencyRatio = 1.6;
constexpr double kMaxFailureShare = 0.05;
// The limit is multiplied by kMaxLatencyRatio / latency ratio, clamped to
// these.
constexpr double kSmallestDecreaseFactor = 0.9;
constexpr double kLargestDecreaseFactor = 0.7;
// The limit is raised only if it delayed more than this share of the calls.
constexpr double kMinLimitedShare = 0.2;
constexpr double kIncreaseFactor = 1.05;
constexpr double kBestLatencyGrowthPerWindow = 1.002;
constexpr double kSmoothingGain = 0.05;
constexpr double kDeviationMultiplier = 3;
constexpr int kMaxLatencyMultiple = 3;

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : options_(options), limit_(options.initial) {}

void ConcurrencyLimit::OnEnd(RequestClass request_class,
                             CallOutcome outcome,
                             Duration latency,
                             bool limit_reached,
                             TimePoint now) {
  if (outcome == CallOutcome::kCancelled) {
    return;
  }
  ++ended_;
  limited_calls_ += limit_reached;
  if (outcome == CallOutcome::kFailed) {
    ++failed_;
  } else {
    AddSample(windows_[static_cast<size_t>(request_class)],
              std::chrono::duration<double>(latency).count());
  }
  if (now >= window_end_ && ended_ >= kMinSamples) {
    CloseWindow(now);
  }
}

Duration ConcurrencyLimit::latency(RequestClass request_class) const {
  const ClassWindow& window = windows_[static_cast<size_t>(request_class)];
  const double expected_s =
      window.best_s > 0
          ? std::min(window.smoothed_s, kMaxLatencyRatio * window.best_s)
          : window.smoothed_s;
  return ToDuration(expected_s);
}

Duration ConcurrencyLimit::tail_latency(RequestClass request_class) const {
  const ClassWindow& window = windows_[static_cast<size_t>(request_class)];
  const Duration expected = latency(request_class);
  return std::min(
      expected + ToDuration(kDeviationMultiplier * window.deviation_s),
      kMaxLatencyMultiple * expected);
}

void ConcurrencyLimit::AddSample(ClassWindow& window, double latency_s) {
  window.sum_s += latency_s;
  ++window.samples;
  ++window.total_samples;
  const double gain = std::max(kSmoothingGain, 1.0 / window.total_samples);
  const double error_s = latency_s - window.smoothed_s;
  window.smoothed_s += gain * error_s;
  if (window.total_samples > 1) {
    window.deviation_s += gain * (std::abs(error_s) - window.deviation_s);
  }
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  double latency_ratio = 0;
  double weight = 0;
  double longest_s = 0;
  for (ClassWindow& window : windows_) {
    const double samples = window.samples;
    latency_ratio += samples * LatencyRatio(window);
    weight += samples;
    if (samples > 0) {
      longest_s = std::max(longest_s, window.smoothed_s);
    }
  }
  latency_ratio = weight > 0 ? latency_ratio / weight : 0;
  const bool failing = failed_ > kMaxFailureShare * ended_;
  if (failing || latency_ratio > kMaxLatencyRatio) {
    limit_ = limit();
    const double decrease_factor =
        std::min(kSmallestDecreaseFactor, kMaxLatencyRatio / latency_ratio);
    limit_ =
        std::max(options_.minimum,
                 limit_ * std::max(decrease_factor, kLargestDecreaseFactor));
  } else if (limited_calls_ > kMinLimitedShare * ended_) {
    limit_ = std::min(options_.maximum,
                      std::max(limit_ + 1, limit_ * kIncreaseFactor));
  }
  ended_ = 0;
  failed_ = 0;
  limited_calls_ = 0;
  window_end_ =
      now + std::max(kMinWindow, ToDuration(kWindowLatencies * longest_s));
}

double ConcurrencyLimit::LatencyRatio(ClassWindow& window) {
  if (window.samples == 0) {
    return 0;
  }
  const double mean_s = window.sum_s / window.samples;
  window.sum_s = 0;
  window.samples = 0;
  const double best_s = window.best_s * kBestLatencyGrowthPerWindow;
  window.best_s =
      best_s == 0 ? window.smoothed_s : std::min(best_s, window.smoothed_s);
  return window.best_s > 0 ? mean_s / window.best_s : 1;
}

}  // namespace limpethatch
