#include "limpethatch/process/loop_watch.h"

#include <chrono>

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(loop_watch, a_process_that_was_stopped_for_seconds_is_told_of) {
  cr_assert(LoopWatch::LateBy(seconds(7), milliseconds(500)) ==
            milliseconds(6500));
}

Test(loop_watch, looks_that_come_about_in_time_are_not) {
  const Duration period = milliseconds(100);
  cr_assert(LoopWatch::LateBy(period, period) == Duration::zero());
  cr_assert(LoopWatch::LateBy(period + LoopWatch::kLate, period) ==
            Duration::zero());
  cr_assert(LoopWatch::LateBy(period + 2 * LoopWatch::kLate, period) ==
            2 * LoopWatch::kLate);
}

}  // namespace limpethatch
