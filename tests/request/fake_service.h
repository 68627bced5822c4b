// Discrete-event simulation of a service with several targets and the instances
// that route requests to them, for tests and benchmarks of routing policies.
#ifndef TESTS_REQUEST_FAKE_SERVICE_H_
#define TESTS_REQUEST_FAKE_SERVICE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "limpethatch/request/admission.h"
#include "limpethatch/request/router.h"

namespace limpethatch {

struct FakeScenario {
  size_t instances = 13;
  size_t targets = 9;
  size_t zones = 3;
  uint32_t slots = 4;
  double service_s = 0.02;  // Mean; half constant, half exponential.
  double slow_factor = 1;   // Of target 0.
  double slow_until_s = 1e9;
  std::function<double(double)> rate;  // Requests per second at a time in s.
  double seconds = 20;
  double report_lag_s = 2;
  double deadline_s = 1;
  bool admission = false;
  // Maximum concurrent rollouts of each instance; the supply is unlimited.
  size_t rollouts = 0;
  size_t rollout_instances = SIZE_MAX;  // Instances that run rollouts.
  double rollout_s = 5;
  std::optional<uint32_t> spare_slots;
  uint64_t seed = 1;
};

struct FakeCall {
  RequestClass request_class = RequestClass::kLookup;
  double arrived_s = 0;
  double latency_s = 0;
  size_t target = 0;
  bool answered = false;  // Completely and before the deadline.
  bool refused = false;   // Reported as not run.
  bool ran = false;
};

inline TimePoint AtSeconds(double seconds) {
  return TimePoint(std::chrono::seconds(1000) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(seconds)));
}

template <typename Policy>
class FakeService {
 public:
  FakeService(FakeScenario scenario,
              std::function<std::unique_ptr<Policy>(std::string zone)> make)
      : scenario_(std::move(scenario)),
        random_(scenario_.seed),
        targets_(scenario_.targets) {
    for (size_t index = 0; index < scenario_.instances; ++index) {
      Instance instance;
      instance.policy = make(ZoneName(index));
      AdmissionOptions options;
      options.limit.initial =
          std::max(1.0, double(scenario_.targets * scenario_.slots) /
                            double(scenario_.instances));
      instance.admission = std::make_unique<Admission>(options);
      instance.admission->SetSlotShare(options.limit.initial);
      instances_.push_back(std::move(instance));
    }
    Deliver(Measure());
  }

  // Runs the simulation. Returns all calls in order of arrival.
  const std::vector<FakeCall>& Run() {
    At(0, [this] { Arrive(); });
    At(0, [this] { Report(); });
    At(0, [this] { Tick(); });
    while (!events_.empty()) {
      auto event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_s_ = event.at_s;
      event.run();
    }
    return calls_;
  }

 private:
  struct Event {
    double at_s;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at_s, order) > std::pair(other.at_s, other.order);
    }
  };
  struct Instance {
    std::unique_ptr<Policy> policy;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<TargetTable> table;
    std::map<uint64_t, std::unique_ptr<CallTicket>> tickets;
    size_t rollouts = 0;
  };
  struct FakeTarget {
    uint32_t running = 0;
    std::deque<std::pair<size_t, uint64_t>> waiting;
  };

  std::string ZoneName(size_t index) const {
    return "zone-" + std::to_string(index % scenario_.zones);
  }
  TimePoint Now() const { return AtSeconds(now_s_); }
  void At(double at_s, std::function<void()> run) {
    events_.push({at_s, order_++, std::move(run)});
  }
  double Exponential(double mean) {
    return std::exponential_distribution<>(1 / mean)(random_);
  }

  void Arrive() {
    const uint64_t id = calls_.size();
    FakeCall call;
    call.arrived_s = now_s_;
    calls_.push_back(call);
    const size_t instance = random_() % instances_.size();
    if (scenario_.admission) {
      Apply(instance, instances_[instance].admission->Offer(
                          {id, "customer", 1, RequestClass::kLookup,
                           AtSeconds(now_s_ + scenario_.deadline_s)},
                          Now()));
    } else {
      Start(instance, id);
    }
    if (const double next_s = now_s_ + Exponential(1 / scenario_.rate(now_s_));
        next_s < scenario_.seconds) {
      At(next_s, [this] { Arrive(); });
    }
  }

  void Apply(size_t instance, const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartRequest>(&action)) {
        Start(instance, start->id);
      } else {
        calls_[std::get<RefuseRequest>(action).id].refused = true;
      }
    }
  }

  // Returns false if no target may get the call now.
  bool Start(size_t instance, uint64_t id) {
    Instance& own = instances_[instance];
    RouteRequest request;
    request.service = "service";
    request.request_class = calls_[id].request_class;
    if (request.request_class == RequestClass::kRollout &&
        scenario_.spare_slots) {
      request.rollout_share = {
          *scenario_.spare_slots, static_cast<uint32_t>(instance),
          static_cast<uint32_t>(
              std::min(instances_.size(), scenario_.rollout_instances))};
    }
    request.random = random_();
    request.now = Now();
    const RoutedTargetPtr chosen = own.policy->Choose(*own.table, request);
    if (chosen == nullptr) {
      return false;
    }
    own.tickets[id] =
        std::make_unique<CallTicket>(*chosen, request.request_class, Now());
    const size_t target = std::stoul(chosen->target.id);
    calls_[id].target = target;
    calls_[id].ran = true;
    started_s_[id] = now_s_;
    At(now_s_ + kNetworkS, [=, this] {
      targets_[target].waiting.emplace_back(instance, id);
      Serve(target);
    });
    if (request.request_class != RequestClass::kRollout) {
      At(calls_[id].arrived_s + scenario_.deadline_s,
         [=, this] { End(instance, id, CallOutcome::kFailed); });
    }
    return true;
  }

  // Starts as many rollouts as the instance may run.
  void StartRollouts(size_t instance) {
    while (instance < scenario_.rollout_instances &&
           instances_[instance].rollouts < scenario_.rollouts &&
           now_s_ < scenario_.seconds) {
      const uint64_t id = calls_.size();
      FakeCall call;
      call.request_class = RequestClass::kRollout;
      call.arrived_s = now_s_;
      calls_.push_back(call);
      if (!Start(instance, id)) {
        calls_.pop_back();
        return;
      }
      ++instances_[instance].rollouts;
    }
  }

  void Serve(size_t target) {
    FakeTarget& fake = targets_[target];
    while (!fake.waiting.empty() && fake.running < scenario_.slots) {
      const auto [instance, id] = fake.waiting.front();
      fake.waiting.pop_front();
      ++fake.running;
      const bool slow = target == 0 && now_s_ < scenario_.slow_until_s;
      const double mean_s = calls_[id].request_class == RequestClass::kRollout
                                ? scenario_.rollout_s
                                : scenario_.service_s;
      const double service_s = (mean_s / 2 + Exponential(mean_s / 2)) *
                               (slow ? scenario_.slow_factor : 1);
      At(now_s_ + service_s, [=, this, instance = instance, id = id] {
        --targets_[target].running;
        Serve(target);
        At(now_s_ + kNetworkS,
           [=, this] { End(instance, id, CallOutcome::kAnswered); });
      });
    }
  }

  void End(size_t instance, uint64_t id, CallOutcome outcome) {
    Instance& own = instances_[instance];
    const auto ticket = own.tickets.find(id);
    if (ticket == own.tickets.end()) {
      return;
    }
    ticket->second->Finish(outcome, Now());
    own.tickets.erase(ticket);
    FakeCall& call = calls_[id];
    call.latency_s = now_s_ - call.arrived_s;
    call.answered = outcome == CallOutcome::kAnswered;
    if (call.request_class == RequestClass::kRollout) {
      --own.rollouts;
    } else if (scenario_.admission) {
      const auto latency = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(now_s_ - started_s_[id]));
      Apply(instance, own.admission->Finish(id, outcome, latency, Now()));
    }
    started_s_.erase(id);
  }

  void Tick() {
    for (size_t index = 0; index < instances_.size(); ++index) {
      Apply(index, instances_[index].admission->OnTimer(Now()));
      StartRollouts(index);
    }
    if (now_s_ < scenario_.seconds + scenario_.deadline_s) {
      At(now_s_ + 0.05, [this] { Tick(); });
    }
  }

  std::vector<Target> Measure() const {
    std::vector<Target> measured;
    for (size_t index = 0; index < targets_.size(); ++index) {
      Target target;
      target.id = std::to_string(index);
      target.service = "service";
      target.zone = ZoneName(index);
      target.slots = scenario_.slots;
      target.load = {targets_[index].running,
                     static_cast<uint32_t>(targets_[index].waiting.size()),
                     Now()};
      measured.push_back(target);
    }
    return measured;
  }

  void Report() {
    At(now_s_ + scenario_.report_lag_s,
       [this, measured = Measure()] { Deliver(measured); });
    if (now_s_ < scenario_.seconds) {
      At(now_s_ + 0.5, [this] { Report(); });
    }
  }

  void Deliver(const std::vector<Target>& measured) {
    for (Instance& instance : instances_) {
      instance.table =
          std::make_unique<TargetTable>(measured, instance.table.get());
    }
  }

  static constexpr double kNetworkS = 0.0005;

  const FakeScenario scenario_;
  std::mt19937_64 random_;
  double now_s_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Instance> instances_;
  std::vector<FakeTarget> targets_;
  std::vector<FakeCall> calls_;
  std::map<uint64_t, double> started_s_;
};

// Latency quantile in seconds of the lookups that arrived in [from_s, to_s). A
// call that was not answered counts as 1e9 s.
inline double LatencyQuantile(const std::vector<FakeCall>& calls,
                              double share,
                              double from_s,
                              double to_s = 1e9) {
  std::vector<double> latencies;
  for (const FakeCall& call : calls) {
    if (call.request_class != RequestClass::kRollout &&
        call.arrived_s >= from_s && call.arrived_s < to_s) {
      latencies.push_back(call.answered ? call.latency_s : 1e9);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies[static_cast<size_t>(
      share * static_cast<double>(latencies.size() - 1))];
}

// Answers per second that met their deadline and arrived in [from_s, to_s).
inline double Goodput(const std::vector<FakeCall>& calls,
                      double from_s,
                      double to_s) {
  const auto good =
      std::count_if(calls.begin(), calls.end(), [&](const FakeCall& call) {
        const double ended_s = call.arrived_s + call.latency_s;
        return call.answered && ended_s >= from_s && ended_s < to_s;
      });
  return static_cast<double>(good) / (to_s - from_s);
}

// Recovery time in seconds after a burst that ends at `end_s`: from then on, at
// least `share` of the calls in every half second meet their deadline.
inline double RecoverySeconds(const std::vector<FakeCall>& calls,
                              double share,
                              double end_s,
                              double to_s) {
  constexpr double kStepS = 0.5;
  double recovered_s = end_s;
  for (double at_s = end_s; at_s + kStepS <= to_s; at_s += kStepS) {
    size_t arrived = 0;
    size_t answered = 0;
    for (const FakeCall& call : calls) {
      if (call.arrived_s >= at_s && call.arrived_s < at_s + kStepS) {
        ++arrived;
        answered += call.answered;
      }
    }
    if (static_cast<double>(answered) < share * static_cast<double>(arrived)) {
      recovered_s = at_s + kStepS;
    }
  }
  return recovered_s - end_s;
}

}  // namespace limpethatch

#endif  // TESTS_REQUEST_FAKE_SERVICE_H_
