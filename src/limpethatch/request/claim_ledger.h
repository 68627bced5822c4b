// Claims on non-idempotent requests: at most one attempt per key is ever
// granted until it is settled, and a settled key answers every resend.
//
// Deterministic: replicas that apply the same commands in the same order hold
// the same claims. A holder may send the request at most once per attempt
// number, since a repeated ClaimOpen gets the same attempt again.
#ifndef LIMPETHATCH_REQUEST_CLAIM_LEDGER_H_
#define LIMPETHATCH_REQUEST_CLAIM_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "ledger.pb.h"
#include "limpethatch/request/claim_tombstones.h"
#include "limpethatch/version/gone_holders.h"
#include "snapshot.pb.h"

namespace limpethatch {

// How long a settled claim protects its key, counted in later claims, since
// commands carry no time. Beyond `settled` or `answer_bytes` a resend hears
// UNKNOWN in place of the answer; beyond `tombstones` more the key is free
// again.
struct ClaimRetention {
  size_t settled = 65'536;
  size_t answer_bytes = size_t{64} << 20;
  size_t tombstones = 1'000'000;
  // An answer above this is never kept whole.
  size_t max_kept_answer_bytes = size_t{1} << 20;
};

class ClaimLedger {
 public:
  explicit ClaimLedger(ClaimRetention retention = {});

  // GRANTED, IN_PROGRESS, ANSWERED, UNKNOWN or MISMATCH; STALE_HOLDER in place
  // of a grant to a holder declared gone, which may try again under a new
  // incarnation.
  wire::ClaimOutcome Apply(const wire::ClaimOpen& command);

  // DONE, or STALE_HOLDER if the attempt is not the one that holds the key.
  // An answer or a release also settles a claim whose holder was taken for
  // gone: the attempt itself knows best.
  wire::ClaimOutcome Apply(const wire::ClaimAnswer& command);
  wire::ClaimOutcome Apply(const wire::ClaimRelease& command);
  wire::ClaimOutcome Apply(const wire::ClaimAbandon& command);

  // Every claim that the holder still has becomes UNKNOWN, and it is granted
  // none any more.
  void Apply(const wire::HolderGone& command);

  wire::ClaimLedgerSnapshot Snapshot() const;
  void Restore(const wire::ClaimLedgerSnapshot& snapshot);

  size_t held() const { return claims_.size() - settled_.size(); }
  size_t settled() const { return settled_.size(); }
  size_t tombstones() const { return tombstones_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  using State = wire::ClaimSnapshot;

  // Place in the order of settling; 0 while held.
  struct Claim {
    wire::ClaimSnapshot record;
    uint64_t settled_order = 0;
  };
  using Claims = std::unordered_map<std::string, Claim>;

  static std::string QualifiedKey(const std::string& service,
                                  const std::string& key);
  Claim* FindAttempt(const std::string& name, uint64_t attempt);
  wire::ClaimOutcome Grant(const std::string& name,
                           const wire::ClaimOpen& command);
  void Settle(const std::string& name,
              Claim& claim,
              wire::ClaimSnapshot::State state);
  void KeepAnswer(const std::string& name, Claim& claim);
  void ForgetAnswer(Claim& claim);
  void RemoveFromHolder(const std::string& name, const std::string& holder);
  void Erase(const std::string& name, Claim& claim);
  // Answers commands on a claim of which only the tombstone is left.
  wire::ClaimOutcome OpenTombstoned(const ClaimTombstone& tombstone,
                                    const wire::ClaimOpen& command) const;
  bool IsTombstonedAttempt(const std::string& name, uint64_t attempt) const;
  void ReplaceWithTombstone(const std::string& name);
  void EnforceRetention();

  ClaimRetention retention_;
  uint64_t last_attempt_ = 0;
  uint64_t last_order_ = 0;
  size_t answer_bytes_ = 0;
  Claims claims_;
  std::map<std::string, std::set<std::string>> held_by_;
  GoneHolders gone_;
  ClaimTombstones tombstones_;
  std::map<uint64_t, std::string> settled_;  // Oldest first.
  std::map<uint64_t, std::string> answers_;  // Those kept whole.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_CLAIM_LEDGER_H_
