// All replicated state of the control instances behind one interface: the
// StateMachine that the replicated log drives.
#ifndef LIMPETHATCH_REQUEST_LEDGERS_H_
#define LIMPETHATCH_REQUEST_LEDGERS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "ledger.pb.h"
#include "limpethatch/process/state_machine.h"
#include "limpethatch/request/claim_ledger.h"
#include "limpethatch/version/fleet_ledger.h"
#include "limpethatch/version/gone_holders.h"
#include "limpethatch/version/manifest.h"
#include "limpethatch/version/manifest_register.h"
#include "limpethatch/version/step_ledger.h"

namespace limpethatch {

class Ledgers {
 public:
  // Every replica of a group must be given the same options.
  explicit Ledgers(WeightedDispatchOptions dispatch = {})
      : steps_(WeightedDispatch(dispatch)) {}

  // Takes a wire::Command and returns a wire::CommandResult, both serialised.
  // A command that can't be read changes nothing; its result is empty.
  std::string Apply(uint64_t index, std::string_view command);
  ByteRope Snapshot() const;
  bool Restore(const ByteRope& state);

  wire::CommandResult Apply(const wire::Command& command);

  const ManifestRegister& manifest() const { return manifest_; }
  const ClaimLedger& claims() const { return claims_; }
  const StepLedger& steps() const { return steps_; }
  const FleetLedger& fleet() const { return fleet_; }
  // Trainer and name of each step that may be open.
  const std::set<std::pair<std::string, std::string>>& step_names() const {
    return step_names_;
  }
  // The version that each pool of the current manifest shall run.
  std::vector<wire::PoolVersion> pools() const;
  // True if the holder was declared gone: nothing is granted to it.
  bool gone(const std::string& holder) const { return gone_.Contains(holder); }
  // Holders that have taken something and were not reported gone since.
  const std::set<std::string>& holders() const { return holders_; }

 private:
  void ApplyToClaims(const wire::Command& command, wire::CommandResult* result);
  void ApplyToSteps(const wire::Command& command, wire::CommandResult* result);
  void OpenStep(const wire::StepOpen& command, wire::CommandResult* result);
  void FetchStep(const wire::StepFetch& command, wire::CommandResult* result);
  ManifestImpact ImpactOf(const wire::ManifestApply& command) const;
  // Puts the manifest in force in the ledgers that depend on it.
  void Configure();

  ManifestRegister manifest_;
  ClaimLedger claims_;
  StepLedger steps_;
  FleetLedger fleet_;
  std::set<std::pair<std::string, std::string>> step_names_;
  std::set<std::string> holders_;
  GoneHolders gone_;
  std::map<std::string, EnginePool> pools_;  // As the manifest declares.
};

static_assert(StateMachine<Ledgers>);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LEDGERS_H_
