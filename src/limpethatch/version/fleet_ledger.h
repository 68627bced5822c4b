// Replicated state of a fleet: the configuration in force, the newest weight
// version of each model, batch jobs, retired instances, the requests that were
// running when targets crashed, the holders of duties, and usage windows.
#ifndef LIMPETHATCH_VERSION_FLEET_LEDGER_H_
#define LIMPETHATCH_VERSION_FLEET_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger.pb.h"
#include "limpethatch/version/crash_ledger.h"
#include "limpethatch/version/duties/duty_ledger.h"
#include "limpethatch/version/job_ledger.h"
#include "limpethatch/version/log_format.h"
#include "limpethatch/version/usage/usage_ledger.h"

namespace limpethatch {

class FleetLedger {
 public:
  // Applies the command and sets `result`. False if the command belongs to
  // another ledger.
  bool Apply(const wire::Command& command, wire::CommandResult* result);

  // Its version is 0 until the first configuration is accepted.
  const wire::FleetConfiguration& configuration() const {
    return configuration_;
  }
  // The newest weight version named, by model.
  const std::map<std::string, uint64_t>& weights() const { return weights_; }
  const JobLedger& jobs() const { return jobs_; }
  const std::set<std::string>& retired() const { return retired_; }
  const CrashLedger& crashes() const { return crashes_; }
  const DutyLedger& duties() const { return duties_; }
  const UsageLedger& usage() const { return usage_; }
  // The newest format that commands may have. A later one in the log was raised
  // by a newer build, and is kept as it is.
  LogFormat log_format() const { return log_format_; }

  // The whole state as serialised wire::FleetSnapshot messages, to be merged
  // in this order.
  std::vector<ByteRope::Piece> Snapshot() const;
  // False if a part can't be parsed; the state is then unspecified.
  bool Restore(const std::vector<ByteRope::Piece>& parts);

 private:
  wire::ConfigurationOutcome Apply(const wire::ConfigurationPut& put);
  wire::WeightsOutcome Apply(const wire::WeightsNamed& named);
  wire::JobOutcome Apply(const wire::JobSubmit& submit);
  wire::JobOutcome Apply(const wire::JobEnd& end);

  wire::FleetConfiguration configuration_;
  std::map<std::string, uint64_t> weights_;
  JobLedger jobs_;
  std::set<std::string> retired_;
  CrashLedger crashes_;
  DutyLedger duties_;
  UsageLedger usage_;
  LogFormat log_format_ = LogFormat::kBase;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_FLEET_LEDGER_H_
