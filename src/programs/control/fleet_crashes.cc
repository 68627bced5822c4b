// Requests that were running when targets crashed, kept in the replicated log.
#include <chrono>

#include "limpethatch/process/log.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

// A target that announces itself this long after its crash was recorded has
// not crashed: earlier announcements may have been on their way.
constexpr Duration kAnnouncementDelay = std::chrono::milliseconds(500);
// Requests with a crash longer ago than this may run again: the software of the
// targets may be another one.
constexpr Duration kCrashRetention = std::chrono::minutes(10);
// Targets tried to find out whether this instance reaches any.
constexpr size_t kOtherTargets = 3;

}  // namespace

void FleetService::RecordCrashes(const std::vector<wire::CrashedRun>& runs) {
  wire::Command command;
  for (const wire::CrashedRun& run : runs) {
    *command.mutable_crash_evidence()->add_crashed_runs() = run;
  }
  if (!replica_.Propose(command.SerializeAsString())) {
    // Only the leader runs samples, and a run that ends with its leadership is
    // not its own any more.
    Log(LogLevel::kInfo, "crash_not_recorded",
        {{"crashed_runs", runs.size()},
         {"target", runs[0].process().target()}});
  }
}

void FleetService::ForgetCrashes(TimePoint now) {
  const auto& processes = ledger().crashes().processes();
  std::erase_if(crash_first_seen_at_, [&](const auto& entry) {
    return !processes.contains(entry.first);
  });
  for (const auto& [process, requests] : processes) {
    crash_first_seen_at_.try_emplace(process, now);
  }
  if (!IsActiveLeader(now)) {
    return;
  }
  wire::Command command;
  for (const auto& [process, seen_at] : crash_first_seen_at_) {
    const auto target = targets_.entries().find(process.target);
    const bool is_alive =
        target != targets_.entries().end() && !target->second.record.gone() &&
        target->second.record.born_ms() == process.incarnation &&
        target->second.heard_at > seen_at + kAnnouncementDelay;
    if (!is_alive && now - seen_at < kCrashRetention) {
      continue;
    }
    wire::TargetProcess& forgotten =
        *command.mutable_crash_evidence()->add_forgotten();
    forgotten.set_target(process.target);
    forgotten.set_incarnation(process.incarnation);
    Log(LogLevel::kInfo, "crash_forgotten",
        {{"target", process.target},
         {"incarnation", process.incarnation},
         {"reason", is_alive ? "heard_from_since" : "expired"}});
  }
  if (!command.has_crash_evidence()) {
    return;
  }
  if (const auto index = replica_.Propose(command.SerializeAsString());
      !index) {
    // Repeated at the next check.
    Log(LogLevel::kInfo, "crashes_not_forgotten",
        {{"error", index.error().message()}});
  }
}

std::vector<Endpoint> FleetService::OtherTargets(
    const std::string& target) const {
  std::vector<Endpoint> others;
  for (const auto& [id, entry] : targets_.entries()) {
    Endpoint address;
    if (id != target && !entry.record.gone() && others.size() < kOtherTargets &&
        ParseEndpoint(entry.record.address(), &address)) {
      others.push_back(address);
    }
  }
  return others;
}

}  // namespace limpethatch
