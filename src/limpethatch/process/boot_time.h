// A clock that also counts the time during which the machine was suspended.
#ifndef LIMPETHATCH_PROCESS_BOOT_TIME_H_
#define LIMPETHATCH_PROCESS_BOOT_TIME_H_

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Time since the machine was started. The monotonic clock stands still while a
// machine is suspended, so that what was learnt before seems recent after it.
Duration TimeSinceBoot();

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_BOOT_TIME_H_
