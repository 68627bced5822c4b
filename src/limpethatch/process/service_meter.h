// Request counts and duration quantiles of one service.
#ifndef LIMPETHATCH_PROCESS_SERVICE_METER_H_
#define LIMPETHATCH_PROCESS_SERVICE_METER_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

#include "limpethatch/process/burn_meter.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

struct DurationSummary {
  uint64_t count = 0;  // Since the start.
  double sum_s = 0;    // Since the start.
  // Of the last complete minute, or of the first one while it lasts; 0 if
  // there are too few values.
  double median_s = 0;
  double p99_s = 0;
};

// Thread-safe. Counts are exact, but a request that finds the distribution
// locked is omitted from the quantiles, so that no request waits.
class ServiceMeter {
 public:
  static constexpr Duration kQuantileWindow = std::chrono::minutes(1);

  explicit ServiceMeter(TimePoint now);
  ~ServiceMeter();

  void Count(RequestOutcome outcome, Duration duration, TimePoint now);

  TimePoint created_at() const { return created_at_; }
  OutcomeCounts counts() const;
  DurationSummary Durations() const;

 private:
  struct Distribution;

  const TimePoint created_at_;
  std::array<std::atomic<uint64_t>, kRequestOutcomeCount> counts_{};
  std::atomic<uint64_t> sum_us_{0};
  std::unique_ptr<Distribution> distribution_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_SERVICE_METER_H_
