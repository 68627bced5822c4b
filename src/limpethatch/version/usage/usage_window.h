// The numbering of usage windows: window k begins k times their length after
// the start of 1970, in true time.
#ifndef LIMPETHATCH_VERSION_USAGE_USAGE_WINDOW_H_
#define LIMPETHATCH_VERSION_USAGE_USAGE_WINDOW_H_

#include <cstdint>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/wall_clock.h"

namespace limpethatch {

inline uint64_t UsageWindowAt(WallTime time, Duration length) {
  return time.time_since_epoch() < length
             ? 0
             : static_cast<uint64_t>(time.time_since_epoch() / length);
}

inline WallTime UsageWindowEnd(uint64_t number, Duration length) {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      length * static_cast<int64_t>(number + 1)));
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_USAGE_USAGE_WINDOW_H_
