#include "programs/gateway/leaving_targets.h"

#include <chrono>
#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Timeout of a report; long enough for a leader election.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2500);

}  // namespace

void LeavingTargets::OnLeaving(const std::string& target,
                               uint64_t incarnation) {
  if (!subscriber_.MarkLeaving(target, incarnation)) {
    return;
  }
  Log(LogLevel::kInfo, "target_said_it_leaves",
      {{"target", target}, {"incarnation", incarnation}});
  wire::ControlRequest request;
  request.mutable_target_leaving()->set_target(target);
  request.mutable_target_leaving()->set_incarnation(incarnation);
  Spawn(io_, [this, request = std::move(request),
              deadline = Clock::now() + kReportTimeout](Yield yield) {
    if (control_client_.SendRequest(yield, request, deadline).certainty !=
        ControlCertainty::kDone) {
      // The other gateways learn it from the target's own announcement.
      Log(LogLevel::kWarning, "leaving_report_failed",
          {{"target", request.target_leaving().target()}});
    }
  });
}

}  // namespace limpethatch
