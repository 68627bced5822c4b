#include "limpethatch/process/loop_watch.h"

#include <ctime>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

Duration ProcessorTimeOfThread() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

int64_t InMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

LoopWatch::LoopWatch(TimerService& timers, Duration period)
    : period_(period),
      last_(Clock::now()),
      last_processor_time_(ProcessorTimeOfThread()) {
  timers.Every(period_, [this](TimePoint) { Look(Clock::now()); });
}

Duration LoopWatch::LateBy(Duration since_last, Duration period) {
  const Duration late = since_last - period;
  return late > kLate ? late : Duration::zero();
}

void LoopWatch::Look(TimePoint now) {
  const Duration processor_time = ProcessorTimeOfThread();
  if (const Duration late = LateBy(now - last_, period_);
      late > Duration::zero()) {
    Log(LogLevel::kWarning, "event_loop_late",
        {{"late_ms", InMilliseconds(late)},
         {"processor_ms",
          InMilliseconds(processor_time - last_processor_time_)}});
  }
  last_ = now;
  last_processor_time_ = processor_time;
}

}  // namespace limpethatch
