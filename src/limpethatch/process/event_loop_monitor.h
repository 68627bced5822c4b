// Logs delays of the event loop of a process.
#ifndef LIMPETHATCH_PROCESS_EVENT_LOOP_MONITOR_H_
#define LIMPETHATCH_PROCESS_EVENT_LOOP_MONITOR_H_

#include <chrono>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/timer_service.h"

namespace limpethatch {

class EventLoopMonitor {
 public:
  // Half of the shortest election timeout: a leader whose heartbeats are later
  // loses leadership.
  static constexpr Duration kReportThreshold = std::chrono::milliseconds(250);

  // Checks every `period` on the thread of `timers`, until they stop.
  EventLoopMonitor(TimerService& timers, Duration period);

  // Returns the delay of a check that runs `since_last_check` after the
  // previous one, or zero if it does not exceed the threshold.
  static Duration ReportableDelay(Duration since_last_check, Duration period);

 private:
  void CheckDelay(TimePoint now);

  const Duration period_;
  TimePoint last_check_;
  Duration last_cpu_time_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_EVENT_LOOP_MONITOR_H_
