// Which software version began each stream of a client. Kept in memory by all
// control instances: streams are short, and a stream of unknown origin is
// refused rather than continued by another version.
#include <utility>

#include "programs/control/fleet_service.h"

namespace limpethatch {

void FleetService::RecordStreamOrigin(const wire::ControlRequest& request) {
  const wire::StreamOrigin& origin = request.stream_begun();
  stream_origins_.OnBegun(origin.attempt(), origin.software_version());
  pending_digest_origins_.push_back(origin);
  SendReply(request, {});
}

void FleetService::AnswerStreamOriginQuery(
    const wire::ControlRequest& request) {
  wire::ControlReply reply;
  wire::StreamOriginReply& origin = *reply.mutable_stream_origin();
  if (const std::string* version =
          stream_origins_.Find(request.stream_origin().attempt())) {
    origin.set_known(true);
    origin.set_software_version(*version);
  }
  SendReply(request, std::move(reply));
}

}  // namespace limpethatch
