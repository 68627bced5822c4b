// The monotonic clock of every deadline, lease and delay. Decision logic never
// reads the clock; it is passed a TimePoint.
#ifndef LIMPETHATCH_PROCESS_CLOCK_H_
#define LIMPETHATCH_PROCESS_CLOCK_H_

#include <chrono>

namespace limpethatch {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_CLOCK_H_
