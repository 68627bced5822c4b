#include "limpethatch/process/event_loop_monitor.h"

#include <ctime>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

Duration ThreadCpuTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

int64_t InMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

EventLoopMonitor::EventLoopMonitor(TimerService& timers, Duration period)
    : period_(period),
      last_check_(Clock::now()),
      last_cpu_time_(ThreadCpuTime()) {
  timers.Every(period_, [this](TimePoint) { CheckDelay(Clock::now()); });
}

Duration EventLoopMonitor::ReportableDelay(Duration since_last_check,
                                           Duration period) {
  const Duration delay = since_last_check - period;
  return delay > kReportThreshold ? delay : Duration::zero();
}

void EventLoopMonitor::CheckDelay(TimePoint now) {
  const Duration cpu_time = ThreadCpuTime();
  if (const Duration delay = ReportableDelay(now - last_check_, period_);
      delay > Duration::zero()) {
    Log(LogLevel::kWarning, "event_loop_late",
        {{"late_ms", InMilliseconds(delay)},
         {"processor_ms", InMilliseconds(cpu_time - last_cpu_time_)}});
  }
  last_check_ = now;
  last_cpu_time_ = cpu_time;
}

}  // namespace limpethatch
