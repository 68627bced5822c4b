// The replicated register that holds the manifest and its history.
//
// Deterministic: replicas that apply the same commands in the same order hold
// the same versions. Version numbers increase by one with each change.
#ifndef LIMPETHATCH_VERSION_MANIFEST_REGISTER_H_
#define LIMPETHATCH_VERSION_MANIFEST_REGISTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger.pb.h"
#include "state.pb.h"

namespace limpethatch {

// The effects of a change on open steps, as messages for its author.
struct ManifestImpact {
  std::vector<std::string> disruptions;  // An open step can't continue.
  std::vector<std::string> notices;      // It continues under other terms.
};

class ManifestRegister {
 public:
  // Versions whose text is retained, including the current one.
  static constexpr size_t kHistoryVersions = 100;
  // Changes whose first outcome is retained, accepted or not.
  static constexpr size_t kRememberedChanges = 1000;

  // Returns ACCEPTED if `expect_version` is the current version, and otherwise
  // CONFLICT with the current version. DISRUPTIVE if the change breaks open
  // steps and does not allow disruption. A repeated change id returns the first
  // outcome, or CHANGE_ID_REUSED if the content differs; retrying a change
  // that was not accepted requires a new change id.
  wire::ManifestOutcome Apply(const wire::ManifestApply& command,
                              const ManifestImpact& impact = {});

  uint64_t version() const {
    return history_.empty() ? 0 : history_.back().version();
  }
  // The current manifest; empty before the first version.
  std::string manifest() const {
    return history_.empty() ? std::string() : history_.back().manifest();
  }
  const std::deque<wire::ManifestVersionSnapshot>& history() const {
    return history_;
  }

  wire::ManifestRegisterSnapshot Snapshot() const;
  void Restore(const wire::ManifestRegisterSnapshot& snapshot);

 private:
  wire::ManifestOutcome Outcome(wire::ManifestOutcome::Verdict verdict) const;
  void Remember(const std::string& change_id,
                std::string digest,
                const wire::ManifestOutcome& outcome);

  std::deque<wire::ManifestVersionSnapshot> history_;  // Oldest first.
  std::deque<std::string> change_order_;
  std::unordered_map<std::string, wire::ManifestChangeSnapshot> changes_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_MANIFEST_REGISTER_H_
