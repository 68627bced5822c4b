#include "limpethatch/request/silence_detector.h"

#include <algorithm>
#include <cmath>

namespace limpethatch {
namespace {

constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationMultiplier = 8;
constexpr double kDropBackoffFactor = 1.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// Starts from the maximum timeout until samples are available.
SilenceDetector::SilenceDetector(SilenceOptions options)
    : options_(options),
      mean_s_(Seconds(options.max_timeout)),
      deviation_s_(0) {}

// Concurrent updates may lose a sample, which is harmless.
void SilenceDetector::OnProgress(Duration gap) {
  const double mean = mean_s_.load(std::memory_order_relaxed);
  const double deviation = deviation_s_.load(std::memory_order_relaxed);
  const double error = Seconds(gap) - mean;
  deviation_s_.store(deviation + kDeviationGain * (std::abs(error) - deviation),
                     std::memory_order_relaxed);
  mean_s_.store(mean + kMeanGain * error, std::memory_order_relaxed);
}

void SilenceDetector::OnDrop() {
  const double mean = mean_s_.load(std::memory_order_relaxed);
  mean_s_.store(
      std::min(mean * kDropBackoffFactor, Seconds(options_.max_timeout)),
      std::memory_order_relaxed);
}

Duration SilenceDetector::progress_deadline() const {
  const std::chrono::duration<double> learned(
      mean_s_.load(std::memory_order_relaxed) +
      kDeviationMultiplier * deviation_s_.load(std::memory_order_relaxed));
  const std::chrono::duration<double> max_timeout(options_.max_timeout);
  return std::max(options_.min_timeout, std::chrono::duration_cast<Duration>(
                                            std::min(learned, max_timeout)));
}

SilenceAction SilenceDetector::Evaluate(const SilentCall& call) const {
  if (!call.idempotent || call.silent_for < progress_deadline()) {
    return SilenceAction::kWait;
  }
  switch (call.probe) {
    case ProbeState::kNone:
      return SilenceAction::kProbe;
    case ProbeState::kAnswered:
    case ProbeState::kFailed:
      return SilenceAction::kDropConnection;
    case ProbeState::kPending:
      break;
  }
  return call.since_probe >= options_.probe_timeout
             ? SilenceAction::kDropConnection
             : SilenceAction::kWait;
}

}  // namespace limpethatch
