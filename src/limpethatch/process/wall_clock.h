// The time of day, for what is agreed with others in true time. It may be set
// back or forward, so that leases, deadlines and delays use Clock instead.
#ifndef LIMPETHATCH_PROCESS_WALL_CLOCK_H_
#define LIMPETHATCH_PROCESS_WALL_CLOCK_H_

#include <chrono>

namespace limpethatch {

using WallTime = std::chrono::system_clock::time_point;

class WallClock {
 public:
  virtual ~WallClock() = default;

  virtual WallTime Now() const = 0;
};

class SystemWallClock : public WallClock {
 public:
  WallTime Now() const override { return std::chrono::system_clock::now(); }
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_WALL_CLOCK_H_
