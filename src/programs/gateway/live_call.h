// Carries one live request to targets and the answer back to its caller.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/request/router.h"
#include "programs/gateway/gateway_metrics.h"

namespace limpethatch {

// What live calls of one process share. One thread uses it.
struct LiveCallContext {
  boost::asio::io_context& io;
  HttpClient& client;
  const TargetTable& targets;
  const Router& router;
  std::mt19937_64& random;
  GatewayMetrics& metrics;
};

// Answers `exchange`, whose request is on `route`.
void ServeLiveCall(LiveCallContext& context,
                   HttpExchange& exchange,
                   const wire::Route& route);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_
