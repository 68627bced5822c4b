#include "limpethatch/process/internal/reachability_table.h"

namespace limpethatch {

ReachabilityTable::ReachabilityTable(Duration lifetime) : lifetime_(lifetime) {}

bool ReachabilityTable::Merge(const ReportKey& key, const Report& report) {
  Report& known = reports_[key];
  if (report.counter <= known.counter) {
    return false;
  }
  known = report;
  return true;
}

bool ReachabilityTable::IsUnreachable(uint64_t target,
                                      uint64_t self,
                                      size_t quorum,
                                      TimePoint now) const {
  size_t unreachable_reports = 0;
  for (auto at = reports_.lower_bound({target, 0});
       at != reports_.end() && at->first.target == target; ++at) {
    const auto& [key, report] = *at;
    if (report.reachable || now - report.reported_at > lifetime_) {
      continue;
    }
    if (key.reporter == self || ++unreachable_reports >= quorum) {
      return true;
    }
  }
  return false;
}

bool ReachabilityTable::Expire(TimePoint now) {
  bool changed = false;
  std::erase_if(reports_, [&](const auto& entry) {
    const bool old = now - entry.second.reported_at > lifetime_;
    changed |= old && !entry.second.reachable;
    return old;
  });
  return changed;
}

const ReachabilityTable::Report* ReachabilityTable::Find(
    const ReportKey& key) const {
  const auto found = reports_.find(key);
  return found == reports_.end() ? nullptr : &found->second;
}

}  // namespace limpethatch
