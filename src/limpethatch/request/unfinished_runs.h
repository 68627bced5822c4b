// Decides during which runs a target crashed.
//
// A run that ends without a complete answer says little about its target: the
// connection may have been reset, the network cut, the target overloaded. The
// target crashed if its process has ended since: it refuses connections while
// others accept them, or a newer process has taken its place.
#ifndef LIMPETHATCH_REQUEST_UNFINISHED_RUNS_H_
#define LIMPETHATCH_REQUEST_UNFINISHED_RUNS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

struct UnfinishedRun {
  std::string request;  // As named in CrashLedger.
  std::string target;
  uint64_t incarnation = 0;
  std::string address;
  TimePoint ended_at;
};

// Not synchronised. The results are the runs that have become known as
// crashed. A refusal may be followed by an announcement that confirms it, so a
// run may be returned twice.
class UnfinishedRuns {
 public:
  // Time within which a crashed target has started again. Later, its end says
  // nothing about the run.
  static constexpr Duration kRestartTime = std::chrono::seconds(10);
  // The oldest runs beyond this number are dropped.
  static constexpr size_t kMaxRuns = 1024;

  void Add(UnfinishedRun run);
  // The process refused a connection that other targets accepted.
  std::vector<wire::CrashedRun> OnRefused(std::string_view target,
                                          uint64_t incarnation) const;
  // A target announced itself.
  std::vector<wire::CrashedRun> OnAnnounced(const wire::TargetRecord& record,
                                            TimePoint now);

 private:
  std::deque<UnfinishedRun> runs_;  // Oldest first.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_UNFINISHED_RUNS_H_
