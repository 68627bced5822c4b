// Tells when the event loop of a process was held up.
#ifndef LIMPETHATCH_PROCESS_LOOP_WATCH_H_
#define LIMPETHATCH_PROCESS_LOOP_WATCH_H_

#include <chrono>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/timer_service.h"

namespace limpethatch {

class LoopWatch {
 public:
  // Half of the shortest election timeout: later heartbeats cost leadership.
  static constexpr Duration kLate = std::chrono::milliseconds(250);

  // Looks each `period` on the thread of `timers`, for as long as these run.
  LoopWatch(TimerService& timers, Duration period);

  // How late a look is that comes so long after the one before; zero if that
  // is not worth a line.
  static Duration LateBy(Duration since_last, Duration period);

 private:
  void Look(TimePoint now);

  const Duration period_;
  TimePoint last_;
  Duration last_processor_time_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_LOOP_WATCH_H_
