// Limits how many targets a poison request can crash, across all instances.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_POISON_GUARD_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_POISON_GUARD_H_

#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "limpethatch/connection/yield.h"
#include "limpethatch/request/poison_registry.h"
#include "programs/entry/claim_settlement.h"

namespace limpethatch {

// Prefix of the gossip marks that carry a PoisonMark.
inline constexpr std::string_view kPoisonMarkPrefix = "poison\n";

// Identifies a request to the guard.
struct GuardedRequest {
  std::string service;  // For engines, the pool.
  std::string digest;   // Of the request's content.
  TimePoint deadline;
};

// Permission to run the request on one target, or its refusal.
struct AttemptPermit {
  // The request crashed targets, or may have, and must not run again.
  bool refused = false;
  bool quarantined = false;  // No other suspect runs on the target.
  RoutedTargetPtr target;    // Null if there is none to run on.

  struct HeldClaim {
    Claim claim;
    KeyLocks::LockPtr key_lock;
  };
  std::vector<HeldClaim> claims;
};

// A suspect runs again only in quarantine: its instance must hold two claims at
// the control group, one on the request's content and one on the target. If an
// instance crashes while it holds them, their outcome is unknown, and the
// content is refused from then on. Thread-safe.
class PoisonGuard {
 public:
  using ChooseTarget =
      std::function<RoutedTargetPtr(const std::vector<std::string>& excluded)>;
  // Sends a mark to all instances.
  using ShareMark = std::function<void(const std::string& mark)>;

  PoisonGuard(EntryContext& context, ShareMark share_mark)
      : context_(context), share_mark_(std::move(share_mark)), registry_({}) {}

  // Suspects wait until they may run in quarantine. The permit has no target if
  // the deadline passes first.
  AttemptPermit AcquirePermit(Yield yield,
                              const GuardedRequest& request,
                              const ChooseTarget& choose);
  // The attempt failed with `error`; no error means that the target sent a
  // complete answer. If the target crashed, returns only after the marks had
  // time to reach the other instances.
  void OnAttemptEnded(Yield yield,
                      const GuardedRequest& request,
                      AttemptPermit& permit,
                      std::error_code error);
  // The attempt tells nothing about the request: none of it was sent, or the
  // caller disconnected.
  void ReleasePermit(AttemptPermit& permit) { ReleaseClaims(permit); }
  // A mark arrived, from this instance or another one.
  void OnMark(const std::string& mark);

 private:
  // Claims `key` at the control group and adds the claim to the permit. Returns
  // false if it is not granted. Sets `outcome_unknown` if that is because the
  // outcome of an earlier claim on the key is unknown.
  bool TryClaim(Yield yield,
                const std::string& service,
                const std::string& key,
                TimePoint deadline,
                AttemptPermit& permit,
                bool* outcome_unknown);
  // Waits until a target can be claimed and sets it in the permit. Releases all
  // claims if the deadline passes first.
  void ClaimTarget(Yield yield,
                   const GuardedRequest& request,
                   const ChooseTarget& choose,
                   AttemptPermit& permit);
  void ReleaseClaims(AttemptPermit& permit);
  // Whether the target fails its health check after an attempt that ended with
  // `error`. A hang or a passed deadline is not taken for a crash.
  bool HasCrashed(Yield yield, const Target& target, std::error_code error);
  void ShareMarks(const std::vector<PoisonMark>& marks);

  EntryContext& context_;
  const ShareMark share_mark_;
  PoisonRegistry registry_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_POISON_GUARD_H_
