// Decides when a control instance may act as the holder of a duty.
//
// The holder is the leader, once its claim is in the replicated log. A call
// that an earlier holder sent just before it lost its lease may be carried out
// later. A new holder therefore waits first: for the time in which a connection
// to the platform can still be established (after it, an expired call is not
// sent) and for the time in which a sent call can still arrive. An instance
// that has waited once for a token does not wait again for it, as the token
// states that no other instance has held the duty since.
#ifndef LIMPETHATCH_PROCESS_DUTIES_DUTY_LEASE_H_
#define LIMPETHATCH_PROCESS_DUTIES_DUTY_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct DutyLeaseOptions {
  // Longest time after which a call that was sent is still carried out.
  Duration delivery_bound = std::chrono::seconds(3);
  // Longest time between the check of the lease and the first byte of a call.
  Duration send_bound = std::chrono::milliseconds(300);
};

// Who holds a duty, as far as the replicated log is applied.
struct DutyHolding {
  std::string holder;
  uint64_t token = 0;
  uint64_t term = 0;  // Of the latest claim.

  bool operator==(const DutyHolding&) const = default;
};

// Whether an instance leads, and since when.
struct DutyLeadership {
  // It leads, holds the lease of the consensus and has applied all committed
  // commands.
  bool active = false;
  uint64_t term = 0;
  TimePoint since;
};

// The state of one instance for one duty. It is not persisted: after a restart
// the instance waits again.
class DutyLease {
 public:
  DutyLease(std::string instance, DutyLeaseOptions options);

  // Whether the leader has to claim the duty: its claim in this term is not
  // applied yet, or the token was refused.
  bool MustClaim(const DutyLeadership& leadership,
                 const DutyHolding& holding) const;
  // The fencing token of a call that is made now; nullopt if no call may be
  // made.
  std::optional<uint64_t> TokenAt(TimePoint now,
                                  const DutyLeadership& leadership,
                                  const DutyHolding& holding);
  // The platform refused the token because it had seen a higher one. No further
  // call is made with it.
  void OnRefused(uint64_t token, TimePoint now);

  // The highest token that was refused; 0: none.
  uint64_t refused_token() const { return refused_token_; }

 private:
  bool IsHolder(const DutyLeadership& leadership,
                const DutyHolding& holding) const;

  const std::string instance_;
  const DutyLeaseOptions options_;
  uint64_t refused_token_ = 0;
  TimePoint refused_at_;
  // The wait for `waiting_token_` counts from `waiting_since_`.
  uint64_t waiting_token_ = 0;
  TimePoint waiting_since_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_DUTIES_DUTY_LEASE_H_
