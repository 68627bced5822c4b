// Policies that the model of uneven targets compares: baselines and the router.
#ifndef TESTS_REQUEST_UNEVEN_POLICIES_H_
#define TESTS_REQUEST_UNEVEN_POLICIES_H_

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/request/router.h"
#include "limpethatch/request/targets/estimate_choice.h"
#include "request/uneven_model.h"

namespace limpethatch {

// What a gateway knows of one target in the baselines.
struct BaselineView {
  size_t outstanding = 0;
  double latency_s = 0;  // Moving average, or decaying peak.
  LoadReport report;
  TimePoint changed;
};

struct BaselineState {
  struct Gateway {
    std::array<BaselineView, kUnevenTargets> views;
    std::optional<size_t> next;
  };
  std::vector<Gateway> gateways{kUnevenGateways};
};

// A baseline that sends each request to the target with the lowest rank.
template <typename Rank, typename Observe>
UnevenPolicy MakeBaseline(Rank rank, Observe observe, size_t probes = 0) {
  auto state = std::make_shared<BaselineState>();
  UnevenPolicy policy;
  policy.probes = probes;
  policy.send = [state, rank](size_t gateway, const std::vector<size_t>& probed,
                              uint64_t random, TimePoint now) {
    BaselineState::Gateway& known = state->gateways[gateway];
    std::vector<size_t> from = probed;
    if (from.empty()) {
      from = {0, 1, 2};
    }
    std::rotate(
        from.begin(),
        from.begin() + static_cast<std::ptrdiff_t>(random % from.size()),
        from.end());
    const size_t best = *std::min_element(
        from.begin(), from.end(), [&](size_t left, size_t right) {
          return rank(known, left, now) < rank(known, right, now);
        });
    ++known.views[best].outstanding;
    known.next = (best + 1) % kUnevenTargets;
    return best;
  };
  policy.on_load = [state](size_t gateway, size_t target,
                           const LoadReport& report, TimePoint) {
    state->gateways[gateway].views[target].report = report;
  };
  policy.on_answered = [state, observe](size_t gateway, size_t target,
                                        Duration latency, TimePoint now) {
    BaselineView& view = state->gateways[gateway].views[target];
    --view.outstanding;
    observe(view, InSeconds(latency), now);
  };
  return policy;
}

inline void ObserveMean(BaselineView& view, double latency_s, TimePoint now) {
  view.latency_s = view.changed == TimePoint()
                       ? latency_s
                       : view.latency_s + 0.2 * (latency_s - view.latency_s);
  view.changed = now;
}

// Peaks decay within 10 s, as in Finagle.
inline double DecayedPeak(const BaselineView& view, TimePoint now) {
  return view.latency_s * std::exp(-InSeconds(now - view.changed) / 10);
}

inline void ObservePeak(BaselineView& view, double latency_s, TimePoint now) {
  const double weight = std::exp(-InSeconds(now - view.changed) / 10);
  view.latency_s =
      std::max(latency_s, weight * view.latency_s + (1 - weight) * latency_s);
  view.changed = now;
}

inline UnevenPolicy MakeRoundRobin() {
  return MakeBaseline(
      [](const BaselineState::Gateway& known, size_t target, TimePoint) {
        return known.next
                   ? (target + kUnevenTargets - *known.next) % kUnevenTargets
                   : 0;
      },
      ObserveMean);
}

inline UnevenPolicy MakeLeastOutstanding() {
  return MakeBaseline([](const BaselineState::Gateway& known, size_t target,
                         TimePoint) { return known.views[target].outstanding; },
                      ObserveMean);
}

inline UnevenPolicy MakePeakLatency() {
  return MakeBaseline(
      [](const BaselineState::Gateway& known, size_t target, TimePoint now) {
        const BaselineView& view = known.views[target];
        return DecayedPeak(view, now) *
               static_cast<double>(view.outstanding + 1);
      },
      ObservePeak);
}

// As in Prequal: among targets with few requests in flight the one with the
// lowest latency, else the one with the fewest requests.
inline UnevenPolicy MakeInFlightWithLatency(size_t probes) {
  return MakeBaseline(
      [](const BaselineState::Gateway& known, size_t target, TimePoint) {
        // Quantile of requests in flight beyond which targets are avoided; with
        // three targets the highest of them.
        uint32_t most = 0;
        for (const BaselineView& view : known.views) {
          most = std::max(most, view.report.running + view.report.waiting);
        }
        const BaselineView& view = known.views[target];
        const uint32_t in_flight = view.report.running + view.report.waiting;
        const bool is_hot = in_flight > 0 && in_flight == most;
        return std::pair(is_hot ? 1.0 + in_flight : 0.0, view.latency_s);
      },
      ObserveMean, probes);
}

// The router itself; whether its targets report four figures decides which rule
// it follows.
inline UnevenPolicy MakeRouterPolicy(bool reports_load, size_t probes = 0) {
  struct State {
    std::vector<TargetTable> tables;
    std::vector<Router> routers;
    std::vector<std::vector<std::pair<size_t, std::unique_ptr<CallTicket>>>>
        tickets{kUnevenGateways};
  };
  auto state = std::make_shared<State>();
  for (size_t gateway = 0; gateway < kUnevenGateways; ++gateway) {
    std::vector<Target> targets(kUnevenTargets);
    for (size_t index = 0; index < kUnevenTargets; ++index) {
      targets[index].id = std::to_string(index);
      targets[index].service = "service";
      targets[index].zone = std::to_string(index);
      targets[index].slots = kUnevenSlots;
    }
    state->tables.emplace_back(std::move(targets), nullptr);
    state->routers.emplace_back(
        RouterOptions{.zone = std::to_string(gateway % kUnevenTargets),
                      .use_estimates = true});
  }
  UnevenPolicy policy;
  policy.probes = probes;
  policy.send = [state](size_t gateway, const std::vector<size_t>& probed,
                        uint64_t random, TimePoint now) {
    const TargetTable& table = state->tables[gateway];
    std::vector<std::string> excluded;
    for (size_t index = 0; index < kUnevenTargets && !probed.empty(); ++index) {
      if (std::count(probed.begin(), probed.end(), index) == 0) {
        excluded.push_back(std::to_string(index));
      }
    }
    RouteRequest request;
    request.service = "service";
    request.request_class = RequestClass::kLookup;
    request.excluded = excluded;
    request.random = random;
    request.now = now;
    const RoutedTargetPtr chosen =
        state->routers[gateway].Choose(table, request);
    const size_t target = std::stoul(chosen->target.id);
    RecordSent(table.Find("service"), *chosen, now);
    state->tickets[gateway].emplace_back(
        target,
        std::make_unique<CallTicket>(*chosen, RequestClass::kLookup, now));
    return target;
  };
  if (reports_load) {
    policy.on_load = [state](size_t gateway, size_t target,
                             const LoadReport& report, TimePoint now) {
      state->tables[gateway]
          .FindTarget(std::to_string(target))
          ->estimate->OnLoad(report, now);
    };
  }
  policy.on_answered = [state](size_t gateway, size_t target, Duration latency,
                               TimePoint now) {
    state->tables[gateway]
        .FindTarget(std::to_string(target))
        ->estimate->OnAnswered(latency, now);
    auto& tickets = state->tickets[gateway];
    const auto ticket =
        std::find_if(tickets.begin(), tickets.end(),
                     [&](const auto& each) { return each.first == target; });
    ticket->second->Finish(CallOutcome::kAnswered, now);
    tickets.erase(ticket);
  };
  return policy;
}

}  // namespace limpethatch

#endif  // TESTS_REQUEST_UNEVEN_POLICIES_H_
