// A plain HTTP service: lookups, and orders that must run at most once.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>

#include "limpethatch/process/json_members.h"
#include "limpethatch/process/log.h"
#include "limpethatch/request/synthetic.h"
#include "programs/standin/slot_queue.h"
#include "programs/standin/subcommands.h"
#include "programs/standin/target.h"

namespace limpethatch::standin {
namespace json = boost::json;
namespace {

constexpr int kCrashExitCode = 70;

struct ServiceOptions {
  TargetOptions target;
  std::string service;
  uint32_t slots = 32;
  Duration latency = std::chrono::milliseconds(2);
  double slow_factor = 1;
  std::string poison = "POISON";
};

class Service {
 public:
  Service(boost::asio::io_context& io, const ServiceOptions& options)
      : options_(options),
        slow_factor_(options.slow_factor),
        queue_(io, options.slots),
        target_(
            io,
            options.target,
            [this](HttpExchange& exchange) { Handle(exchange); },
            [this](json::object& announcement) {
              FillAnnouncement(announcement);
            },
            [this] {
              return Load{queue_.running(), queue_.waiting(), Clock::now()};
            }) {}

  std::error_code Start() { return target_.Start(); }

 private:
  void FillAnnouncement(json::object& announcement) {
    announcement["kind"] = "service";
    announcement["service"] = options_.service;
    announcement["slots"] = options_.slots;
    announcement["version"] = 0;
    announcement["checks_fencing"] = false;
  }

  void Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.path == "/counts") {
      exchange.Respond(JsonResponse(200, CountsJson()));
    } else if (request.path == "/admin" && request.method == "POST") {
      exchange.Respond(HandleAdmin(request));
    } else if (request.path == "/v1/load") {
      exchange.Respond(JsonResponse(200, target_.LoadReport()));
    } else if (request.path == "/health") {
      exchange.Respond(JsonResponse(200, {{"ok", true}}));
    } else {
      HandleRequest(exchange);
    }
  }

  void HandleRequest(HttpExchange& exchange) {
    target_.RecordWork();
    const SlotQueue::Slot slot = queue_.Acquire(exchange.yield());
    const HttpRequest& request = exchange.request();
    const bool is_order = request.method == "POST" && request.path == "/orders";
    const std::string id = is_order ? OrderId(request) : std::string();
    const uint64_t run = is_order ? ++runs_[id] : 0;
    SleepFor(exchange.yield(), std::chrono::duration_cast<Duration>(
                                   options_.latency * slow_factor_));
    CrashIfPoisoned(request);
    HttpResponse response;
    if (is_order) {
      response =
          JsonResponse(200, {{"order", id}, {"confirmed", true}, {"run", run}});
    } else {
      response.headers.Set("Content-Type", "application/json");
      response.body = SyntheticStock(request.path);
    }
    exchange.Respond(response);
  }

  static std::string OrderId(const HttpRequest& request) {
    if (const auto key = request.headers.Get("Idempotency-Key"); !key.empty()) {
      return std::string(key);
    }
    const auto body = ParseJsonObject(request.body);
    return body ? StringMember(*body, "id") : std::string();
  }

  void CrashIfPoisoned(const HttpRequest& request) const {
    if (!options_.poison.empty() &&
        request.body.find(options_.poison) != std::string::npos) {
      Log(LogLevel::kError, "crashed", {{"path", request.path}});
      std::_Exit(kCrashExitCode);
    }
  }

  HttpResponse HandleAdmin(const HttpRequest& request) {
    const auto body = ParseJsonObject(request.body);
    if (!body) {
      return ErrorResponse(400, "malformed_request", "expected an object",
                           "not_run");
    }
    slow_factor_ = DoubleMember(*body, "slow_factor", slow_factor_);
    return JsonResponse(200, {{"slow_factor", slow_factor_}});
  }

  json::object CountsJson() const {
    json::object runs;
    for (const auto& [id, count] : runs_) {
      runs[id] = count;
    }
    return {{"runs", runs}};
  }

  const ServiceOptions options_;
  double slow_factor_;
  SlotQueue queue_;
  std::map<std::string, uint64_t> runs_;
  Target target_;
};

}  // namespace

int ServiceMain(int argc, const char* const* argv) {
  ServiceOptions options;
  Flags flags("limpethatch-standin service --listen IP:PORT [options]");
  options.target.RegisterFlags(flags);
  flags.Add("service", &options.service, "service of this target");
  flags.Add("slots", &options.slots, "maximum concurrent requests");
  flags.Add("latency", &options.latency, "processing time of a request");
  flags.Add("slow-factor", &options.slow_factor, "multiplies the latency");
  flags.Add("poison", &options.poison,
            "text in a body that crashes the service");
  if (const auto done = flags.Parse(argc, argv)) {
    return *done;
  }
  boost::asio::io_context io(1);
  Service service(io, options);
  return RunUntilStopped(io, service.Start());
}

}  // namespace limpethatch::standin
