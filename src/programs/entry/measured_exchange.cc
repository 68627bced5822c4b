#include "programs/entry/measured_exchange.h"

#include <string>

#include "limpethatch/process/json_members.h"
#include "programs/entry/json_response.h"
#include "programs/entry/plain_handler.h"

namespace limpethatch {
namespace {

constexpr int kMinClientErrorStatus = 400;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kMinServerErrorStatus = 500;

// Forwards all calls to another exchange and keeps the response's status and
// headers.
class MeasuredExchange : public HttpExchange {
 public:
  explicit MeasuredExchange(HttpExchange& inner) : inner_(inner) {}

  const HttpRequest& request() const override { return inner_.request(); }
  Yield yield() const override { return inner_.yield(); }
  bool PeerDisconnected() override { return inner_.PeerDisconnected(); }

  std::error_code Respond(const HttpResponse& response) override {
    response_.status = response.status;
    response_.headers = response.headers;
    complete_ = true;
    return inner_.Respond(response);
  }
  std::error_code StartStream(int status, const HttpHeaders& headers) override {
    response_.status = status;
    return TrackWrite(inner_.StartStream(status, headers));
  }
  std::error_code WriteChunk(std::string_view chunk) override {
    return TrackWrite(inner_.WriteChunk(chunk));
  }
  std::error_code FinishStream() override {
    complete_ = true;
    return inner_.FinishStream();
  }

  // Returns nullopt if the caller disconnected before its stream was complete.
  std::optional<RequestOutcome> Outcome(Duration duration,
                                        Duration latency) const {
    if (complete_) {
      return OutcomeOf(response_, duration, latency);
    }
    return caller_disconnected_ ? std::nullopt
                                : std::optional(RequestOutcome::kFailed);
  }

 private:
  std::error_code TrackWrite(std::error_code error) {
    caller_disconnected_ |= static_cast<bool>(error);
    return error;
  }

  HttpExchange& inner_;
  HttpResponse response_;
  bool complete_ = false;
  bool caller_disconnected_ = false;
};

// Returns the service that a request names, or an empty string.
std::string ServiceOf(const HttpRequest& request) {
  std::string_view path = request.path;
  if (!path.starts_with(kPlainPrefix)) {
    const auto body = ParseJsonObject(request.body);
    return body ? StringMember(*body, "model") : std::string();
  }
  path.remove_prefix(kPlainPrefix.size());
  return std::string(path.substr(0, path.find('/')));
}

}  // namespace

std::optional<RequestOutcome> OutcomeOf(const HttpResponse& response,
                                        Duration duration,
                                        Duration latency) {
  const std::string_view ran = response.headers.Get(kRanHeader);
  if (ran.empty() && response.status < kMinServerErrorStatus) {
    return duration <= latency ? RequestOutcome::kGood : RequestOutcome::kLate;
  }
  if (ran.empty()) {
    return RequestOutcome::kFailed;
  }
  if (response.status >= kMinClientErrorStatus &&
      response.status < kMinServerErrorStatus &&
      response.status != kTooManyRequestsStatus) {
    return std::nullopt;
  }
  return ran == RanName(Ran::kNotRun) ? RequestOutcome::kRefused
                                      : RequestOutcome::kFailed;
}

void ServeMeasured(EntryContext& context,
                   HttpExchange& exchange,
                   const std::function<void(HttpExchange&)>& serve) {
  const TimePoint started_at = Clock::now();
  const ManifestPtr manifest = context.CurrentManifest();
  const std::string name = ServiceOf(exchange.request());
  const auto service = manifest->manifest.services.find(name);
  const auto meter = manifest->meters.find(name);
  if (service == manifest->manifest.services.end() ||
      meter == manifest->meters.end()) {
    serve(exchange);
    return;
  }
  MeasuredExchange measured(exchange);
  serve(measured);
  const TimePoint now = Clock::now();
  const auto outcome =
      measured.Outcome(now - started_at, service->second.objective.latency);
  if (outcome) {
    meter->second->Count(*outcome, now - started_at, now);
  }
}

}  // namespace limpethatch
