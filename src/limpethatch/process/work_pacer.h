// Limits the share of an event loop that a repeated task takes.
#ifndef LIMPETHATCH_PROCESS_WORK_PACER_H_
#define LIMPETHATCH_PROCESS_WORK_PACER_H_

#include <algorithm>
#include <chrono>

#include "limpethatch/process/clock.h"

namespace limpethatch {

class WorkPacer {
 public:
  // Limit of the pause after a run, which may have been long only because the
  // process was preempted.
  static constexpr Duration kMaxPause = std::chrono::milliseconds(100);

  // `max_share` is above 0 and at most 1.
  explicit WorkPacer(double max_share) : pause_factor_(1.0 / max_share - 1.0) {}

  void OnRun(TimePoint start, TimePoint end) {
    const auto pause =
        std::chrono::duration_cast<Duration>((end - start) * pause_factor_);
    next_run_ = end + std::min(pause, kMaxPause);
  }
  // The earliest time at which the task should run again.
  TimePoint next_run() const { return next_run_; }

 private:
  const double pause_factor_;  // Pause after a run, as a multiple of the run.
  TimePoint next_run_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_WORK_PACER_H_
