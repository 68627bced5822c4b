// Targets as one entry instance knows them, and the immutable table of them.
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

namespace limpethatch {

enum class TargetKind : uint8_t { kEngine, kPlainService };

// A target's own report, turned to this instance's clock.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  TimePoint measured;  // Arrival less the age stated; the epoch: no report.
};

struct Target {
  std::string id;
  Endpoint address;
  TargetKind kind = TargetKind::kPlainService;
  std::string service;  // The service, or the pool of an engine.
  std::string zone;
  uint32_t slots = 1;  // Requests that it runs at once.
  uint64_t version = 0;
  bool checks_fencing = false;
  uint64_t incarnation = 0;
  bool leaving = false;
  TargetLoad load;
};

// A target with what is derived for routing when a table is built.
struct RoutedTarget {
  Target target;
  std::shared_ptr<TargetStats> stats;  // Shared by successive tables.
  uint64_t id_hash = 0;
  // Work that others had there when the load was measured.
  double reported_other_work = 0;
};

using RoutedTargetPtr = std::shared_ptr<const RoutedTarget>;

// The targets of one service that may get new work: none that is leaving.
struct ServiceTargets {
  std::vector<RoutedTargetPtr> all;
  std::map<std::string, std::vector<RoutedTargetPtr>, std::less<>> by_zone;
  double mean_other_work =
      0;  // Of reported_other_work, over targets with a report.
  std::shared_ptr<TargetGroup> group;  // Shared by successive tables.
};

// An immutable snapshot; replaced as a whole by read-copy-update.
class TargetTable {
 public:
  TargetTable() = default;
  // Takes over what `previous` has learned of each target that is still the
  // same incarnation. `previous` may be null.
  TargetTable(std::vector<Target> targets, const TargetTable* previous);

  // Null if the service has no target that may get work.
  const ServiceTargets* Find(std::string_view service) const;
  // Every target by id, the leaving ones included.
  const std::map<std::string, RoutedTargetPtr, std::less<>>& targets() const {
    return targets_;
  }
  // Null if the id is unknown.
  const RoutedTarget* FindTarget(std::string_view id) const;

 private:
  std::map<std::string, RoutedTargetPtr, std::less<>> targets_;
  std::map<std::string, ServiceTargets, std::less<>> services_;
};

// Counts one call at its target from dispatch on. Dropping it unfinished
// counts the call as cancelled.
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
