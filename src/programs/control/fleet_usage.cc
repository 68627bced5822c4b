// Duties with a single holder, and the reports of usage.
#include <utility>

#include "programs/control/fleet_service.h"

namespace limpethatch {

DutyLeadership FleetService::Leadership(TimePoint now) const {
  if (!IsActiveLeader(now)) {
    return {};
  }
  return {true, replica_.consensus()->term(),
          replica_.consensus()->leading_since()};
}

void FleetService::StartDuties() {
  if (!settings_.duties || !settings_.duties->Includes("usage")) {
    return;
  }
  DutyLeaseOptions lease;
  lease.delivery_bound = settings_.order_lease;
  usage_reporter_.emplace(
      io_, *settings_.duties, settings_.name, lease, wall_clock_,
      UsageReporter::Host{[this](TimePoint now) { return Leadership(now); },
                          [this]() -> const FleetLedger& { return ledger(); },
                          [this](const wire::Command& command) {
                            return static_cast<bool>(
                                replica_.Propose(command.SerializeAsString()));
                          }});
}

void FleetService::AnswerUsageCounts(const wire::ControlRequest& request) {
  wire::ControlReply reply;
  if (!usage_reporter_) {
    reply.mutable_usage_counts();
  } else if (auto counts = usage_reporter_->Receive(request.usage_counts())) {
    *reply.mutable_usage_counts() = *counts;
  } else {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
  }
  SendReply(request, std::move(reply));
}

}  // namespace limpethatch
