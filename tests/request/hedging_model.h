// A service and its gateways on a manual clock, to compare ways of hedging. It
// uses the product's router, attempts, delay, budget and reports; only targets
// and the network are simulated. Deterministic for a seed.
#ifndef LIMPETHATCH_TESTS_REQUEST_HEDGING_MODEL_H_
#define LIMPETHATCH_TESTS_REQUEST_HEDGING_MODEL_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "limpethatch/request/hedging/hedge_budget.h"
#include "limpethatch/request/hedging/hedge_delay.h"
#include "limpethatch/request/hedging/hedge_report.h"
#include "limpethatch/request/hedging/slot_reports.h"
#include "limpethatch/request/live_attempts.h"
#include "limpethatch/request/router.h"
#include "request/hedging_scenario.h"

namespace limpethatch {

class HedgingModel {
 public:
  explicit HedgingModel(const HedgingScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        neighbour_random_(scenario.seed) {
    std::vector<Target> targets;
    double capacity = 0;
    for (size_t i = 0; i < scenario.slowness.size(); ++i) {
      Target& target = targets.emplace_back();
      target.id = "i-" + std::to_string(i);
      target.service = "desk";
      target.zone = "z";
      target.slots = kSlots;
      const double mean_slowness =
          scenario.slowness[i] *
          (scenario.neighbours ? 1 + kNeighbourShare * (kNeighbourFactor - 1)
                               : 1);
      capacity += kSlots / (kMeanWork_s * mean_slowness);
      servers_.push_back({.slowness = scenario.slowness[i]});
    }
    rate_ = capacity * scenario.load;
    for (size_t i = 0; i < scenario.gateways; ++i) {
      gateways_.push_back(std::make_unique<GatewayModel>(targets));
    }
  }

  HedgingFigures Run() {
    for (size_t i = 0; scenario_.neighbours && i < servers_.size(); ++i) {
      At(now_, [this, i] { ToggleNeighbour(i); });
    }
    At(now_, [this] { Arrive(); });
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    std::sort(figures_.latencies_s.begin(), figures_.latencies_s.end());
    return std::move(figures_);
  }

 private:
  static constexpr uint32_t kSlots = 6;
  static constexpr double kMeanWork_s = 0.025;
  static constexpr double kNeighbourShare = 0.15;
  static constexpr double kNeighbourFactor = 2.5;
  static constexpr double kNeighbour_s = 0.6;
  // Of the logarithm of the work: of requests, and of two runs of the same one.
  static constexpr double kRequestSigma = 0.3;
  static constexpr double kRunSigma = 0.3;
  static constexpr Duration kDeadline = std::chrono::milliseconds(1000);
  static constexpr Duration kHop = std::chrono::microseconds(500);
  static constexpr Duration kLeaderHop = std::chrono::milliseconds(1);
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);

  struct GatewayModel {
    explicit GatewayModel(const std::vector<Target>& targets)
        : table(targets, nullptr), router({.zone = "z"}) {}
    TargetTable table;
    Router router;
    HedgeDelay delay;
    HedgeReport report;
    SlotReports slots;
  };
  struct Request;
  struct Copy {
    Copy(RoutedTargetPtr to, size_t index, bool is_hedge, TimePoint now)
        : target(std::move(to)),
          server(index),
          hedge(is_hedge),
          sent_at(now),
          ticket(*target, RequestClass::kLookup, now) {}
    RoutedTargetPtr target;
    size_t server;
    bool hedge;
    TimePoint sent_at;
    CallTicket ticket;
    bool started = false;
    bool cancelled = false;
  };
  struct Request {
    GatewayModel* gateway = nullptr;
    TimePoint arrived_at;
    double work_s = 0;
    std::minstd_rand random;  // The same for all policies.
    bool started = false;     // By any target.
    bool done = false;
    Duration hedge_cost{};
    std::optional<LiveAttempts> attempts;
    std::vector<std::shared_ptr<Copy>> copies;
  };
  using RequestPtr = std::shared_ptr<Request>;
  using CopyPtr = std::shared_ptr<Copy>;
  struct Server {
    double slowness = 1;
    bool neighbour = false;
    uint32_t running = 0;
    std::deque<std::pair<RequestPtr, CopyPtr>> queue = {};
  };
  struct Event {
    TimePoint at;
    uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  static Duration Seconds(double seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }
  static double ToSeconds(Duration time) {
    return std::chrono::duration<double>(time).count();
  }
  void At(TimePoint at, std::function<void()> action) {
    events_.push({at, next_event_++, std::move(action)});
  }
  bool IsOver() const { return now_ >= kStart + Seconds(scenario_.seconds); }
  template <typename Random>
  static double Exponential(double mean, Random& random) {
    return std::exponential_distribution<double>(1 / mean)(random);
  }
  template <typename Random>
  static double LogNormal(double mean, double sigma, Random& random) {
    return std::lognormal_distribution<double>(
        std::log(mean) - sigma * sigma / 2, sigma)(random);
  }

  void ToggleNeighbour(size_t index) {
    if (IsOver()) {
      return;
    }
    Server& server = servers_[index];
    server.neighbour = !server.neighbour;
    const double idle_s = kNeighbour_s * (1 / kNeighbourShare - 1);
    At(now_ + Seconds(server.neighbour
                          ? kNeighbour_s
                          : Exponential(idle_s, neighbour_random_)),
       [this, index] { ToggleNeighbour(index); });
  }

  void Arrive() {
    if (IsOver()) {
      return;
    }
    At(now_ + Seconds(Exponential(1 / rate_, random_)), [this] { Arrive(); });
    ++figures_.requests;
    auto request = std::make_shared<Request>();
    request->gateway = gateways_[random_() % gateways_.size()].get();
    request->arrived_at = now_;
    request->random.seed(static_cast<uint32_t>(random_()));
    request->work_s = LogNormal(kMeanWork_s, kRequestSigma, random_);
    LiveAttemptsOptions options{.idempotent = scenario_.repeatable,
                                .max_attempts = 2,
                                .deadline = now_ + kDeadline};
    options.may_hedge = scenario_.policy == HedgingPolicy::kFixedDelay;
    if (scenario_.policy == HedgingPolicy::kQuantile) {
      options.hedges_need_permit = true;
      if (const auto figures = request->gateway->delay.Get(now_)) {
        options.may_hedge = true;
        options.hedge_after = figures->delay;
        request->hedge_cost = figures->median;
      }
    }
    request->attempts.emplace(options);
    Step(request);
    if (scenario_.policy == HedgingPolicy::kTied) {
      // After the time in which a target that begins at once can say so.
      At(now_ + 2 * kHop, [this, request] {
        if (const RoutedTargetPtr target = Choose(*request)) {
          Send(request, target);
        }
      });
    }
  }

  RoutedTargetPtr Choose(Request& request) {
    std::vector<std::string> excluded;
    for (const CopyPtr& copy : request.copies) {
      excluded.push_back(copy->target->target.id);
    }
    GatewayModel& gateway = *request.gateway;
    if (scenario_.policy == HedgingPolicy::kQuantile &&
        request.attempts->open() > 0) {
      for (const std::string& id :
           gateway.slots.FindFull(gateway.table, "desk", now_)) {
        excluded.push_back(id);
      }
    }
    RouteRequest route_request;
    route_request.service = "desk";
    route_request.request_class = RequestClass::kLookup;
    route_request.excluded = excluded;
    route_request.random =
        (uint64_t{request.random()} << 32) | request.random();
    route_request.now = now_;
    return gateway.router.Choose(gateway.table, route_request);
  }

  void Step(const RequestPtr& request) {
    if (request->done) {
      return;
    }
    const RoutedTargetPtr target = Choose(*request);
    const LiveAction action = request->attempts->Next(target != nullptr, now_);
    switch (action.kind) {
      case LiveAction::Kind::kGiveUp:
        Finish(request, kDeadline);
        return;
      case LiveAction::Kind::kAskPermit:
        Ask(request);
        return;
      case LiveAction::Kind::kSend:
        Send(request, target);
        Step(request);
        return;
      case LiveAction::Kind::kWait:
        At(std::min(action.until, now_ + kCheckPeriod),
           [this, request] { Step(request); });
    }
  }

  void Ask(const RequestPtr& request) {
    ++figures_.asked;
    request->attempts->PermitAsked(now_);
    const HedgeReport::Figures reported = request->gateway->report.Take(now_);
    At(now_ + kLeaderHop, [this, request, reported] {
      const bool granted = budget_.Acquire("lookup",
                                           {.earned = reported.earned,
                                            .overrun = reported.overrun,
                                            .expected = request->hedge_cost,
                                            .extra_work = scenario_.extra_work},
                                           now_);
      At(now_ + kLeaderHop, [this, request, granted] {
        request->attempts->PermitAnswered(granted, now_);
        Step(request);
      });
    });
  }

  void Send(const RequestPtr& request, const RoutedTargetPtr& target) {
    const bool hedge = !request->copies.empty();
    figures_.hedges += hedge ? 1 : 0;
    request->attempts->Sent(now_);
    const auto index =
        static_cast<size_t>(std::stoi(target->target.id.substr(2)));
    request->copies.push_back(
        std::make_shared<Copy>(target, index, hedge, now_));
    At(now_ + kHop, [this, request, copy = request->copies.back()] {
      servers_[copy->server].queue.emplace_back(request, copy);
      StartQueued(servers_[copy->server]);
    });
  }

  void StartQueued(Server& server) {
    while (server.running < kSlots && !server.queue.empty()) {
      const auto [request, copy] = std::move(server.queue.front());
      server.queue.pop_front();
      if (copy->cancelled || now_ >= request->arrived_at + kDeadline) {
        continue;
      }
      copy->started = true;
      ++server.running;
      const double work_s =
          LogNormal(request->work_s, kRunSigma, request->random) *
          server.slowness * (server.neighbour ? kNeighbourFactor : 1);
      (request->started ? figures_.extra_work_s : figures_.first_work_s) +=
          work_s;
      request->started = true;
      At(now_ + Seconds(work_s),
         [this, &server, request = request, copy = copy] {
           const auto waiting = static_cast<uint32_t>(server.queue.size());
           At(now_ + kHop,
              [this, request, copy, running = server.running, waiting] {
                OnAnswer(request, copy, running, waiting);
              });
           --server.running;
           StartQueued(server);
         });
      if (scenario_.policy == HedgingPolicy::kTied) {
        // The targets tell each other.
        At(now_ + kHop, [request = request, copy = copy] {
          for (const CopyPtr& other : request->copies) {
            other->cancelled |= other != copy && !other->started;
          }
        });
      }
    }
  }

  void OnAnswer(const RequestPtr& request,
                const CopyPtr& copy,
                uint32_t running,
                uint32_t waiting) {
    if (request->done) {
      return;
    }
    request->gateway->slots.OnAnswer(*copy->target, running, waiting, now_);
    copy->ticket.Finish(CallOutcome::kAnswered, now_);
    ++figures_.answered;
    figures_.hedges_won += copy->hedge ? 1 : 0;
    Finish(request, now_ - request->arrived_at, copy);
  }

  void Finish(const RequestPtr& request,
              Duration latency,
              const CopyPtr& winner = nullptr) {
    request->done = true;
    figures_.latencies_s.push_back(ToSeconds(std::min(latency, kDeadline)));
    for (const CopyPtr& copy : request->copies) {
      copy->cancelled = true;
      // As in the product, only with permits.
      copy->ticket.Finish(winner && winner->sent_at > copy->sent_at &&
                                  scenario_.policy == HedgingPolicy::kQuantile
                              ? CallOutcome::kOvertaken
                              : CallOutcome::kCancelled,
                          now_);
      const Duration took = now_ - copy->sent_at;
      if (copy->hedge) {
        figures_.hedge_time_s += ToSeconds(took);
        request->gateway->report.OnHedgeEnded(took, request->hedge_cost);
        continue;
      }
      figures_.first_time_s += ToSeconds(took);
      request->gateway->report.OnFirstAttemptEnded(took, now_);
      if (latency < kDeadline) {
        request->gateway->delay.Add(took, now_);
      }
    }
  }

  static constexpr TimePoint kStart{std::chrono::seconds(100)};

  const HedgingScenario scenario_;
  std::mt19937_64 random_;  // Of arrivals.
  std::mt19937_64 neighbour_random_;
  TimePoint now_ = kStart;
  uint64_t next_event_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<GatewayModel>> gateways_;
  double rate_ = 0;
  HedgeBudget budget_;
  HedgingFigures figures_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_REQUEST_HEDGING_MODEL_H_
