// Keeps requests that crash their targets from crashing more of them, across
// all instances.
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

// Marks that instances share begin so.
inline constexpr std::string_view kPoisonMarkPrefix = "poison\n";

// A request as the guard knows it.
struct GuardedRequest {
  std::string service;  // Or pool.
  std::string digest;   // Of its content.
  TimePoint deadline;
};

// Leave to try the request at one target.
struct AttemptPermit {
  bool refused = false;      // It crashed targets and is not run again.
  bool quarantined = false;  // No other suspect runs at the target.
  RoutedTargetPtr target;    // Null if there is none for it.

  struct HeldClaim {
    Claim claim;
    KeyLocks::LockPtr key_lock;
  };
  std::vector<HeldClaim> claims;
};

// A suspect runs again only while its instance holds a claim on its content
// and one on the target, at the control group; that group is the arbiter. An
// instance that dies with them leaves them unknown: the content is refused.
// Safe from any thread.
class PoisonGuard {
 public:
  using ChooseTarget =
      std::function<RoutedTargetPtr(const std::vector<std::string>& excluded)>;
  // Tells every instance of a mark.
  using ShareMark = std::function<void(const std::string& mark)>;

  PoisonGuard(EntryContext& context, ShareMark share_mark)
      : context_(context), share_mark_(std::move(share_mark)), registry_({}) {}

  // Waits, for a suspect, until it may run alone.
  AttemptPermit AcquirePermit(Yield yield,
                              const GuardedRequest& request,
                              const ChooseTarget& choose);
  // The try ended with `error`, or with a whole answer if there is none. If
  // the target died this returns once the other instances know.
  void OnAttemptEnded(Yield yield,
                      const GuardedRequest& request,
                      AttemptPermit& permit,
                      std::error_code error);
  // Nothing of the try was sent.
  void OnNotSent(AttemptPermit& permit) { ReleaseClaims(permit); }
  // A mark came, from another instance or this one.
  void OnMark(const std::string& mark);

 private:
  bool TryClaim(Yield yield,
                const std::string& service,
                const std::string& key,
                TimePoint deadline,
                AttemptPermit& permit,
                bool* outcome_unknown);
  void ClaimTarget(Yield yield,
                   const GuardedRequest& request,
                   const ChooseTarget& choose,
                   AttemptPermit& permit);
  void ReleaseClaims(AttemptPermit& permit);
  bool HasCrashed(Yield yield, const Target& target, std::error_code error);
  void ShareMarks(const std::vector<PoisonMark>& marks);

  EntryContext& context_;
  const ShareMark share_mark_;
  PoisonRegistry registry_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_POISON_GUARD_H_
