#include "limpethatch/request/targets/estimate_choice.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSlots = 6;
const TimePoint kStart(std::chrono::seconds(1000));

TargetTable MakeTable(size_t count) {
  std::vector<Target> targets(count);
  for (size_t index = 0; index < count; ++index) {
    targets[index].id = std::to_string(index);
    targets[index].service = "service";
    targets[index].zone = "zone-" + std::to_string(index);
    targets[index].slots = kSlots;
  }
  return {std::move(targets), nullptr};
}

RouteRequest MakeRequest(uint64_t random, TimePoint now) {
  RouteRequest request;
  request.service = "service";
  request.request_class = RequestClass::kLookup;
  request.random = random;
  request.now = now;
  return request;
}

TargetEstimate& EstimateOf(const TargetTable& table, size_t index) {
  return *table.FindTarget(std::to_string(index))->estimate;
}

// Runs one call that is answered after `latency`.
void RunCall(const TargetTable& table,
             const RoutedTarget& chosen,
             Duration latency,
             TimePoint now) {
  CallTicket ticket(chosen, RequestClass::kLookup, now);
  RecordSent(table.Find("service"), chosen, now);
  chosen.estimate->OnAnswered(latency, now + latency);
  ticket.Finish(CallOutcome::kAnswered, now + latency);
}

LoadReport AnyReport() {
  return {.running = *rc::gen::element(0U, 1U, 6U, 4'000'000'000U),
          .waiting = *rc::gen::element(0U, 1U, 4'000'000'000U),
          .slots = *rc::gen::element(0U, 6U, 4'000'000'000U),
          .pace = *rc::gen::element(0.0, 0.01, 1.0, 2.5, 1e9)};
}

}  // namespace

// Guards against requests that wait at a full target while another is free.
Test(estimate_choice, a_full_target_loses_while_another_is_free) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<size_t>(2, 6);
    const auto free = *rc::gen::inRange<size_t>(0, count);
    const TargetTable table = MakeTable(count);
    for (size_t index = 0; index < count; ++index) {
      LoadReport report{.running = kSlots - 1, .slots = kSlots, .pace = 3};
      if (index != free) {
        report = *rc::gen::element(
            LoadReport{.running = kSlots, .slots = kSlots, .pace = 0.5},
            LoadReport{.running = 2, .waiting = 1, .slots = kSlots});
      }
      EstimateOf(table, index).OnLoad(report, kStart);
    }
    const Router router({.zone = "zone-0", .use_estimates = true});
    const auto chosen = router.Choose(
        table, MakeRequest(*rc::gen::arbitrary<uint64_t>(), kStart));
    RC_ASSERT(chosen->target.id == std::to_string(free));
  }));
}

// Guards against one target that draws all requests to itself by wrong figures.
Test(estimate_choice, no_figures_draw_more_than_a_bounded_share) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<size_t>(2, 7);
    const TargetTable table = MakeTable(count);
    const Router router({.zone = "zone-0", .use_estimates = true});
    std::map<std::string, double> sent;
    constexpr int kRequests = 200;
    const bool is_steady = *rc::gen::arbitrary<bool>();
    std::vector<LoadReport> steady(count);
    std::generate(steady.begin(), steady.end(), AnyReport);
    std::vector<Duration> latencies(count);
    std::generate(latencies.begin(), latencies.end(),
                  [] { return milliseconds(*rc::gen::element(0, 25, 800)); });
    TimePoint now = kStart;
    for (size_t index = 0; index < count; ++index) {
      EstimateOf(table, index).OnLoad(steady[index], now);
    }
    for (int request = 1; request <= kRequests; ++request) {
      now += milliseconds(*rc::gen::element(0, 1, 5000));
      const auto chosen = router.Choose(
          table, MakeRequest(*rc::gen::arbitrary<uint64_t>(), now));
      const size_t index = std::stoul(chosen->target.id);
      RunCall(table, *chosen, latencies[index], now);
      for (size_t other = 0; other < count; ++other) {
        EstimateOf(table, other)
            .OnLoad(is_steady ? steady[other] : AnyReport(), now);
      }
      ++sent[chosen->target.id];
      for (const auto& [id, requests] : sent) {
        RC_ASSERT(requests <= MaxShare(count) * request + kShareBurst + 1);
      }
    }
  }));
}

// Guards against a share that sends requests to targets which fail.
Test(estimate_choice, a_failing_target_is_avoided_beyond_the_share_of_others) {
  const TargetTable table = MakeTable(3);
  const Router router({.zone = "zone-0", .use_estimates = true});
  for (size_t index = 0; index < 3; ++index) {
    EstimateOf(table, index).OnLoad({.slots = kSlots}, kStart);
  }
  for (int call = 0; call < 3; ++call) {
    for (size_t index = 0; index < 2; ++index) {
      const RoutedTarget& routed = *table.FindTarget(std::to_string(index));
      CallTicket ticket(routed, RequestClass::kLookup, kStart);
      RecordSent(table.Find("service"), routed, kStart);
      routed.estimate->OnAbandoned(Duration::zero(), kStart);
      ticket.Finish(CallOutcome::kFailed, kStart);
    }
  }
  for (uint64_t random = 0; random < 30; ++random) {
    const TimePoint now = kStart + milliseconds(30 * random);
    const auto chosen = router.Choose(table, MakeRequest(random, now));
    cr_assert(chosen->target.id == "2");
    RunCall(table, *chosen, milliseconds(25), now);
  }
}

// Guards against a target that is never tried again after it was slow once,
// with no report of that. History counts for some minutes.
Test(estimate_choice, a_target_that_was_slow_is_tried_again) {
  const TargetTable table = MakeTable(3);
  const Router router({.zone = "zone-0", .use_estimates = true});
  TimePoint now = kStart;
  std::map<std::string, int> sent;
  for (uint64_t request = 0; request < 500; ++request) {
    now += std::chrono::seconds(1);
    const auto chosen = router.Choose(table, MakeRequest(request, now));
    const bool is_slow = chosen->target.id == "0" && request < 30;
    RunCall(table, *chosen, milliseconds(is_slow ? 200 : 25), now);
    chosen->estimate->OnLoad({.slots = kSlots}, now);
    if (request >= 300) {
      ++sent[chosen->target.id];
    }
  }
  cr_assert(sent["0"] > 5, "%d", sent["0"]);
}

// Guards against changes to the routing of services whose targets do not all
// state four figures.
Test(estimate_choice, targets_without_four_figures_are_routed_as_before) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<size_t>(1, 6);
    const TargetTable before = MakeTable(count);
    const TargetTable table = MakeTable(count);
    // One target may state four figures; another does not.
    const bool is_mixed = count > 1 && *rc::gen::arbitrary<bool>();
    const Router router({.zone = "zone-0", .use_estimates = true});
    TimePoint now = kStart;
    if (is_mixed) {
      EstimateOf(table, count - 1).OnNoLoad();
    }
    for (int request = 0; request < 60; ++request) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      const RouteRequest route =
          MakeRequest(*rc::gen::arbitrary<uint64_t>(), now);
      const auto expected = router.Choose(before, route);
      const auto chosen = router.Choose(table, route);
      RC_ASSERT(chosen->target.id == expected->target.id);
      const Duration latency = milliseconds(*rc::gen::inRange(1, 300));
      RunCall(table, *chosen, latency, now);
      CallTicket ticket(*expected, RequestClass::kLookup, now);
      ticket.Finish(CallOutcome::kAnswered, now + latency);
      if (is_mixed && chosen->target.id == "0") {
        chosen->estimate->OnLoad({.slots = kSlots, .pace = 2.5}, now);
      } else {
        chosen->estimate->OnNoLoad();
      }
    }
  }));
}

}  // namespace limpethatch
