// Reports the outcome of claims to the control group, with retries.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_CLAIM_SETTLEMENT_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_CLAIM_SETTLEMENT_H_

#include <string>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/yield.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

// An attempt to run a keyed request, as granted to this instance.
struct Claim {
  std::string service;
  std::string key;
  std::string holder;
  uint64_t attempt = 0;
};

// Each of these functions continues in the background until the group has
// applied the command. Until then it keeps `key_lock` and delays a drain.

// Records the target's answer. Returns once it is recorded, or at `deadline`.
void RecordClaimAnswer(EntryContext& context,
                       Yield yield,
                       const KeyLocks::LockPtr& key_lock,
                       const Claim& claim,
                       const HttpResponse& response,
                       TimePoint deadline);

// Nothing was sent, so the key may be claimed again.
void ReleaseClaim(EntryContext& context,
                  const KeyLocks::LockPtr& key_lock,
                  const Claim& claim);

// The request may have run, and there will be no answer.
void AbandonClaim(EntryContext& context,
                  const KeyLocks::LockPtr& key_lock,
                  const Claim& claim);

// For a claim whose opening got no reply, so that it may already be granted or
// may still become so, and for which nothing was sent. Opens the claim again,
// which grants the same attempt, and releases it. Does so once more after a
// delay, during which it does not keep `key_lock`.
void ReleaseUncertainClaim(EntryContext& context,
                           const KeyLocks::LockPtr& key_lock,
                           const Claim& claim,
                           const std::string& request_digest);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_CLAIM_SETTLEMENT_H_
