// Adaptive concurrency limit: estimates how many requests from this instance a
// service's targets can run before more of them only add queueing delay.
#ifndef LIMPETHATCH_REQUEST_CONCURRENCY_LIMIT_H_
#define LIMPETHATCH_REQUEST_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/target_stats.h"

namespace limpethatch {

struct ConcurrencyLimitOptions {
  double initial = 16;
  double minimum = 1;
  double maximum = 4096;
};

// Raises the limit while it is reached and latency stays near its observed
// minimum; lowers it when latency grows or calls fail. Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options);

  // Records the end of a call. `limit_reached` tells whether requests had to
  // wait since the previous call.
  void OnEnd(RequestClass request_class,
             CallOutcome outcome,
             Duration latency,
             bool limit_reached,
             TimePoint now);

  double limit() const {
    return std::max(limit_, std::ceil(kMinShareFraction * share_));
  }
  // Sets this instance's share of the slots that the targets announce. The
  // limit does not fall far below it, rounded up to whole slots because
  // rounding down would leave slots unused.
  void SetSlotShare(double slots) { share_ = slots; }

  // Expected latency of a call of that class: the smoothed latency, capped at a
  // multiple of the best so that requests are not refused because of a stall
  // that is over. Zero while unknown.
  Duration latency(RequestClass request_class) const;
  // Latency that only a few calls exceed.
  Duration tail_latency(RequestClass request_class) const;

 private:
  struct ClassWindow {
    double sum_s = 0;
    uint32_t samples = 0;
    uint64_t total_samples = 0;  // Over all windows.
    double best_s = 0;           // Lowest smoothed_s; slowly raised.
    double smoothed_s = 0;       // Moving average over calls.
    double deviation_s = 0;
  };

  static void AddSample(ClassWindow& window, double latency_s);
  void CloseWindow(TimePoint now);
  // Mean latency of the window as a multiple of the best; 0 without samples.
  static double LatencyRatio(ClassWindow& window);

  static constexpr double kMinShareFraction = 0.9;

  const ConcurrencyLimitOptions options_;
  double limit_;
  double share_ = 0;
  std::array<ClassWindow, kRequestClasses> windows_;
  uint32_t ended_ = 0;
  uint32_t failed_ = 0;
  uint32_t limited_calls_ = 0;
  TimePoint window_end_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_CONCURRENCY_LIMIT_H_
