// Which targets the instances of this zone reach, by their own reports.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_REACHABILITY_TABLE_H_
#define LIMPETHATCH_PROCESS_INTERNAL_REACHABILITY_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// A target's key and the key of the instance that reports on it.
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

  // A report of "unreachable" holds for `lifetime` unless it is renewed.
  explicit ReachabilityTable(Duration lifetime);

  // True if the report is newer than what was known.
  bool Merge(const ReportKey& key, const Report& report);

  // True if `self` does not reach the target, or if `quorum` instances of the
  // zone do not.
  bool IsUnreachable(uint64_t target,
                     uint64_t self,
                     size_t quorum,
                     TimePoint now) const;

  // Drops old reports; true if one of "unreachable" was among them.
  bool Expire(TimePoint now);

  const Report* Find(const ReportKey& key) const;

 private:
  const Duration lifetime_;
  std::map<ReportKey, Report> reports_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_REACHABILITY_TABLE_H_
