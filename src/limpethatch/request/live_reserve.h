// How many slots of one engine rollouts leave to live requests.
#ifndef LIMPETHATCH_REQUEST_LIVE_RESERVE_H_
#define LIMPETHATCH_REQUEST_LIVE_RESERVE_H_

#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Engines admit in the order of arrival, so a live request waits behind the
// rollouts that fill the slots. The reserve is one slot more than the live
// requests that were lately seen there; it rises at once, also by what waits,
// and falls by one slot for each kDecreaseInterval. Not thread-safe.
class LiveReserve {
 public:
  // `live` is what runs there besides this instance's rollouts, as far as the
  // engine's last report tells, made at `reported`: one request too many is
  // taken for the report's lag. `waiting` requests had no slot then.
  void Observe(double live,
               uint32_t waiting,
               TimePoint reported,
               TimePoint now);

  // Slots to be left, at least `declared`.
  uint32_t slots(uint32_t declared) const;

  static constexpr Duration kDecreaseInterval = std::chrono::seconds(1);

 private:
  uint32_t needed_ = 0;
  TimePoint last_report_;
  TimePoint last_change_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LIVE_RESERVE_H_
