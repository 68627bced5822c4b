// Number of slots of one engine that rollouts leave free for live requests.
#ifndef LIMPETHATCH_REQUEST_LIVE_RESERVE_H_
#define LIMPETHATCH_REQUEST_LIVE_RESERVE_H_

#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Engines admit requests in order of arrival, so a live request would wait
// behind rollouts that fill all slots. The reserve is one slot more than the
// live requests recently observed on the engine. It is raised at once, also by
// the number of waiting requests, and lowered by at most one slot per
// kDecreaseInterval. Not thread-safe.
class LiveReserve {
 public:
  // `live` is the number of running requests besides this instance's rollouts
  // according to the engine's last report, made at `reported`; a single request
  // is ignored as an effect of report lag. `waiting` requests had no slot then.
  void Observe(double live,
               uint32_t waiting,
               TimePoint reported,
               TimePoint now);

  // Slots to leave free, at least `declared`.
  uint32_t slots(uint32_t declared) const;

  static constexpr Duration kDecreaseInterval = std::chrono::seconds(1);

 private:
  uint32_t reserve_ = 0;
  TimePoint last_report_;
  TimePoint last_change_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LIVE_RESERVE_H_
