// Reachability reports on targets by the instances of this zone.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_REACHABILITY_TABLE_H_
#define LIMPETHATCH_PROCESS_INTERNAL_REACHABILITY_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Keys of a target and of the instance that reports on it.
struct ReportKey {
  uint64_t target = 0;
  uint64_t reporter = 0;

  auto operator<=>(const ReportKey&) const = default;
};

class ReachabilityTable {
 public:
  struct Report {
    uint64_t counter = 0;
    bool reachable = true;
    TimePoint reported_at;
  };

  // An "unreachable" report expires after `lifetime` unless it is renewed.
  explicit ReachabilityTable(Duration lifetime);

  // Returns true if the report is newer than the known one.
  bool Merge(const ReportKey& key, const Report& report);

  // Returns true if `self` does not reach the target, or if at least `quorum`
  // instances of the zone do not.
  bool IsUnreachable(uint64_t target,
                     uint64_t self,
                     size_t quorum,
                     TimePoint now) const;

  // Removes expired reports. Returns true if one of them said "unreachable".
  bool Expire(TimePoint now);

  const Report* Find(const ReportKey& key) const;

 private:
  const Duration lifetime_;
  std::map<ReportKey, Report> reports_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_REACHABILITY_TABLE_H_
