// What the live calls of a gateway share.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_CONTEXT_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <random>

#include "limpethatch/connection/client_memory.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/process/wall_clock.h"
#include "limpethatch/request/router.h"
#include "limpethatch/request/usage/usage_counter.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/hedge_permits.h"
#include "programs/gateway/leaving_targets.h"
#include "programs/gateway/relay_choice.h"
#include "programs/gateway/service_reach.h"
#include "programs/gateway/stream_directory.h"
#include "programs/gateway/suspect_requests.h"
#include "programs/gateway/target_permits.h"
#include "programs/gateway/target_probes.h"

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
  LeavingTargets& leaving;
  SuspectRequests& suspects;
  ServiceReach& reach;
  RelayChoice& relays;
  UsageCounter& usage;
  const WallClock& wall_clock;
  TargetProbes& probes;
  ClientMemory& memory;
  HedgePermits& hedges;
  // The process ends: calls that still wait for targets are answered now.
  bool ending = false;
  // Of the bodies of answers that are being read.
  size_t buffered_answer_bytes = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_CONTEXT_H_
