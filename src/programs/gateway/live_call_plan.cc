#include "programs/gateway/live_call_plan.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "limpethatch/process/bounded_number.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Without permits, a second target is tried after the route's target latency
// divided by this.
constexpr int kHedgeDivisor = 2;

template <typename GetFigures>
LiveCallPlan MakePlan(const wire::Route& route,
                      LiveCallOrigin origin,
                      bool hedges_need_permit,
                      TimePoint deadline,
                      GetFigures get_figures) {
  LiveCallPlan plan;
  LiveAttemptsOptions& options = plan.attempts;
  options.idempotent = route.kind() == wire::ROUTE_IDEMPOTENT;
  options.max_attempts = origin == LiveCallOrigin::kGateway
                             ? 1
                             : std::max<uint32_t>(route.max_attempts(), 1);
  options.deadline = deadline;
  if (route.target_latency_ms() > 0) {
    options.hedge_after =
        BoundedTime<milliseconds>(route.target_latency_ms()) / kHedgeDivisor;
  }
  plan.usual_hedge_after = options.hedge_after;
  if (!hedges_need_permit) {
    return plan;
  }
  options.hedges_need_permit = true;
  options.may_hedge = false;
  if (!options.idempotent || options.max_attempts < 2) {
    return plan;
  }
  if (const std::optional<HedgeDelay::Figures> figures = get_figures()) {
    options.may_hedge = true;
    options.hedge_after = figures->delay;
    plan.hedge_cost = figures->median;
  }
  return plan;
}

}  // namespace

LiveCallPlan MakeLiveCallPlan(const wire::Route& route,
                              LiveCallOrigin origin,
                              HedgePermits& hedges,
                              TimePoint deadline,
                              TimePoint now) {
  return MakePlan(route, origin, hedges.enabled(), deadline,
                  [&] { return hedges.Figures(route.name(), now); });
}

LiveCallPlan PeekLiveCallPlan(const wire::Route& route,
                              const HedgePermits& hedges,
                              TimePoint now) {
  return MakePlan(route, LiveCallOrigin::kCaller, hedges.enabled(),
                  now + BoundedTime<milliseconds>(route.timeout_ms()),
                  [&] { return hedges.PeekFigures(route.name(), now); });
}

}  // namespace limpethatch
