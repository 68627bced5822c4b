// Forwards one live request to targets, with retries and hedging, and returns
// the answer to its caller.
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
#include "programs/gateway/stream_directory.h"
#include "programs/gateway/suspect_requests.h"
#include "programs/gateway/target_permits.h"

namespace limpethatch {

// State that all live calls of the process share. Not synchronised.
struct LiveCallContext {
  boost::asio::io_context& io;
  HttpClient& client;
  const TargetTable& targets;
  const Router& router;
  std::mt19937_64& random;
  GatewayMetrics& metrics;
  TargetPermits& permits;
  StreamDirectory& streams;
  SuspectRequests& suspects;
  // Of the bodies of answers that are being read.
  size_t buffered_answer_bytes = 0;
};

// Answers the request of `exchange`, which matched `route`. Returns when the
// answer is sent or the caller has disconnected; both arguments must stay valid
// until then.
void ServeLiveCall(LiveCallContext& context,
                   HttpExchange& exchange,
                   const wire::Route& route);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_H_
