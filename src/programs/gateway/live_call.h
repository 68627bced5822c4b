// Forwards one live request to targets, with retries and hedging, and returns
// the answer to its caller. A gateway that reaches no target hands the request
// to another one.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_

#include <string>

#include "fleet.pb.h"
#include "limpethatch/connection/http_server.h"
#include "programs/gateway/live_call_context.h"

namespace limpethatch {

// Who sent a request to this gateway.
enum class LiveCallOrigin {
  kCaller,
  // Another gateway, which repeats the request elsewhere if need be. It is sent
  // to one target that may run it, and never handed on.
  kGateway
};

// Answers the request of `exchange`, which matched `route`. Returns when the
// answer is sent or the caller has disconnected; the arguments must stay valid
// until then. `organisation` is that of the request's key; empty: none.
void ServeLiveCall(LiveCallContext& context,
                   HttpExchange& exchange,
                   const wire::Route& route,
                   const std::string& organisation,
                   LiveCallOrigin origin);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_
