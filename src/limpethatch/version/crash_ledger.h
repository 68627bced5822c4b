// Replicated record of the requests that were running when targets crashed.
//
// A request that crashes each target that runs it comes again under other
// attempt ids, at any gateway and under any leader. What it was involved in is
// therefore kept by its content, in the replicated log. Whoever merely shared a
// target with it is told apart by what else ran there.
#ifndef LIMPETHATCH_VERSION_CRASH_LEDGER_H_
#define LIMPETHATCH_VERSION_CRASH_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"

namespace limpethatch {

// One process of a target; it crashes at most once.
struct CrashedProcess {
  std::string target;
  uint64_t incarnation = 0;

  auto operator<=>(const CrashedProcess&) const = default;
};

class CrashLedger {
 public:
  // A live request with this many crashes is not run any more.
  static constexpr size_t kMaxCrashes = 3;
  // A sample with this many crashes runs only where nothing else does.
  static constexpr size_t kSuspectCrashes = 2;
  // The evidence on the oldest requests beyond this number is dropped.
  static constexpr size_t kMaxRequests = 512;

  // The name under which the runs of a sample are recorded. Live requests are
  // recorded under the digest of their content.
  static std::string NameOfSample(std::string_view id);

  void Apply(const wire::CrashEvidence& evidence);

  bool empty() const { return crashes_.empty(); }
  // Increases with each change. Not part of the replicated state.
  uint64_t revision() const { return revision_; }
  // Number of processes that crashed while running the request. A process
  // counts for one refused request at most, the one with the most crashes, and
  // then for no other request that ran there.
  size_t CrashCount(std::string_view request) const;
  // Whether one of the processes is known to have run nothing else.
  bool CrashedAlone(std::string_view request) const;
  bool IsRefused(std::string_view request) const {
    return CrashCount(request) >= kMaxCrashes;
  }

  // All live requests with crashes, and whether each is refused.
  wire::SuspectRequests LiveSuspects() const;
  // The processes with a crash on record, and the requests they ran.
  const std::map<CrashedProcess, std::set<std::string, std::less<>>>&
  processes() const {
    return requests_;
  }

  // The whole state, oldest first, to be applied again.
  const std::vector<wire::CrashedRun>& runs() const { return runs_; }

 private:
  // Removes the runs that `matches` accepts.
  template <typename Predicate>
  void Remove(Predicate matches);
  // Brings the members after runs_ up to date.
  void Update();

  uint64_t revision_ = 0;
  std::vector<wire::CrashedRun> runs_;  // Oldest first.
  // Indexes of runs_.
  std::map<std::string, std::set<CrashedProcess>, std::less<>> crashes_;
  std::map<CrashedProcess, std::set<std::string, std::less<>>> requests_;
  std::map<std::string, size_t, std::less<>> counts_;  // See CrashCount.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_CRASH_LEDGER_H_
