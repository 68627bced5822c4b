#include "limpethatch/connection/crash_detector.h"

#include <algorithm>

#include "limpethatch/connection/connection_probe.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Connections stay within a region.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
// A process that ends may accept connections for a moment after it has closed
// others.
constexpr Duration kSecondProbeDelay = std::chrono::milliseconds(100);

}  // namespace

void CrashDetector::OnConnectionLost(const UnfinishedRun& run) {
  runs_.Add(run);
  Endpoint address;
  if (!ParseEndpoint(run.address, &address) ||
      !checks_.emplace(run.target, run.incarnation).second) {
    return;
  }
  Spawn(io_, [this, run, address](Yield yield) {
    if (HasEnded(yield, run.target, address)) {
      Report(runs_.OnRefused(run.target, run.incarnation));
    }
    checks_.erase({run.target, run.incarnation});
  });
}

bool CrashDetector::HasEnded(Yield yield,
                             const std::string& target,
                             const Endpoint& address) const {
  ProbeResult result = ProbeConnection(yield, address, kProbeTimeout);
  if (result == ProbeResult::kAccepted) {
    SleepFor(yield, kSecondProbeDelay);
    result = ProbeConnection(yield, address, kProbeTimeout);
  }
  if (result != ProbeResult::kRefused) {
    return false;
  }
  // Refusals are no evidence if this process can reach no target at all.
  const std::vector<Endpoint> others = callbacks_.other_targets(target);
  return std::any_of(others.begin(), others.end(), [&](const Endpoint& other) {
    return ProbeConnection(yield, other, kProbeTimeout) ==
           ProbeResult::kAccepted;
  });
}

void CrashDetector::OnAnnounced(const wire::TargetRecord& record) {
  Report(runs_.OnAnnounced(record, Clock::now()));
}

void CrashDetector::Report(std::vector<wire::CrashedRun> runs) {
  if (runs.empty()) {
    return;
  }
  for (const wire::CrashedRun& run : runs) {
    Log(LogLevel::kWarning, "target_crashed_under_request",
        {{"content", run.request()},
         {"target", run.process().target()},
         {"incarnation", run.process().incarnation()}});
  }
  callbacks_.report(std::move(runs));
}

}  // namespace limpethatch
