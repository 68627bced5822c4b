// Flags and control interface of the TCP forwarder.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/flags.h"
#include "limpethatch/process/json_members.h"
#include "programs/standin/link.h"
#include "programs/standin/subcommands.h"
#include "programs/standin/target.h"

namespace limpethatch::standin {
namespace json = boost::json;
namespace {

struct LinkOptions {
  Endpoint control;
  std::vector<std::string> forwards;
  uint64_t seed = 1;
};

class LinkController {
 public:
  LinkController(boost::asio::io_context& io, const LinkOptions& options)
      : io_(io),
        options_(options),
        random_(options.seed),
        control_(io, {}, [this](HttpExchange& exchange) { Handle(exchange); }) {
  }

  std::error_code Start() {
    for (const std::string& text : options_.forwards) {
      ForwardSpec spec;
      if (!ParseForward(text, &spec)) {
        return std::make_error_code(std::errc::invalid_argument);
      }
      forwards_.push_back(std::make_shared<Forwarder>(io_, spec));
      if (const auto error = forwards_.back()->Start()) {
        return error;
      }
    }
    return options_.control.host.empty() ? std::error_code()
                                         : control_.Listen(options_.control);
  }

 private:
  void Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.path != "/links") {
      exchange.Respond(
          ErrorResponse(404, "no_such_path", request.path, "not_run"));
      return;
    }
    exchange.Respond(request.method == "POST" ? HandleChange(request)
                                              : Report());
  }

  HttpResponse HandleChange(const HttpRequest& request) {
    const auto body = ParseJsonObject(request.body);
    const std::string mode = body ? StringMember(*body, "mode") : std::string();
    if (!IsKnownMode(mode)) {
      return ErrorResponse(400, "malformed_request", "unknown mode", "not_run");
    }
    const std::string name = StringMember(*body, "name");
    size_t changed = 0;
    size_t silenced = 0;
    for (const auto& forward : forwards_) {
      if (name == "*" || name == forward->name()) {
        ++changed;
        silenced += ApplyMode(*forward, mode, *body);
      }
    }
    return JsonResponse(200, {{"changed", changed}, {"silenced", silenced}});
  }

  static bool IsKnownMode(const std::string& mode) {
    return mode == "pass" || mode == "cut" || mode == "silent" ||
           mode == "silent-existing" || mode == "delay";
  }

  // Returns the number of connections that were silenced.
  size_t ApplyMode(Forwarder& forward,
                   const std::string& mode,
                   const json::object& body) {
    if (mode == "silent-existing") {
      return forward.SilenceExisting(DoubleMember(body, "share", 1), random_);
    }
    if (mode == "delay") {
      forward.SetDelay(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(
              DoubleMember(body, "delay_ms"))));
      return 0;
    }
    forward.SetMode(mode == "cut"      ? LinkMode::kCut
                    : mode == "silent" ? LinkMode::kSilent
                                       : LinkMode::kPass);
    return 0;
  }

  HttpResponse Report() {
    json::object connections;
    for (const auto& forward : forwards_) {
      json::value& count = connections[forward->name()];
      count = (count.is_null() ? 0 : count.as_uint64()) +
              uint64_t{forward->open_connections()};
    }
    return JsonResponse(200, {{"connections", connections}});
  }

  boost::asio::io_context& io_;
  const LinkOptions options_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Forwarder>> forwards_;
  HttpServer control_;
};

}  // namespace

int LinkMain(int argc, const char* const* argv) {
  LinkOptions options;
  Flags flags("limpethatch-standin link --forward LISTEN=TARGET@NAME ...");
  flags.Add("control", &options.control, "address of the control interface");
  flags.Add("forward", &options.forwards, "LISTEN=TARGET@NAME, repeatable");
  flags.Add("seed", &options.seed, "seed of the choice of silent connections");
  if (const auto done = flags.Parse(argc, argv)) {
    return *done;
  }
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  LinkController controller(io, options);
  return RunUntilStopped(io, controller.Start());
}

}  // namespace limpethatch::standin
