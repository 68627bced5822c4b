#include "programs/standin/engine.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/json_members.h"
#include "limpethatch/process/log.h"

namespace limpethatch::standin {
namespace json = boost::json;
namespace {

constexpr uint32_t kTokensBeforeCrash = 3;
constexpr int kCrashExitCode = 70;
// Approximate size of a prompt token.
constexpr size_t kBytesPerPromptToken = 4;

SequenceSpec ToSpec(const CompletionRequest& request) {
  SequenceSpec spec;
  spec.prefix_blocks = PrefixBlocks(request.prompt);
  spec.prompt_tokens =
      static_cast<uint32_t>(request.prompt.size() / kBytesPerPromptToken + 1);
  spec.first_token = request.first_token;
  spec.end_token = request.end_token;
  spec.has_kv_cache = request.has_kv_cache;
  return spec;
}

}  // namespace

Engine::Engine(boost::asio::io_context& io, const EngineOptions& options)
    : options_(options),
      loop_(io, options_.model, options_.version, options_.event_interval),
      loader_(io, options_, loop_, [this] { target_.AnnounceNow(); }),
      orders_(options_.checks_fencing),
      target_(
          io,
          options_.target,
          [this](HttpExchange& exchange) { Handle(exchange); },
          [this](json::object& announcement) {
            FillAnnouncement(announcement);
          },
          [this] {
            return Load{loop_.model().running(), loop_.model().waiting(),
                        Clock::now()};
          }) {}

void Engine::FillAnnouncement(json::object& announcement) {
  announcement["kind"] = "engine";
  announcement["pool"] = options_.pool;
  announcement["slots"] = options_.model.slots;
  announcement["version"] = loader_.announced_version();
  announcement["checks_fencing"] = orders_.checks_fencing();
}

void Engine::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const bool is_post = request.method == "POST";
  if (is_post && request.path == "/v1/completions") {
    HandleCompletion(exchange);
  } else if (request.path == "/v1/orders") {
    exchange.Respond(is_post ? HandleOrder(request) : OrderReport());
  } else if (is_post && request.path == "/v1/kv/export") {
    exchange.Respond(ExportKv(request));
  } else if (request.path == "/v1/load") {
    exchange.Respond(JsonResponse(200, target_.LoadReport()));
  } else if (request.path == "/health") {
    exchange.Respond(JsonResponse(200, {{"ok", true}}));
  } else {
    exchange.Respond(
        ErrorResponse(404, "no_such_path", request.path, "not_run"));
  }
}

void Engine::HandleCompletion(HttpExchange& exchange) {
  const auto request =
      ParseCompletionRequest(exchange.request(), options_.lengths);
  if (!request) {
    exchange.Respond(ErrorResponse(400, "malformed_request",
                                   "expected an object with a prompt",
                                   "not_run"));
    return;
  }
  target_.RecordWork();
  const SequenceId id = loop_.Submit(ToSpec(*request));
  if (!request->id.empty()) {
    streams_[request->id] = {id, request->key};
  }
  if (request->stream) {
    HttpHeaders headers;
    headers.Set("Content-Type", "text/event-stream");
    exchange.StartStream(200, headers);
  }
  if (FollowSequence(exchange, *request, id)) {
    FinishAnswer(exchange, *request, id);
  }
  loop_.Remove(id);
  const auto found = streams_.find(request->id);
  if (found != streams_.end() && found->second.sequence == id) {
    streams_.erase(found);
  }
}

bool Engine::FollowSequence(HttpExchange& exchange,
                            const CompletionRequest& request,
                            SequenceId id) {
  uint32_t sent = request.first_token;
  bool finished = false;
  while (!finished) {
    loop_.Wait(exchange.yield(), id, sent);
    if (exchange.PeerDisconnected()) {
      return false;
    }
    const Sequence& sequence = *loop_.model().Find(id);
    const uint32_t tokens = sequence.tokens;
    finished = sequence.finished();
    CrashIfPoisoned(request, tokens);
    if (request.stream && tokens > sent) {
      exchange.WriteChunk(
          TokenEvents(request.key, sequence.ranges, sent, tokens));
      sent = tokens;
    }
  }
  return true;
}

void Engine::FinishAnswer(HttpExchange& exchange,
                          const CompletionRequest& request,
                          SequenceId id) {
  const Sequence& sequence = *loop_.model().Find(id);
  if (request.stream) {
    exchange.WriteChunk(FinalEvents(request, sequence.ranges));
    exchange.FinishStream();
    return;
  }
  HttpResponse response;
  response.headers.Set("Content-Type", "application/json");
  response.body = CompletionBody(request, sequence.ranges);
  exchange.Respond(response);
}

void Engine::CrashIfPoisoned(const CompletionRequest& request,
                             uint32_t tokens) {
  const uint32_t crash_at =
      std::min(request.first_token + kTokensBeforeCrash, request.end_token);
  if (tokens < crash_at || options_.poison.empty() ||
      request.prompt.find(options_.poison) == std::string::npos) {
    return;
  }
  Log(LogLevel::kError, "crashed", {{"request", request.id}});
  std::_Exit(kCrashExitCode);
}

HttpResponse Engine::HandleOrder(const HttpRequest& request) {
  const auto body = ParseJsonObject(request.body);
  const uint64_t version = body ? UnsignedMember(*body, "version") : 0;
  if (!body || StringMember(*body, "order") != "load" || version == 0) {
    return ErrorResponse(400, "malformed_order",
                         "expected an order to load a version", "not_run");
  }
  const uint64_t term = UnsignedMember(*body, "term");
  const auto verdict = orders_.Receive(term, StringMember(*body, "order_id"));
  if (verdict == OrderRecord::Verdict::kStaleTerm) {
    return ErrorResponse(409, "stale_term", "an order of a later term came",
                         "not_run");
  }
  if (verdict == OrderRecord::Verdict::kAccepted) {
    loader_.Load(target_.client(), version,
                 BoundedTime<std::chrono::milliseconds>(
                     UnsignedMember(*body, "deadline_ms")));
  }
  return JsonResponse(202,
                      {{"accepted", true},
                       {"repeated", verdict == OrderRecord::Verdict::kRepeated},
                       {"version", version}});
}

HttpResponse Engine::OrderReport() const {
  json::object terms;
  for (const auto& [term, counts] : orders_.terms()) {
    terms[std::to_string(term)] = {{"accepted", counts.accepted},
                                   {"refused", counts.refused}};
  }
  return JsonResponse(200, {{"highest_term", orders_.highest_term()},
                            {"terms", terms},
                            {"generating_version", loop_.model().version()},
                            {"announced_version", loader_.announced_version()},
                            {"loading_version", loader_.loading_version()},
                            {"loads_done", loader_.loads_done()},
                            {"loads_failed", loader_.loads_failed()}});
}

HttpResponse Engine::ExportKv(const HttpRequest& request) {
  const auto body = ParseJsonObject(request.body);
  const auto found =
      streams_.find(body ? StringMember(*body, "request_id") : std::string());
  if (found == streams_.end()) {
    return ErrorResponse(404, "no_such_request", "no stream of that id runs",
                         "not_run");
  }
  loop_.model().Advance(Clock::now());
  const Sequence& sequence = *loop_.model().Find(found->second.sequence);
  return JsonResponse(200, {{"kv", KvToken(found->second.key, sequence.tokens)},
                            {"tokens", sequence.tokens}});
}

}  // namespace limpethatch::standin
