// When a leader may give orders to targets, and until when each is good.
//
// An order carries the leader's term as its fencing number. Targets that check
// it refuse an order of an older term once they have seen a newer one. For
// those that don't, time keeps two leaders apart:
//   - an order carries a deadline inside the lease of the leader that gives
//     it; whoever passes it on looks at the deadline before it starts to write
//     and drops an order that is past;
//   - a new leader gives its first order only after the longest lease that an
//     older leader can have, and the delivery bound, are over.
//
// Assumed: the clocks' rates differ by less than a tenth (see consensus.h);
// and once the writing of an order has begun before its deadline, the target
// has either begun to carry it out within the delivery bound or never will. A
// sender that is stopped halfway leaves a request that is not whole: the
// target must close such a connection within the delivery bound, so the bound
// is set to the targets' time limit for reading a request, and covers the
// network's longest delay. If this is false, a target that ignores the term
// may take an old order after a new one; it goes back to the version that the
// old leader wanted until the present one repeats its order, and labels stay
// true, since they come from the answers themselves.
#ifndef LIMPETHATCH_PROCESS_ORDER_LEASE_H_
#define LIMPETHATCH_PROCESS_ORDER_LEASE_H_

#include <cstdint>
#include <optional>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct OrderLeaseOptions {
  // The election timeout: no lease ends later than this after it was granted.
  Duration longest_lease = std::chrono::milliseconds(500);
  Duration delivery_bound = std::chrono::seconds(1);
};

// The fencing number and the deadline that an order carries.
struct Order {
  uint64_t term = 0;
  TimePoint deadline;

  // To be asked before the first byte is written.
  bool MaySend(TimePoint now) const { return now < deadline; }
};

class OrderLease {
 public:
  explicit OrderLease(OrderLeaseOptions options) : options_(options) {}

  // When a leader since `leading_since` may give its first order: all that
  // older leaders could have sent is past by then.
  TimePoint FirstOrderAt(TimePoint leading_since) const {
    return leading_since + options_.longest_lease + options_.delivery_bound;
  }

  // Nothing while this leader may not order.
  std::optional<Order> Issue(TimePoint now,
                             uint64_t term,
                             TimePoint leading_since,
                             TimePoint lease_end) const {
    if (now < FirstOrderAt(leading_since) || now >= lease_end) {
      return std::nullopt;
    }
    return Order{term, lease_end};
  }

 private:
  const OrderLeaseOptions options_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_ORDER_LEASE_H_
