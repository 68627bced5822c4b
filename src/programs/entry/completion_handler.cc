#include "programs/entry/completion_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "limpethatch/process/json_members.h"
#include "programs/entry/completion_run.h"
#include "programs/entry/json_response.h"
#include "programs/entry/request_headers.h"

namespace limpethatch {
namespace {

constexpr uint64_t kDefaultMaxTokens = 16;  // As in the completions API.
constexpr uint64_t kMaxTokens = 65'536;

std::string RequestIdOf(EntryContext& context, const HttpRequest& request) {
  const std::string_view id = request.headers.Get("X-Request-Id");
  return id.empty() ? fmt::format("cmpl-{:016x}", context.Random())
                    : std::string(id);
}

CompletionRequest MakeEngineRequest(EntryContext& context,
                                    const HttpRequest& http,
                                    const boost::json::object& body) {
  CompletionRequest request;
  request.prompt = StringMember(body, "prompt");
  // A request without a seed gets one here, so that an answer resumed on
  // another engine continues the same sequence.
  request.seed = UnsignedMember(body, "seed", context.Random() >> 1);
  request.max_tokens = static_cast<uint32_t>(std::clamp<uint64_t>(
      UnsignedMember(body, "max_tokens", kDefaultMaxTokens), 1, kMaxTokens));
  request.request_id = RequestIdOf(context, http);
  return request;
}

AdmissionRequest MakeAdmissionRequest(const HttpRequest& http,
                                      const Service& service,
                                      const LiveCompletion& completion) {
  AdmissionRequest request;
  request.flow = FlowOf(completion.service, http);
  request.weight = service.weight;
  request.request_class = RequestClass::kLive;
  request.deadline = completion.deadline;
  return request;
}

}  // namespace

void ServeCompletion(EntryContext& context, HttpExchange& exchange) {
  const HttpRequest& http = exchange.request();
  const auto body = ParseJsonObject(http.body);
  if (!body || !body->contains("prompt")) {
    exchange.Respond(
        RefusalResponse(BadRequest("expected an object with a \"prompt\"")));
    return;
  }
  const std::string model = StringMember(*body, "model");
  const ManifestPtr manifest = context.CurrentManifest();
  const auto found = manifest->manifest.services.find(model);
  if (found == manifest->manifest.services.end() ||
      found->second.kind != ServiceKind::kEngine) {
    exchange.Respond(RefusalResponse(UnknownService(model)));
    return;
  }
  const Service& service = found->second;
  LiveCompletion completion{model, service.pool,
                            MakeEngineRequest(context, http, *body),
                            DeadlineOf(http, service.deadline, Clock::now())};
  completion.request.model = service.pool;
  CompletionWriter writer(exchange, completion.request.request_id, model,
                          BoolMember(*body, "stream"));
  RefuseRequest refused;
  auto ticket =
      context.services.GetOrCreate(service.pool, TargetKind::kEngine)
          ->admission->Acquire(exchange.yield(),
                               MakeAdmissionRequest(http, service, completion),
                               &refused);
  if (!ticket) {
    writer.WriteRefusal(Overloaded(model, refused.retry_after));
    return;
  }
  ticket->Finish(
      CompletionRun(context, completion, writer).Run(exchange.yield()));
}

}  // namespace limpethatch
