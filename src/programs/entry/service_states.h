// State that this instance keeps for each service or pool, independent of
// manifest versions and target tables.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_SERVICE_STATES_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_SERVICE_STATES_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "limpethatch/connection/rcu_cell.h"
#include "limpethatch/request/retry_budget.h"
#include "limpethatch/request/silence_detector.h"
#include "limpethatch/request/target.h"
#include "programs/entry/admission_controller.h"

namespace limpethatch {

struct ServiceState {
  ServiceState(bool limited, const SilenceOptions& silence);

  std::shared_ptr<AdmissionController> admission;
  RetryBudget budget;
  SilenceDetector silence;
};

using ServiceStatePtr = std::shared_ptr<ServiceState>;

// Keyed by service, or by pool for engines. Thread-safe.
class ServiceStates {
 public:
  // Accepts "adaptive" and the baseline "none".
  static bool IsAdmissionPolicy(std::string_view name);

  explicit ServiceStates(std::string_view admission_policy);

  ServiceStatePtr GetOrCreate(const std::string& name, TargetKind kind);

  // Must be called every Admission::kTimerInterval. `instances` is the number
  // of entry instances that share the targets.
  void OnTimer(const RcuCell<TargetTable>& targets,
               size_t instances,
               TimePoint now);

 private:
  using States = std::map<std::string, ServiceStatePtr, std::less<>>;

  const bool limited_;
  RcuCell<States> states_{std::make_unique<States>()};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_SERVICE_STATES_H_
