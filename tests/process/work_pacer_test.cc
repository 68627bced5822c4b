#include "limpethatch/process/work_pacer.h"

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Pattern: hundreds of samples end each second, and each end asks for a plan
// that looks at thousands. The plans filled the event loop.
Test(work_pacer, a_task_that_is_always_due_takes_its_share_of_the_time) {
  WorkPacer pacer(0.25);
  const TimePoint start{seconds(100)};
  TimePoint now = start;
  Duration spent{};
  while (now < start + seconds(10)) {
    now = std::max(now, pacer.next_run());
    const TimePoint end = now + milliseconds(10);
    pacer.OnRun(now, end);
    spent += end - now;
    now = end;
  }
  cr_assert(spent >= milliseconds(2450) && spent <= milliseconds(2550));
}

Test(work_pacer, a_short_task_runs_again_at_once) {
  WorkPacer pacer(0.25);
  const TimePoint start{seconds(100)};
  pacer.OnRun(start, start);
  cr_assert(pacer.next_run() == start);
}

Test(work_pacer, a_run_that_was_interrupted_causes_no_long_pause) {
  WorkPacer pacer(0.25);
  const TimePoint end{seconds(100)};
  pacer.OnRun(end - seconds(5), end);
  cr_assert(pacer.next_run() == end + WorkPacer::kMaxPause);
}

}  // namespace limpethatch
