#include "limpethatch/process/boot_time.h"

#include <ctime>

namespace limpethatch {

Duration TimeSinceBoot() {
  timespec time{};
  // Can't fail with this clock and a valid address.
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace limpethatch
