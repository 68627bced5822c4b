// Tells the control group what became of a claim, for as long as that takes.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_CLAIM_SETTLEMENT_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_CLAIM_SETTLEMENT_H_

#include <string>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/yield.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

// One attempt that this instance was granted.
struct Claim {
  std::string service;
  std::string key;
  std::string holder;
  uint64_t attempt = 0;
};

// Each of these goes on in the background until the group has taken it, keeps
// `hold` until then, and delays a planned stop.

// The request was answered. Returns once that is recorded, or at `deadline`.
void RecordClaimAnswer(EntryContext& context,
                       Yield yield,
                       const KeyLocks::LockPtr& key_lock,
                       const Claim& claim,
                       const HttpResponse& response,
                       TimePoint deadline);

// Nothing was sent: the key is free again.
void ReleaseClaim(EntryContext& context,
                  const KeyLocks::LockPtr& key_lock,
                  const Claim& claim);

// Something was sent and its answer will not come.
void AbandonClaim(EntryContext& context,
                  const KeyLocks::LockPtr& key_lock,
                  const Claim& claim);

// The claim may have been granted, or may still be, and nothing was sent:
// opens it again, which grants the same attempt, and releases that.
void ReleaseUncertainClaim(EntryContext& context,
                           const KeyLocks::LockPtr& key_lock,
                           const Claim& claim,
                           const std::string& request_digest);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_CLAIM_SETTLEMENT_H_
