// Watches the targets of runs that ended without a complete answer, and reports
// the runs during which they crashed. Used by gateways for live requests and by
// control instances for samples, so that both judge alike.
#ifndef LIMPETHATCH_CONNECTION_CRASH_DETECTOR_H_
#define LIMPETHATCH_CONNECTION_CRASH_DETECTOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/request/unfinished_runs.h"

namespace limpethatch {

// Must be used on the thread of one io_context only.
class CrashDetector {
 public:
  struct Callbacks {
    // A run may be reported more than once.
    std::function<void(std::vector<wire::CrashedRun> runs)> report;
    // Addresses of a few targets other than `target`.
    std::function<std::vector<Endpoint>(const std::string& target)>
        other_targets;
  };

  CrashDetector(boost::asio::io_context& io, Callbacks callbacks)
      : io_(io), callbacks_(std::move(callbacks)) {}

  // The connection was closed or reset before the answer was complete.
  void OnConnectionLost(const UnfinishedRun& run);
  // No answer came for as long as there was time for one.
  void OnNoAnswer(const UnfinishedRun& run) { runs_.Add(run); }
  void OnAnnounced(const wire::TargetRecord& record);

 private:
  // Whether the target refuses connections while another one accepts them.
  bool HasEnded(Yield yield,
                const std::string& target,
                const Endpoint& address) const;
  void Report(std::vector<wire::CrashedRun> runs);

  boost::asio::io_context& io_;
  const Callbacks callbacks_;
  UnfinishedRuns runs_;
  // Target and incarnation of the checks in progress.
  std::set<std::pair<std::string, uint64_t>> checks_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_CRASH_DETECTOR_H_
