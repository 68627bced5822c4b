// Finds how many requests a service's targets take from this instance before
// more of them only lengthens the wait.
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

// Raises the limit while it is used up and latency stays near the best that
// was seen, and lowers it when latency grows or calls fail. Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options);

  // A call ended; `limited` says that the limit was reached meanwhile.
  void OnEnd(RequestClass request_class,
             CallOutcome outcome,
             Duration latency,
             bool limit_reached,
             TimePoint now);

  double limit() const {
    return std::max(limit_, std::ceil(kMinShareFraction * share_));
  }
  // This instance's share of the slots that the targets announce, which they
  // are believed to have: the limit does not fall far below it, in whole
  // slots, as a share that is rounded down leaves slots empty.
  void SetSlotShare(double slots) { share_ = slots; }

  // What a call of that class takes while the limit holds: the smoothed
  // latency, but not much above the best, so that a stall that is over refuses
  // nobody. Zero while unknown.
  Duration latency(RequestClass request_class) const;
  // What only a few calls exceed.
  Duration tail_latency(RequestClass request_class) const;

 private:
  struct ClassWindow {
    double sum_s = 0;
    uint32_t samples = 0;
    uint64_t total_samples = 0;  // Samples of all windows.
    double best_s = 0;           // The lowest smoothed_s; forgotten slowly.
    double smoothed_s = 0;       // Smoothed over calls.
    double deviation_s = 0;
  };

  static void AddSample(ClassWindow& window, double latency_s);
  void CloseWindow(TimePoint now);
  // Latency of the window as a multiple of the best; 0 without samples.
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
