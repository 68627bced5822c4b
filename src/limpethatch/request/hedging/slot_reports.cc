#include "limpethatch/request/hedging/slot_reports.h"

#include <algorithm>

namespace limpethatch {

void SlotReports::OnAnswer(const RoutedTarget& target,
                           uint32_t running,
                           uint32_t waiting,
                           TimePoint now) {
  const uint32_t own = target.stats->outstanding();
  reports_[target.target.id] = {
      .incarnation = target.target.incarnation,
      .others_running = running - std::min(running, own),
      .has_waiting = waiting > 0,
      .at = now};
}

bool SlotReports::HasFreeSlot(const RoutedTarget& target, TimePoint now) const {
  const uint32_t slots = target.target.slots;
  const uint32_t own = target.stats->outstanding();
  const auto found = reports_.find(target.target.id);
  if (found == reports_.end() ||
      found->second.incarnation != target.target.incarnation) {
    return own < slots;
  }
  const Report& report = found->second;
  return !report.has_waiting && now - report.at <= kMaxAge &&
         uint64_t{report.others_running} + own < slots;
}

std::optional<Duration> SlotReports::ReportAge(std::string_view target,
                                               TimePoint now) const {
  const auto found = reports_.find(target);
  return found == reports_.end() ? std::nullopt
                                 : std::optional(now - found->second.at);
}

std::vector<std::string> SlotReports::FindFull(const TargetTable& targets,
                                               std::string_view service,
                                               TimePoint now) const {
  std::vector<std::string> full;
  if (const ServiceTargets* found = targets.Find(service)) {
    for (const RoutedTargetPtr& target : found->all) {
      if (!HasFreeSlot(*target, now)) {
        full.push_back(target->target.id);
      }
    }
  }
  return full;
}

void SlotReports::Prune(const TargetTable& targets) {
  std::erase_if(reports_, [&](const auto& entry) {
    return targets.FindTarget(entry.first) == nullptr;
  });
}

}  // namespace limpethatch
