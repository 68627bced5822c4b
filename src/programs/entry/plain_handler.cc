#include "programs/entry/plain_handler.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <vector>

#include "limpethatch/request/digest.h"
#include "programs/entry/claimed_call.h"
#include "programs/entry/json_response.h"
#include "programs/entry/request_headers.h"
#include "programs/entry/target_call.h"

namespace limpethatch {
namespace {

// Headers that are forwarded to the target.
constexpr std::array<std::string_view, 4> kForwardedHeaders{
    "Content-Type", "Accept", "Idempotency-Key", "X-Request-Id"};

// Splits "/svc/NAME/rest" into NAME and "/rest".
std::pair<std::string, std::string> SplitPath(std::string_view path) {
  path.remove_prefix(kPlainPrefix.size());
  const size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    return {std::string(path), "/"};
  }
  return {std::string(path.substr(0, slash)), std::string(path.substr(slash))};
}

bool IsIdempotent(const Service& service, const HttpRequest& request) {
  if (request.method == "GET" || request.method == "HEAD") {
    return true;
  }
  for (const std::string& prefix : service.non_idempotent_paths) {
    if (request.path.starts_with(prefix)) {
      return false;
    }
  }
  return true;
}

std::string ContentDigestOf(const HttpRequest& request) {
  return BytesToHex(
      RequestDigest(fmt::format("{} {}?{}\n{}", request.method, request.path,
                                request.query, request.body)));
}

HttpRequest MakeTargetRequest(const HttpRequest& request, std::string path) {
  HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.path = std::move(path);
  forwarded.query = request.query;
  forwarded.body = request.body;
  for (std::string_view name : kForwardedHeaders) {
    if (const std::string_view value = request.headers.Get(name);
        !value.empty()) {
      forwarded.headers.Set(name, value);
    }
  }
  return forwarded;
}

}  // namespace

void ServePlain(EntryContext& context, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  auto [name, path] = SplitPath(request.path);
  const ManifestPtr manifest = context.CurrentManifest();
  const auto found = manifest->manifest.services.find(name);
  if (found == manifest->manifest.services.end() ||
      found->second.kind != ServiceKind::kPlain) {
    exchange.Respond(RefusalResponse(UnknownService(name)));
    return;
  }
  PlainCall call;
  call.service = name;
  call.flow = FlowOf(name, request);
  call.weight = found->second.weight;
  call.request = MakeTargetRequest(request, std::move(path));
  call.digest = ContentDigestOf(call.request);
  call.deadline = DeadlineOf(request, found->second.deadline, Clock::now());
  const HttpResponse answer =
      IsIdempotent(found->second, call.request)
          ? CallIdempotent(context, exchange.yield(), call)
          : CallAtMostOnce(context, exchange.yield(), call);
  exchange.Respond(answer);
}

}  // namespace limpethatch
