#include "programs/gateway/where.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "limpethatch/process/json_members.h"
#include "limpethatch/request/route_table.h"
#include "programs/gateway/live_call_plan.h"

namespace limpethatch {
namespace {

using boost::json::array;
using boost::json::object;

constexpr int kBadRequest = 400;
constexpr double kMsPerSecond = 1000;

int64_t ToMs(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

object DescribeCandidate(const RoutedTarget& routed,
                         const WhereState& state,
                         TimePoint now) {
  const Target& target = routed.target;
  const TargetStats& stats = *routed.stats;
  object candidate{
      {"target", target.id},
      {"zone", target.zone},
      {"software_version", target.software_version},
      {"slots", target.slots},
      {"outstanding", stats.outstanding()},
      {"latency_ms", stats.latency_s(RequestClass::kLookup) * kMsPerSecond},
      {"calls", stats.samples(RequestClass::kLookup)},
      {"failure_share", stats.failure_share()}};
  if (const auto age = state.context.hedges.slots().ReportAge(target.id, now)) {
    candidate["load_age_ms"] = ToMs(*age);
  }
  array excluded;
  if (target.leaving) {
    excluded.push_back("leaving");
  }
  if (stats.ejected()) {
    excluded.push_back("ejected");  // Except for probes.
  }
  array hedge_excluded = excluded;
  if (state.context.permits.IsLimited(target, now)) {
    candidate["needs_permit"] = true;
    hedge_excluded.push_back("rate_limit");
  }
  if (state.context.hedges.enabled() &&
      !state.context.hedges.slots().HasFreeSlot(routed, now)) {
    hedge_excluded.push_back("no_free_slot");
  }
  candidate["excluded_by"] = std::move(excluded);
  candidate["hedge_excluded_by"] = std::move(hedge_excluded);
  return candidate;
}

object DescribeHedge(const wire::Route& route,
                     const WhereState& state,
                     TimePoint now) {
  const LiveAttemptsOptions options =
      PeekLiveCallPlan(route, state.context.hedges, now).attempts;
  const bool may_hedge =
      options.may_hedge && options.idempotent && options.max_attempts > 1;
  object hedge{{"possible", may_hedge},
               {"needs_permit", options.hedges_need_permit}};
  if (may_hedge) {
    hedge["delay_ms"] = ToMs(options.hedge_after);
  }
  return hedge;
}

// Chooses as for a first attempt, on a copy of the targets.
void DescribeChoice(const std::string& service,
                    const WhereState& state,
                    TimePoint now,
                    object* answer) {
  const TargetTable targets = state.context.targets.Copy();
  array candidates;
  for (const auto& [id, routed] : targets.targets()) {
    if (routed->target.service == service) {
      candidates.push_back(DescribeCandidate(*routed, state, now));
    }
  }
  (*answer)["candidates"] = std::move(candidates);
  RouteRequest request;
  request.service = service;
  request.request_class = RequestClass::kLookup;
  request.random = state.random;
  request.now = now;
  const RoutedTargetPtr choice = state.context.router.Choose(targets, request);
  if (state.context.reach.IsUnreachable(service)) {
    (*answer)["unreachable"] = true;  // Other gateways are asked first.
  }
  if (choice) {
    (*answer)["choice"] = choice->target.id;
  } else {
    (*answer)["refused"] = "no_target";
  }
}

void DescribeRequest(const object& query,
                     const WhereState& state,
                     TimePoint now,
                     object* answer) {
  const RouteTablePtr table = state.subscriber.routes();
  const ConfigurationFreshness& freshness =
      state.subscriber.configuration_freshness();
  if (!table) {
    (*answer)["refused"] = "no_configuration";
    return;
  }
  (*answer)["configuration_version"] = table->version();
  (*answer)["configuration_current"] = freshness.IsCurrent(now);
  (*answer)["configuration_outdated"] = freshness.IsOutdated(now);
  const wire::Route* route =
      table->Match(StringMember(query, "host"), StringMember(query, "path"));
  if (route == nullptr) {
    (*answer)["refused"] =
        freshness.IsCurrent(now) ? "no_route" : "no_route_in_old_configuration";
    return;
  }
  (*answer)["route"] = route->name();
  (*answer)["kind"] = wire::RouteKind_Name(route->kind());
  const uint64_t max_body_bytes =
      table->configuration().limits().max_body_bytes();
  if (freshness.IsOutdated(now)) {
    (*answer)["refused"] = "configuration_outdated";
    return;
  }
  if (max_body_bytes > 0 &&
      UnsignedMember(query, "body_bytes") > max_body_bytes) {
    (*answer)["refused"] = "body_too_large";
    return;
  }
  if (route->kind() == wire::ROUTE_JOBS) {
    return;  // The leader of the control instances takes batch jobs.
  }
  // One of the route's services by its weight, as for each request.
  const std::string& service = RouteTable::ServiceFor(*route, state.random);
  (*answer)["service"] = service;
  (*answer)["hedge"] = DescribeHedge(*route, state, now);
  DescribeChoice(service, state, now, answer);
}

}  // namespace

HttpResponse ExplainWhere(const HttpRequest& request,
                          const WhereState& state,
                          TimePoint now) {
  HttpResponse response;
  response.headers.Set("Content-Type", "application/json");
  const std::optional<object> query = ParseJsonObject(request.body);
  if (request.method != "POST" || !query ||
      StringMember(*query, "path").empty()) {
    response.status = kBadRequest;
    response.body =
        R"({"error":"expected a POST of an object with host and path"})";
    return response;
  }
  object answer{{"instance", state.instance},
                {"zone", state.zone},
                {"ready", state.is_ready},
                {"quorum_contact", state.subscriber.has_quorum_contact()}};
  const Duration age = state.subscriber.time_since_quorum_contact(now);
  if (age < now.time_since_epoch()) {  // It has heard one since its start.
    answer["quorum_contact_age_ms"] = ToMs(age);
  }
  DescribeRequest(*query, state, now, &answer);
  response.body = boost::json::serialize(answer);
  return response;
}

}  // namespace limpethatch
