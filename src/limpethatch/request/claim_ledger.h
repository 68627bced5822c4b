// Claims on non-idempotent requests: at most one attempt per key is granted
// until it is settled, and every resend of a settled key gets its recorded
// outcome.
//
// Deterministic: replicas that apply the same commands in the same order hold
// the same claims. A holder must send the request at most once per attempt
// number, since a repeated ClaimOpen returns the same attempt.
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

// How long a settled claim protects its key, counted in later claims because
// commands carry no time. Beyond `settled` claims or `answer_bytes`, a resend
// gets UNKNOWN instead of the answer; after `tombstones` further claims the key
// can be claimed again.
struct ClaimRetention {
  size_t settled = 65'536;
  size_t answer_bytes = size_t{64} << 20;
  size_t tombstones = 1'000'000;
  // The body of a larger answer is not stored.
  size_t max_kept_answer_bytes = size_t{1} << 20;
};

class ClaimLedger {
 public:
  explicit ClaimLedger(ClaimRetention retention = {});

  // Returns GRANTED, IN_PROGRESS, ANSWERED, UNKNOWN or MISMATCH, or
  // STALE_HOLDER instead of GRANTED if the holder was declared gone; it may
  // retry under a new incarnation.
  wire::ClaimOutcome Apply(const wire::ClaimOpen& command);

  // Return DONE, or STALE_HOLDER if the attempt does not hold the key. After a
  // release the key can be claimed again. After an abandonment, resends get
  // UNKNOWN: the request may have run, and no answer will come. An answer or a
  // release is also accepted for a claim whose holder was declared gone,
  // because the attempt's own report is authoritative.
  wire::ClaimOutcome Apply(const wire::ClaimAnswer& command);
  wire::ClaimOutcome Apply(const wire::ClaimRelease& command);
  wire::ClaimOutcome Apply(const wire::ClaimAbandon& command);

  // Marks every claim still held by the holder as UNKNOWN and grants it no
  // further claims.
  void Apply(const wire::HolderGone& command);

  wire::ClaimLedgerSnapshot Snapshot() const;
  void Restore(const wire::ClaimLedgerSnapshot& snapshot);

  size_t held() const { return claims_.size() - settled_.size(); }
  size_t settled() const { return settled_.size(); }
  size_t tombstones() const { return tombstones_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  using State = wire::ClaimSnapshot;

  struct Claim {
    wire::ClaimSnapshot record;
    uint64_t settled_order = 0;  // Position in settling order; 0 while held.
  };
  using Claims = std::unordered_map<std::string, Claim>;

  static std::string QualifiedKey(const std::string& service,
                                  const std::string& key);
  Claim* FindAttempt(const std::string& qualified_key, uint64_t attempt);
  wire::ClaimOutcome Grant(const std::string& qualified_key,
                           const wire::ClaimOpen& command);
  void Settle(const std::string& qualified_key,
              Claim& claim,
              wire::ClaimSnapshot::State state);
  void KeepAnswer(const std::string& qualified_key, Claim& claim);
  void ForgetAnswer(Claim& claim);
  void RemoveFromHolder(const std::string& qualified_key,
                        const std::string& holder);
  void Erase(const std::string& qualified_key, Claim& claim);
  // Answers a ClaimOpen for a claim of which only a tombstone is left.
  wire::ClaimOutcome OpenTombstoned(const ClaimTombstone& tombstone,
                                    const wire::ClaimOpen& command) const;
  bool IsTombstonedAttempt(const std::string& qualified_key,
                           uint64_t attempt) const;
  void ReplaceWithTombstone(const std::string& qualified_key);
  void EnforceRetention();

  ClaimRetention retention_;
  uint64_t last_attempt_ = 0;
  uint64_t last_order_ = 0;
  size_t answer_bytes_ = 0;
  Claims claims_;
  std::map<std::string, std::set<std::string>> held_by_;
  GoneHolders gone_holders_;
  ClaimTombstones tombstones_;
  std::map<uint64_t, std::string> settled_;  // Oldest first.
  std::map<uint64_t, std::string> answers_;  // Claims whose body is stored.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_CLAIM_LEDGER_H_
