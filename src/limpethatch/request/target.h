// Targets as known to one entry instance, and the immutable table of them.
#ifndef LIMPETHATCH_REQUEST_TARGET_H_
#define LIMPETHATCH_REQUEST_TARGET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/request/target_group.h"
#include "limpethatch/request/target_stats.h"
#include "limpethatch/request/targets/target_estimate.h"

namespace limpethatch {

enum class TargetKind : uint8_t { kEngine, kPlainService };

// A target's load report, converted to this instance's clock.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  TimePoint measured;  // Arrival minus reported age; epoch if no report.
};

struct Target {
  std::string id;
  Endpoint address;
  TargetKind kind = TargetKind::kPlainService;
  std::string service;  // Service name, or pool name for an engine.
  std::string zone;
  uint32_t slots = 1;  // Requests that it runs concurrently.
  uint64_t version = 0;
  bool checks_fencing = false;
  uint64_t incarnation = 0;
  std::string software_version;
  bool leaving = false;
  TargetLoad load;
};

// A target with the routing data computed when the table is built.
struct RoutedTarget {
  Target target;
  std::shared_ptr<TargetStats> stats;  // Shared by successive tables.
  // Shared by successive tables. Used only with RouterOptions::use_estimates.
  std::shared_ptr<TargetEstimate> estimate;
  uint64_t id_hash = 0;
  // Work of other instances on the target when the load was measured.
  double reported_other_work = 0;
};

using RoutedTargetPtr = std::shared_ptr<const RoutedTarget>;

// The targets of one service that accept new work; leaving ones are omitted.
struct ServiceTargets {
  std::vector<RoutedTargetPtr> all;
  std::map<std::string, std::vector<RoutedTargetPtr>, std::less<>> by_zone;
  double mean_other_work = 0;          // Mean over targets with a report.
  std::shared_ptr<TargetGroup> group;  // Shared by successive tables.
};

// An immutable snapshot of all targets, replaced by read-copy-update.
class TargetTable {
 public:
  TargetTable() = default;
  // Keeps the statistics in `previous` of each target whose incarnation is
  // unchanged. `previous` may be null.
  TargetTable(std::vector<Target> targets, const TargetTable* previous);

  // A copy with statistics of its own, so that choices from it change nothing
  // here.
  TargetTable Copy() const;

  // Returns null if the service has no target that accepts new work.
  const ServiceTargets* Find(std::string_view service) const;
  // All targets by id, including leaving ones.
  const std::map<std::string, RoutedTargetPtr, std::less<>>& targets() const {
    return targets_;
  }
  // Returns null if the id is unknown.
  const RoutedTarget* FindTarget(std::string_view id) const;

 private:
  std::map<std::string, RoutedTargetPtr, std::less<>> targets_;
  std::map<std::string, ServiceTargets, std::less<>> services_;
};

// RAII guard that counts one call as outstanding at its target. Destroying it
// before Finish counts the call as cancelled.
class CallTicket {
 public:
  CallTicket(const RoutedTarget& routed,
             RequestClass request_class,
             TimePoint now);
  ~CallTicket();

  CallTicket(CallTicket&&) = default;
  CallTicket& operator=(CallTicket&&) = delete;

  void Finish(CallOutcome outcome, TimePoint now);

 private:
  std::shared_ptr<TargetStats> stats_;
  RequestClass request_class_;
  TimePoint started_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGET_H_
