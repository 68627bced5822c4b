// Load of a target, reported with a lag.
#ifndef PROGRAMS_STANDIN_LAGGED_LOAD_H_
#define PROGRAMS_STANDIN_LAGGED_LOAD_H_

#include <cstddef>
#include <deque>

#include "limpethatch/process/clock.h"

namespace limpethatch::standin {

struct Load {
  size_t running = 0;
  size_t waiting = 0;
  TimePoint as_of;
};

class LaggedLoad {
 public:
  explicit LaggedLoad(Duration lag) : lag_(lag) {}

  void Record(const Load& load);
  // The latest load that is at least as old as the lag, or else the oldest one
  // recorded.
  Load At(TimePoint now);

 private:
  Duration lag_;
  std::deque<Load> history_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_LAGGED_LOAD_H_
