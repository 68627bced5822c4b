// Permits that the leader grants: for targets with a rate limit, which all
// control instances know, so that a new leader and the gateways do; and for
// hedges, whose budget only the leader has.
#include <algorithm>
#include <chrono>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {

using std::chrono::milliseconds;

namespace {

// Bounds the times that one query may state, so that sums over many queries
// stay far from overflow.
constexpr Duration kMaxQueryTime = std::chrono::hours(1);

Duration QueryTime(uint64_t ms) {
  return std::min(BoundedTime<milliseconds>(ms), kMaxQueryTime);
}

}  // namespace

void FleetService::ObserveRateLimit(const std::string& target,
                                    uint64_t incarnation,
                                    std::optional<double> requests_per_second) {
  if (!scheduler_.rate_limits().Observe(target, incarnation,
                                        requests_per_second)) {
    return;
  }
  if (requests_per_second) {
    Log(LogLevel::kInfo, "target_rate_limited",
        {{"target", target},
         {"incarnation", incarnation},
         {"requests_per_second", *requests_per_second}});
  } else {
    Log(LogLevel::kInfo, "target_rate_unlimited",
        {{"target", target}, {"incarnation", incarnation}});
  }
  Broadcast(MakeDigest(Clock::now()));
  ScheduleNewsPush();
}

void FleetService::AnswerRateReport(const wire::ControlRequest& request) {
  const wire::TargetRateReport& report = request.target_rate();
  ObserveRateLimit(report.target(), report.incarnation(),
                   report.has_requests_per_second()
                       ? std::optional(report.requests_per_second())
                       : std::nullopt);
  SendReply(request, {});
}

void FleetService::AnswerPermitQuery(const wire::ControlRequest& request) {
  const TimePoint now = Clock::now();
  wire::ControlReply reply;
  if (!IsActiveLeader(now)) {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
    SendReply(request, std::move(reply));
    return;
  }
  const wire::TargetRate& rate = request.target_permit().rate();
  if (!scheduler_.rate_limits().IsLimited(rate.target())) {
    ObserveRateLimit(rate.target(), rate.incarnation(),
                     rate.requests_per_second());
  }
  const TargetRateLimits::Permit permit = scheduler_.rate_limits().Acquire(
      rate.target(), QueryTime(request.target_permit().max_wait_ms()), now);
  reply.mutable_target_permit()->set_granted(permit.granted);
  reply.mutable_target_permit()->set_wait_ms(static_cast<uint64_t>(
      std::chrono::ceil<milliseconds>(permit.wait).count()));
  SendReply(request, std::move(reply));
}

void FleetService::AnswerHedgePermitQuery(const wire::ControlRequest& request) {
  const TimePoint now = Clock::now();
  wire::ControlReply reply;
  if (!IsActiveLeader(now)) {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
    SendReply(request, std::move(reply));
    return;
  }
  const wire::HedgePermitQuery& query = request.hedge_permit();
  reply.mutable_hedge_permit()->set_granted(
      hedge_budget_.Acquire(query.route(),
                            {.earned = QueryTime(query.earned_ms()),
                             .overrun = QueryTime(query.overrun_ms()),
                             .expected = QueryTime(query.expected_ms()),
                             .extra_work = query.extra_work()},
                            now));
  SendReply(request, std::move(reply));
}

void FleetService::Receive(const wire::TargetRates& rates) {
  TargetRateLimitMap limits;
  for (const wire::TargetRate& rate : rates.rates()) {
    limits[rate.target()] = {rate.incarnation(), rate.requests_per_second()};
  }
  if (limits != scheduler_.rate_limits().limits()) {
    scheduler_.rate_limits().Replace(limits);
    ScheduleNewsPush();
  }
}

wire::TargetRates FleetService::EncodeRateLimits() const {
  wire::TargetRates rates;
  for (const auto& [target, limit] : scheduler_.rate_limits().limits()) {
    wire::TargetRate& rate = *rates.add_rates();
    rate.set_target(target);
    rate.set_incarnation(limit.incarnation);
    rate.set_requests_per_second(limit.requests_per_second);
  }
  return rates;
}

void FleetService::DropRateLimitsOfGoneTargets() {
  const TargetRateLimitMap limits = scheduler_.rate_limits().limits();
  for (const auto& [target, limit] : limits) {
    const auto found = targets_.entries().find(target);
    if (found == targets_.entries().end() || found->second.record.gone()) {
      scheduler_.rate_limits().Drop(target);
    }
  }
}

}  // namespace limpethatch
