// The StateMachine applied by the replicated log: all replicated state of the
// control instances behind one interface.
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
  // All replicas of a group must use the same options.
  explicit Ledgers(WeightedDispatchOptions dispatch = {})
      : steps_(WeightedDispatch(dispatch)) {}

  // Takes a serialised wire::Command and returns a serialised
  // wire::CommandResult. A command that cannot be parsed changes nothing, and
  // its result is empty.
  std::string Apply(uint64_t index, std::string_view command);
  ByteRope Snapshot() const;
  bool Restore(const ByteRope& state);

  wire::CommandResult Apply(const wire::Command& command);

  const ManifestRegister& manifest() const { return manifest_; }
  const ClaimLedger& claims() const { return claims_; }
  const StepLedger& steps() const { return steps_; }
  const FleetLedger& fleet() const { return fleet_; }
  // Trainer and step name of each step that may be open.
  const std::set<std::pair<std::string, std::string>>& step_names() const {
    return step_names_;
  }
  // The version that each pool of the current manifest should run.
  std::vector<wire::PoolVersion> pools() const;
  // True if the holder was declared gone. It is granted nothing further.
  bool gone(const std::string& holder) const { return gone_.Contains(holder); }
  // Holders that have claimed a request or taken samples and were not declared
  // gone since.
  const std::set<std::string>& holders() const { return holders_; }

 private:
  void ApplyToClaims(const wire::Command& command, wire::CommandResult* result);
  void ApplyToSteps(const wire::Command& command, wire::CommandResult* result);
  void OpenStep(const wire::StepOpen& command, wire::CommandResult* result);
  void FetchStep(const wire::StepFetch& command, wire::CommandResult* result);
  ManifestImpact ImpactOf(const wire::ManifestApply& command) const;
  // Applies the manifest in force to the ledgers that depend on it.
  void Configure();

  ManifestRegister manifest_;
  ClaimLedger claims_;
  StepLedger steps_;
  FleetLedger fleet_;
  std::set<std::pair<std::string, std::string>> step_names_;
  std::set<std::string> holders_;
  GoneHolders gone_;
  std::map<std::string, EnginePool> pools_;  // As declared in the manifest.
};

static_assert(StateMachine<Ledgers>);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LEDGERS_H_
