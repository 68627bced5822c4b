// Explains where a request would go now, and why, without sending it. The
// router decides on a copy of the targets, so asking changes nothing.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_WHERE_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_WHERE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "limpethatch/connection/http_types.h"
#include "programs/gateway/fleet_subscriber.h"
#include "programs/gateway/live_call_context.h"

namespace limpethatch {

inline constexpr std::string_view kWherePath = "/where";

// The state of a gateway that answers.
struct WhereState {
  const LiveCallContext& context;
  const FleetSubscriber& subscriber;
  const std::string& instance;
  const std::string& zone;
  bool is_ready = false;
  uint64_t random = 0;
};

// Answers a POST whose body is a JSON object with `host`, `path` and optionally
// `body_bytes`.
HttpResponse ExplainWhere(const HttpRequest& request,
                          const WhereState& state,
                          TimePoint now);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_WHERE_H_
