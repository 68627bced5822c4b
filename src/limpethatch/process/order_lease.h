// Decides when a leader may issue orders to targets and how long each is valid.
//
// An order carries the leader's term as its fencing token. Targets that check
// the token refuse an order of an older term once they have seen a newer one.
// For targets that do not, timing keeps the orders of two leaders apart:
//   - An order carries a deadline within the lease of the leader that issues
//     it. The sender checks the deadline before it starts to write, and drops
//     an expired order.
//   - A new leader issues its first order only after the longest possible lease
//     of an older leader and the delivery bound have passed.
//
// Assumptions: clock rates differ by less than a tenth (see consensus.h), and a
// target starts to execute an order within the delivery bound after the sender
// started to write it, or never. A sender that is stopped halfway leaves an
// incomplete request: the target must close such a connection within the
// delivery bound. The bound is therefore set to the targets' time limit for
// reading a request, and must also cover the longest network delay. If an
// assumption is violated, a target that ignores the term may execute an old
// order after a newer one. It then reverts to the version that the old leader
// wanted until the present leader repeats its order. Version labels stay
// correct, since they are taken from the responses themselves.
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

// The fencing token (`term`) and the deadline that an order carries.
struct Order {
  uint64_t term = 0;
  TimePoint deadline;

  // Must be checked before the first byte of the order is written.
  bool MaySend(TimePoint now) const { return now < deadline; }
};

class OrderLease {
 public:
  explicit OrderLease(OrderLeaseOptions options) : options_(options) {}

  // The earliest time at which a leader elected at `leading_since` may issue an
  // order: no order of an older leader can be executed any more by then.
  TimePoint FirstOrderAt(TimePoint leading_since) const {
    return leading_since + options_.longest_lease + options_.delivery_bound;
  }

  // An order valid until the end of the lease; nullopt while this leader may
  // not issue one.
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
