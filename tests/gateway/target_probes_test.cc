#include "programs/gateway/target_probes.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/free_endpoint.h"
#include "limpethatch/connection/http_server.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// A target that answers requests to its health path with a load, on its own
// thread.
class ProbedTarget {
 public:
  explicit ProbedTarget(std::string load)
      : endpoint_(FreeEndpoint()),
        load_(std::move(load)),
        server_(io_, HttpServerLimits{}, [this](HttpExchange& exchange) {
          probes += exchange.request().path == "/health" ? 1 : 0;
          HttpResponse response;
          response.headers.Set("Server-Load", load_);
          exchange.Respond(response);
        }) {
    cr_assert(!server_.Listen(endpoint_));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ProbedTarget() {
    io_.stop();
    thread_.join();
  }

  const Endpoint& endpoint() const { return endpoint_; }
  std::atomic<int> probes{0};

 private:
  boost::asio::io_context io_;
  const Endpoint endpoint_;
  const std::string load_;
  HttpServer server_;
  std::thread thread_;
};

TargetTable MakeTable(const std::vector<Endpoint>& endpoints) {
  std::vector<Target> targets;
  for (const Endpoint& endpoint : endpoints) {
    Target& target = targets.emplace_back();
    target.id = std::to_string(targets.size() - 1);
    target.service = "desk";
    target.zone = "z";
    target.slots = 6;
    target.address = endpoint;
  }
  return {std::move(targets), nullptr};
}

// Runs one round of probes.
std::vector<std::string> ProbeOnce(const TargetTable& table, uint64_t random) {
  boost::asio::io_context io;
  HttpClient client(io, HttpClientOptions{});
  GatewayMetrics metrics;
  // Long enough for a busy machine.
  TargetProbes probes(io, client, metrics,
                      {.enabled = true, .max_wait = std::chrono::seconds(20)},
                      [](std::string_view) { return "/health"; });
  std::vector<std::string> unprobed;
  bool ended = false;
  Spawn(io, [&](Yield yield) {
    unprobed = probes.Probe(yield, table.Find("desk"), random);
    ended = true;
  });
  while (!ended) {
    io.run_one();
  }
  return unprobed;
}

}  // namespace

// Guards against probes that do not reach the choice, and against more than two
// of them for one request.
Test(target_probes, two_targets_are_asked_and_the_better_one_is_chosen) {
  ProbedTarget full("6,9,6,100");
  ProbedTarget slow("0,0,6,250");
  ProbedTarget usual("0,0,6,100");
  for (uint64_t random = 0; random < 6; ++random) {
    const TargetTable table =
        MakeTable({full.endpoint(), slow.endpoint(), usual.endpoint()});
    for (const char* id : {"0", "1", "2"}) {
      TargetEstimate& estimate = *table.FindTarget(id)->estimate;
      const TimePoint past = Clock::now() - std::chrono::seconds(9);
      estimate.OnSent(past);
      estimate.OnLoad({.running = 1, .slots = 6}, past);
      estimate.OnAnswered(std::chrono::milliseconds(25),
                          past + std::chrono::milliseconds(25));
    }
    const int before = full.probes + slow.probes + usual.probes;
    const std::vector<std::string> unprobed = ProbeOnce(table, random);
    cr_assert_eq(full.probes + slow.probes + usual.probes, before + 2);
    cr_assert_eq(unprobed.size(), 1);
    RouteRequest request;
    request.service = "desk";
    request.excluded = unprobed;
    request.random = random;
    // The figures are used at the age that they have on a machine at rest.
    request.now = Clock::now();
    const Router router({.zone = "z", .use_estimates = true});
    const std::string chosen = router.Choose(table, request)->target.id;
    const char* const better = unprobed[0] == "2" ? "1" : "2";
    cr_assert_str_eq(chosen.c_str(), better);
  }
}

// Guards against a request that goes to a target which answers no probe, or to
// none at all.
Test(target_probes, a_target_that_does_not_answer_is_avoided) {
  ProbedTarget usual("0,0,6,100");
  const TargetTable table = MakeTable({FreeEndpoint(), usual.endpoint()});
  table.FindTarget("0")->estimate->OnLoad({.slots = 6}, TimePoint());
  cr_assert(ProbeOnce(table, 0) == std::vector<std::string>{"0"});
  const TargetTable down = MakeTable({FreeEndpoint(), FreeEndpoint()});
  down.FindTarget("0")->estimate->OnLoad({.slots = 6}, TimePoint());
  cr_assert(ProbeOnce(down, 0).empty());
}

// Guards against probes of targets that do not state the four figures.
Test(target_probes, targets_without_figures_are_not_probed) {
  ProbedTarget first("0,0,6");
  ProbedTarget second("0,0,6");
  const TargetTable table = MakeTable({first.endpoint(), second.endpoint()});
  cr_assert(ProbeOnce(table, 0).empty());
  cr_assert_eq(first.probes + second.probes, 0);
}

}  // namespace limpethatch
