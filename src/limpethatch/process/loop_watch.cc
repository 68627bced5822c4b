#include "limpethatch/process/loop_watch.h"

#include <ctime>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPeriod = milliseconds(100);

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

LoopWatch::LoopWatch(TimerService& timers)
    : last_(Clock::now()), last_processor_time_(ProcessorTimeOfThread()) {
  timers.Every(kPeriod, [this](TimePoint) { Look(Clock::now()); });
}

void LoopWatch::Look(TimePoint now) {
  const Duration processor_time = ProcessorTimeOfThread();
  if (const Duration late = now - last_ - kPeriod; late > kLate) {
    Log(LogLevel::kWarning, "event_loop_late",
        {{"late_ms", InMilliseconds(late)},
         {"processor_ms",
          InMilliseconds(processor_time - last_processor_time_)}});
  }
  last_ = now;
  last_processor_time_ = processor_time;
}

}  // namespace limpethatch
