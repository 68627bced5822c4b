// Tells when the event loop of a process was held up.
#ifndef LIMPETHATCH_PROCESS_EVENT_LOOP_MONITOR_H_
#define LIMPETHATCH_PROCESS_EVENT_LOOP_MONITOR_H_

#include <chrono>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/timer_service.h"

namespace limpethatch {

class EventLoopMonitor {
 public:
  // Half of the shortest election timeout: later heartbeats cost leadership.
  static constexpr Duration kReportThreshold = std::chrono::milliseconds(250);

  // Looks each `period` on the thread of `timers`, for as long as these run.
  EventLoopMonitor(TimerService& timers, Duration period);

  // How late a look is that comes so long after the one before; zero if that
  // is not worth a line.
  static Duration ReportableDelay(Duration since_last_check, Duration period);

 private:
  void CheckDelay(TimePoint now);

  const Duration period_;
  TimePoint last_check_;
  Duration last_cpu_time_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_EVENT_LOOP_MONITOR_H_
