#include "limpethatch/process/service_meter.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>
#include <vector>

namespace limpethatch {
namespace {

namespace accumulators = boost::accumulators;

using Quantiles = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::extended_p_square>>;

constexpr std::array<double, 2> kProbabilities{0.5, 0.99};

constexpr double kMicrosecondsPerSecond = 1e6;

Quantiles NewQuantiles() {
  return Quantiles(accumulators::extended_p_square_probabilities =
                       kProbabilities);
}

// The estimator's markers are not meaningful with fewer values.
constexpr size_t kMinQuantileSamples = 7;

}  // namespace

struct ServiceMeter::Distribution {
  void Rotate(TimePoint now) {
    if (now - began_at < kQuantileWindow) {
      return;
    }
    // If a whole window passed without requests, no complete one is available.
    previous = now - began_at < 2 * kQuantileWindow ? current : NewQuantiles();
    current = NewQuantiles();
    began_at = now;
  }

  std::mutex mutex;
  TimePoint began_at{};
  Quantiles current = NewQuantiles();
  Quantiles previous = NewQuantiles();
};

ServiceMeter::ServiceMeter(TimePoint now)
    : created_at_(now), distribution_(std::make_unique<Distribution>()) {}

ServiceMeter::~ServiceMeter() = default;

void ServiceMeter::Count(RequestOutcome outcome,
                         Duration duration,
                         TimePoint now) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  counts_[static_cast<size_t>(outcome)].fetch_add(1, std::memory_order_relaxed);
  sum_us_.fetch_add(static_cast<uint64_t>(us), std::memory_order_relaxed);
  if (const std::unique_lock lock(distribution_->mutex, std::try_to_lock);
      lock.owns_lock()) {
    distribution_->Rotate(now);
    distribution_->current(static_cast<double>(us) / kMicrosecondsPerSecond);
  }
}

OutcomeCounts ServiceMeter::counts() const {
  OutcomeCounts counts{};
  for (size_t i = 0; i < counts.size(); ++i) {
    counts[i] = counts_[i].load(std::memory_order_relaxed);
  }
  return counts;
}

DurationSummary ServiceMeter::Durations() const {
  DurationSummary summary;
  const OutcomeCounts counted = counts();
  summary.count = GoodCount(counted) + BadCount(counted);
  summary.sum_s = static_cast<double>(sum_us_.load(std::memory_order_relaxed)) /
                  kMicrosecondsPerSecond;
  const std::lock_guard lock(distribution_->mutex);
  const Quantiles& shown =
      accumulators::count(distribution_->previous) >= kMinQuantileSamples
          ? distribution_->previous
          : distribution_->current;
  if (accumulators::count(shown) >= kMinQuantileSamples) {
    const auto quantiles = accumulators::extended_p_square(shown);
    summary.median_s = quantiles[0];
    summary.p99_s = quantiles[1];
  }
  return summary;
}

}  // namespace limpethatch
