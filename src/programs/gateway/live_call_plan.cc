#include "programs/gateway/live_call_plan.h"

#include <algorithm>
#include <chrono>

namespace limpethatch {
namespace {

// Without permits, a second target is tried after the route's target latency
// divided by this.
constexpr int kHedgeDivisor = 2;

}  // namespace

LiveCallPlan MakeLiveCallPlan(const wire::Route& route,
                              LiveCallOrigin origin,
                              HedgePermits& hedges,
                              TimePoint deadline,
                              TimePoint now) {
  LiveCallPlan plan;
  LiveAttemptsOptions& options = plan.attempts;
  options.idempotent = route.kind() == wire::ROUTE_IDEMPOTENT;
  options.max_attempts = origin == LiveCallOrigin::kGateway
                             ? 1
                             : std::max<uint32_t>(route.max_attempts(), 1);
  options.deadline = deadline;
  if (route.target_latency_ms() > 0) {
    options.hedge_after =
        std::chrono::milliseconds(route.target_latency_ms()) / kHedgeDivisor;
  }
  plan.usual_hedge_after = options.hedge_after;
  if (!hedges.enabled()) {
    return plan;
  }
  options.hedges_need_permit = true;
  options.may_hedge = false;
  if (!options.idempotent || options.max_attempts < 2) {
    return plan;
  }
  if (const auto figures = hedges.Figures(route.name(), now)) {
    options.may_hedge = true;
    options.hedge_after = figures->delay;
    plan.hedge_cost = figures->median;
  }
  return plan;
}

}  // namespace limpethatch
