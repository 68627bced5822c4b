// How a live call is attempted, by its route and the settings.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_PLAN_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_PLAN_H_

#include "fleet.pb.h"
#include "limpethatch/request/live_attempts.h"
#include "programs/gateway/hedge_permits.h"
#include "programs/gateway/live_call.h"

namespace limpethatch {

struct LiveCallPlan {
  LiveAttemptsOptions attempts;
  // Hedge delay without permits. An attempt that is cancelled earlier tells
  // nothing about its target.
  Duration usual_hedge_after{};
  // Expected target time of a hedge with a permit.
  Duration hedge_cost{};
};

LiveCallPlan MakeLiveCallPlan(const wire::Route& route,
                              LiveCallOrigin origin,
                              HedgePermits& hedges,
                              TimePoint deadline,
                              TimePoint now);
// The same plan of a caller's request, without a change to what `hedges` keeps.
LiveCallPlan PeekLiveCallPlan(const wire::Route& route,
                              const HedgePermits& hedges,
                              TimePoint now);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LIVE_CALL_PLAN_H_
