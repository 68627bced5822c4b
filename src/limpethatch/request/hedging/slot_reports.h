// Which targets have free slots for hedges, by the loads that they stated in
// answers to this gateway and by its own calls there. A hedge that waited there
// would delay first attempts.
#ifndef LIMPETHATCH_REQUEST_HEDGING_SLOT_REPORTS_H_
#define LIMPETHATCH_REQUEST_HEDGING_SLOT_REPORTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/target.h"

namespace limpethatch {

// Not thread-safe.
class SlotReports {
 public:
  // An older report does not show that slots are free.
  static constexpr Duration kMaxAge = std::chrono::seconds(1);

  // Records what an answer of the target stated: requests that run and wait
  // there.
  void OnAnswer(const RoutedTarget& target,
                uint32_t running,
                uint32_t waiting,
                TimePoint now);
  // Whether a hedge would run at once. A target that never stated its load is
  // judged by this gateway's calls alone.
  bool HasFreeSlot(const RoutedTarget& target, TimePoint now) const;
  // How old the target's report is; nullopt if it never stated its load.
  std::optional<Duration> ReportAge(std::string_view target,
                                    TimePoint now) const;
  // The ids of the service's targets without a free slot.
  std::vector<std::string> FindFull(const TargetTable& targets,
                                    std::string_view service,
                                    TimePoint now) const;
  // Forgets targets that are not in the table.
  void Prune(const TargetTable& targets);

 private:
  struct Report {
    uint64_t incarnation = 0;
    uint32_t others_running = 0;  // Calls of other gateways.
    bool has_waiting = false;
    TimePoint at;
  };

  std::map<std::string, Report, std::less<>> reports_;  // By target.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_HEDGING_SLOT_REPORTS_H_
