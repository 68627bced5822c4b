#include "programs/entry/operator_handler.h"

#include <boost/json/array.hpp>

#include "limpethatch/process/json_members.h"
#include "limpethatch/version/manifest_reader.h"
#include "programs/entry/entry_metrics.h"
#include "programs/entry/json_response.h"

namespace limpethatch {
namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(5);
constexpr Duration kStatusTimeout = std::chrono::seconds(2);

using wire::ManifestOutcome;

HttpResponse ReadyResponse(EntryContext& context) {
  const bool ready =
      !context.draining && context.CurrentManifest()->version > 0;
  return JsonResponse(ready ? 200 : 503, boost::json::object{{"ready", ready}});
}

HttpResponse TargetsResponse(EntryContext& context) {
  boost::json::array targets;
  context.targets.Read([&](const TargetTable& table) {
    for (const auto& [id, routed] : table.targets()) {
      const Target& target = routed->target;
      targets.push_back(
          boost::json::object{{"id", target.id},
                              {"address", target.address.ToString()},
                              {"service", target.service},
                              {"zone", target.zone},
                              {"version", target.version},
                              {"leaving", target.leaving},
                              {"outstanding", routed->stats->outstanding()}});
    }
  });
  return JsonResponse(200, boost::json::object{{"targets", targets}});
}

HttpResponse FaultsResponse(const JsonFaults& faults) {
  boost::json::array json_array;
  for (const JsonFault& fault : faults) {
    json_array.push_back(boost::json::object{{"path", fault.path},
                                             {"line", fault.line},
                                             {"problem", fault.problem}});
  }
  return JsonResponse(
      422, boost::json::object{{"outcome", "refused"}, {"faults", json_array}});
}

boost::json::array TextsToJson(
    const google::protobuf::RepeatedPtrField<std::string>& texts) {
  boost::json::array json_array;
  for (const std::string& text : texts) {
    json_array.push_back(boost::json::string(text));
  }
  return json_array;
}

HttpResponse ManifestResponse(const ManifestOutcome& outcome) {
  switch (outcome.verdict()) {
    case ManifestOutcome::ACCEPTED:
      return JsonResponse(
          200, boost::json::object{
                   {"outcome", "accepted"},
                   {"version", outcome.version()},
                   {"repeated", outcome.repeated()},
                   {"disruptions", TextsToJson(outcome.disruptions())},
                   {"notices", TextsToJson(outcome.notices())}});
    case ManifestOutcome::DISRUPTIVE:
      return JsonResponse(
          422, boost::json::object{
                   {"outcome", "disruptive"},
                   {"version", outcome.version()},
                   {"disruptions", TextsToJson(outcome.disruptions())}});
    case ManifestOutcome::CHANGE_ID_REUSED:
      return JsonResponse(409,
                          boost::json::object{{"outcome", "change_id_reused"},
                                              {"version", outcome.version()}});
    default:
      return JsonResponse(
          409, boost::json::object{
                   {"outcome", "conflict"},
                   {"version", outcome.version()},
                   {"standing_change_id", outcome.standing_change_id()},
                   {"standing_author", outcome.standing_author()}});
  }
}

HttpResponse ApplyManifest(EntryContext& context, HttpExchange& exchange) {
  const auto body = ParseJsonObject(exchange.request().body);
  if (!body || StringMember(*body, "change_id").empty()) {
    return RefusalResponse(BadRequest(
        "expected {\"expect_version\", \"change_id\", \"manifest\"}"));
  }
  JsonFaults faults;
  ReadManifest(StringMember(*body, "manifest"), faults);
  if (!faults.empty()) {
    return FaultsResponse(faults);
  }
  wire::Command command;
  wire::ManifestApply* apply = command.mutable_manifest_apply();
  apply->set_expect_version(UnsignedMember(*body, "expect_version"));
  apply->set_change_id(StringMember(*body, "change_id"));
  apply->set_manifest(StringMember(*body, "manifest"));
  apply->set_author(StringMember(*body, "author"));
  apply->set_allow_disruption(BoolMember(*body, "allow_disruption"));
  const ControlOutcome outcome = context.control.Call(
      exchange.yield(), command, Clock::now() + kCommandTimeout);
  switch (outcome.certainty) {
    case ControlCertainty::kDone:
      return ManifestResponse(outcome.result.manifest());
    case ControlCertainty::kNotDone:
      return RefusalResponse(NoQuorum(Ran::kNotRun));
    default:
      return RefusalResponse(NoQuorum(Ran::kMayHaveRun));
  }
}

HttpResponse CurrentManifestResponse(EntryContext& context) {
  const ManifestPtr manifest = context.CurrentManifest();
  return JsonResponse(200, boost::json::object{{"version", manifest->version},
                                               {"manifest", manifest->text}});
}

boost::json::object StatusToJson(const wire::StatusReply& status) {
  boost::json::array instances;
  for (const wire::InstanceStatus& instance : status.instances()) {
    instances.push_back(
        boost::json::object{{"id", instance.id()},
                            {"zone", instance.zone()},
                            {"manifest_version", instance.manifest_version()},
                            {"silent_ms", instance.silent_ms()}});
  }
  boost::json::array replicas;
  for (const wire::ReplicaStatus& replica : status.replicas()) {
    replicas.push_back(
        boost::json::object{{"id", replica.id()},
                            {"match_index", replica.match_index()},
                            {"voting", replica.voting()},
                            {"reachable", replica.reachable()}});
  }
  boost::json::array steps;
  for (const wire::StepStatus& step : status.steps()) {
    steps.push_back(boost::json::object{{"trainer", step.trainer()},
                                        {"step", step.step()},
                                        {"total", step.total()},
                                        {"waiting", step.waiting()},
                                        {"running", step.running()},
                                        {"recorded", step.recorded()},
                                        {"acknowledged", step.acknowledged()},
                                        {"remade", step.remade()},
                                        {"most_remakes", step.most_remakes()}});
  }
  boost::json::array pools;
  for (const wire::PoolVersion& pool : status.pools()) {
    pools.push_back(boost::json::object{{"pool", pool.pool()},
                                        {"version", pool.version()}});
  }
  return {{"leader", status.leader()},
          {"term", status.term()},
          {"commit_index", status.commit_index()},
          {"manifest_version", status.manifest_version()},
          {"quorum", status.quorum()},
          {"instances", std::move(instances)},
          {"replicas", std::move(replicas)},
          {"steps", std::move(steps)},
          {"pools", std::move(pools)}};
}

HttpResponse StatusResponse(EntryContext& context, HttpExchange& exchange) {
  const Result<wire::StatusReply> status =
      context.control.Status(exchange.yield(), Clock::now() + kStatusTimeout);
  if (!status) {
    return RefusalResponse(NoQuorum(Ran::kNotRun));
  }
  return JsonResponse(200, StatusToJson(status.value()));
}

HttpResponse HistoryResponse(EntryContext& context, HttpExchange& exchange) {
  const Result<wire::HistoryReply> history =
      context.control.History(exchange.yield(), Clock::now() + kStatusTimeout);
  if (!history) {
    return RefusalResponse(NoQuorum(Ran::kNotRun));
  }
  boost::json::array changes;
  for (const wire::ManifestChange& change : history.value().changes()) {
    changes.insert(changes.begin(),
                   boost::json::object{{"version", change.version()},
                                       {"change_id", change.change_id()},
                                       {"author", change.author()}});
  }
  return JsonResponse(200,
                      boost::json::object{{"changes", std::move(changes)}});
}

boost::json::object WindowToJson(const wire::BurnWindow& window) {
  boost::json::object causes;
  for (const wire::BurnCause& cause : window.causes()) {
    causes[cause.cause()] = cause.count();
  }
  return {{"span_ms", window.span_ms()},
          {"good", window.good()},
          {"causes", std::move(causes)}};
}

boost::json::object BurnToJson(const wire::BurnStatus& burn) {
  boost::json::array points;
  for (const wire::BurnPoint& point : burn.points()) {
    points.push_back(boost::json::array{point.good(), point.bad()});
  }
  return {{"name", burn.name()},
          {"kind", burn.trainer() ? "trainer" : "service"},
          {"target", burn.target()},
          {"latency_ms", burn.latency_ms()},
          {"short", WindowToJson(burn.short_window())},
          {"long", WindowToJson(burn.long_window())},
          {"points", std::move(points)}};
}

HttpResponse BurnResponse(EntryContext& context, HttpExchange& exchange) {
  const Result<wire::BurnReply> reply =
      context.control.Burn(exchange.yield(), Clock::now() + kStatusTimeout);
  if (!reply) {
    return RefusalResponse(NoQuorum(Ran::kNotRun));
  }
  boost::json::array burns;
  for (const wire::BurnStatus& burn : reply.value().burns()) {
    burns.push_back(BurnToJson(burn));
  }
  return JsonResponse(
      200, boost::json::object{{"covered_ms", reply.value().covered_ms()},
                               {"burns", std::move(burns)}});
}

HttpResponse MetricsResponse(EntryContext& context) {
  HttpResponse response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = RenderMetrics(context);
  return response;
}

void RespondWithError(HttpExchange& exchange,
                      int status,
                      std::string_view problem) {
  Refusal refusal = BadRequest(problem);
  refusal.status = status;
  exchange.Respond(RefusalResponse(refusal));
}

void RespondUnauthorized(HttpExchange& exchange) {
  HttpResponse response = RefusalResponse(
      {401, "unauthorized", "needs a header \"Authorization: Bearer KEY\"",
       Ran::kNotRun, std::nullopt});
  response.headers.Set("WWW-Authenticate", "Bearer");
  exchange.Respond(response);
}

// Responds first, because the drain closes idle connections.
void ServeDrain(EntryContext& context, HttpExchange& exchange) {
  exchange.Respond(JsonResponse(202, boost::json::object{{"draining", true}}));
  context.start_drain();
}

}  // namespace

void ServeOperator(EntryContext& context,
                   const OperatorAuthenticator& authenticator,
                   HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const bool post = request.method == "POST";
  if (!authenticator.Allows(request)) {
    RespondUnauthorized(exchange);
  } else if (request.path == "/healthz") {
    exchange.Respond(JsonResponse(200, boost::json::object{{"alive", true}}));
  } else if (request.path == "/readyz") {
    exchange.Respond(ReadyResponse(context));
  } else if (request.path == "/v1/targets") {
    exchange.Respond(TargetsResponse(context));
  } else if (request.path == "/v1/manifest") {
    exchange.Respond(post ? ApplyManifest(context, exchange)
                          : CurrentManifestResponse(context));
  } else if (request.path == "/v1/status") {
    exchange.Respond(StatusResponse(context, exchange));
  } else if (request.path == "/v1/history") {
    exchange.Respond(HistoryResponse(context, exchange));
  } else if (request.path == "/v1/burn") {
    exchange.Respond(BurnResponse(context, exchange));
  } else if (request.path == "/metrics") {
    exchange.Respond(MetricsResponse(context));
  } else if (request.path == "/v1/drain" && post) {
    ServeDrain(context, exchange);
  } else if (request.path == "/v1/drain") {
    RespondWithError(exchange, 405, "a planned stop is started by POST");
  } else {
    RespondWithError(exchange, 404, "no such path for operators");
  }
}

}  // namespace limpethatch
