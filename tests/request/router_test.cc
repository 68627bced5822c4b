#include "limpethatch/request/router.h"

#include <rapidcheck.h>

#include <map>
#include <set>

#include "request/fake_service.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

Target MakeTarget(size_t index, std::string zone = "zone-0") {
  Target target;
  target.id = std::to_string(index);
  target.service = "service";
  target.zone = std::move(zone);
  target.slots = 4;
  return target;
}

std::vector<Target> MakeTargets(size_t count, size_t zones) {
  std::vector<Target> targets;
  for (size_t index = 0; index < count; ++index) {
    targets.push_back(
        MakeTarget(index, "zone-" + std::to_string(index % zones)));
  }
  return targets;
}

RouteRequest MakeRequest(uint64_t random, TimePoint now = AtSeconds(0)) {
  RouteRequest request;
  request.service = "service";
  request.random = random;
  request.now = now;
  return request;
}

std::unique_ptr<Router> MakeRouter(std::string zone) {
  return std::make_unique<Router>(RouterOptions{.zone = std::move(zone)});
}

}  // namespace

Test(router, never_chooses_a_target_that_must_not_get_the_request) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<size_t>(1, 30);
    std::vector<Target> targets = MakeTargets(count, 3);
    std::set<std::string> eligible;
    std::vector<std::string> excluded;
    for (Target& target : targets) {
      target.leaving = *rc::gen::inRange(0, 3) == 0;
      target.version = *rc::gen::inRange<uint64_t>(1, 3);
      const bool out = *rc::gen::inRange(0, 3) == 0;
      if (out) {
        excluded.push_back(target.id);
      }
      if (!target.leaving && !out && target.version == 1) {
        eligible.insert(target.id);
      }
    }
    const TargetTable table(targets, nullptr);
    RoundRobin round_robin;
    for (int turn = 0; turn < 30; ++turn) {
      RouteRequest request =
          MakeRequest(*rc::gen::arbitrary<uint64_t>(), AtSeconds(turn));
      request.excluded = excluded;
      request.version = 1;
      request.prefix_hash = *rc::gen::inRange<uint64_t>(0, 2);
      for (const RoutedTargetPtr& chosen :
           {MakeRouter("zone-1")->Choose(table, request),
            round_robin.Choose(table, request),
            LeastReported().Choose(table, request)}) {
        RC_ASSERT((chosen != nullptr) == !eligible.empty());
        if (chosen == nullptr) {
          continue;
        }
        RC_ASSERT(eligible.contains(chosen->target.id));
        CallTicket ticket(*chosen, RequestClass::kLive, request.now);
        ticket.Finish(
            *rc::gen::element(CallOutcome::kFailed, CallOutcome::kAnswered),
            request.now +
                std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
      }
    }
  }));
}

Test(router, outlier_ejection_keeps_to_its_share) {
  cr_assert(rc::check([] {
    const auto count = *rc::gen::inRange<size_t>(1, 20);
    const TargetTable table(MakeTargets(count, 1), nullptr);
    const Router router({.zone = "zone-0"});
    for (int round = 0; round < 20; ++round) {
      const TimePoint now = AtSeconds(round);
      for (size_t index = 0; index < count; ++index) {
        TargetStats& stats = *table.FindTarget(std::to_string(index))->stats;
        stats.Begin(RequestClass::kLive, now);
        stats.End(
            RequestClass::kLive,
            *rc::gen::element(CallOutcome::kFailed, CallOutcome::kAnswered),
            std::chrono::milliseconds(*rc::gen::inRange(1, 2000)), now);
      }
      RC_ASSERT(router.Choose(table, MakeRequest(1, now)) != nullptr);
      size_t ejected = 0;
      for (const auto& routed : table.Find("service")->all) {
        ejected += routed->stats->ejected();
      }
      RC_ASSERT(static_cast<double>(ejected) <=
                kMaxEjectedShare * static_cast<double>(count));
    }
  }));
}

Test(router, instances_do_not_herd_on_the_target_of_an_old_idle_report) {
  std::vector<Target> targets = MakeTargets(9, 1);
  for (size_t index = 0; index < targets.size(); ++index) {
    targets[index].load = {index == 0 ? 0U : 4U, 0, AtSeconds(-2)};
  }
  constexpr int kInstances = 13;
  constexpr int kBurst = 20;
  std::map<std::string, int> chosen;
  std::map<std::string, int> baseline;
  std::mt19937_64 random(1);
  for (int instance = 0; instance < kInstances; ++instance) {
    const TargetTable table(targets, nullptr);
    const TargetTable other(targets, nullptr);
    std::vector<CallTicket> tickets;
    for (int call = 0; call < kBurst; ++call) {
      const auto target =
          MakeRouter("zone-0")->Choose(table, MakeRequest(random()));
      ++chosen[target->target.id];
      tickets.emplace_back(*target, RequestClass::kLive, AtSeconds(0));
      ++baseline
          [LeastReported().Choose(other, MakeRequest(random()))->target.id];
    }
  }
  const int fair = kInstances * kBurst / 9;
  cr_assert_leq(chosen["0"], 2 * fair);
  cr_assert_eq(baseline["0"], kInstances * kBurst);
}

Test(router, prefers_its_own_zone_until_another_is_less_loaded) {
  const TargetTable table(MakeTargets(9, 3), nullptr);
  const auto router = MakeRouter("zone-1");
  std::vector<CallTicket> tickets;
  int spilled = 0;
  for (uint64_t call = 0; call < 24; ++call) {
    const auto chosen = router->Choose(table, MakeRequest(call));
    const bool own = chosen->target.zone == "zone-1";
    cr_assert(call >= 9 || own,
              "call %d was routed out of a zone with free slots", int(call));
    spilled += !own;
    tickets.emplace_back(*chosen, RequestClass::kLive, AtSeconds(0));
  }
  cr_assert_geq(spilled, 6);
  cr_assert_leq(spilled, 15);
}

Test(router, does_not_spill_to_unreachable_zones) {
  const TargetTable table(MakeTargets(9, 3), nullptr);
  const auto router = MakeRouter("zone-1");
  for (const auto& routed : table.Find("service")->all) {
    const bool cut = routed->target.zone != "zone-1";
    for (int call = 0; call < 20; ++call) {
      CallTicket(*routed, RequestClass::kLive, AtSeconds(0))
          .Finish(cut ? CallOutcome::kFailed : CallOutcome::kAnswered,
                  AtSeconds(0.01));
    }
  }
  std::vector<CallTicket> tickets;
  int spilled = 0;
  // Up to five times as many calls as the own zone has slots.
  for (uint64_t call = 0; call < 60; ++call) {
    const auto chosen =
        router->Choose(table, MakeRequest(call * 7919, AtSeconds(1)));
    spilled += chosen->target.zone != "zone-1";
    tickets.emplace_back(*chosen, RequestClass::kLive, AtSeconds(1));
  }
  cr_assert_eq(spilled, 0);
  // The partition heals: one health probe per second readmits the zones.
  for (int second = 2; second <= 6; ++second) {
    for (const auto& routed : HealthProbesDue(
             table, "service", std::chrono::seconds(1), AtSeconds(second))) {
      routed->stats->OnHealthProbe(true);
    }
    for (uint64_t call = 0; call < 10; ++call) {
      const auto chosen =
          router->Choose(table, MakeRequest(call * 7919, AtSeconds(second)));
      spilled += chosen->target.zone != "zone-1";
    }
  }
  cr_assert_geq(spilled, 10);
  cr_assert(
      HealthProbesDue(table, "service", std::chrono::seconds(1), AtSeconds(10))
          .empty());
}

Test(router, requests_with_one_prefix_share_a_target_until_it_is_loaded) {
  const TargetTable table(MakeTargets(9, 1), nullptr);
  const auto router = MakeRouter("zone-0");
  std::set<std::string> idle;
  std::map<std::string, int> loaded;
  std::vector<CallTicket> tickets;
  for (uint64_t call = 0; call < 36; ++call) {
    RouteRequest request = MakeRequest(call * 7919);
    request.prefix_hash = 42;
    if (call < 10) {
      idle.insert(router->Choose(table, request)->target.id);
      continue;
    }
    const auto chosen = router->Choose(table, request);
    ++loaded[chosen->target.id];
    tickets.emplace_back(*chosen, RequestClass::kLive, AtSeconds(0));
  }
  cr_assert_eq(idle.size(), 1);
  cr_assert_leq(loaded[*idle.begin()], 5);
}

Test(router, a_slow_target_gets_little_work_and_recovers) {
  FakeScenario scenario;
  scenario.rate = [](double) { return 900.0; };
  scenario.seconds = 30;
  scenario.slow_factor = 10;
  scenario.slow_until_s = 12;
  const auto calls = FakeService<Router>(scenario, MakeRouter).Run();
  const auto share = [&](double from_s, double to_s) {
    double all = 0;
    double own = 0;
    for (const FakeCall& call : calls) {
      if (call.arrived_s >= from_s && call.arrived_s < to_s) {
        ++all;
        own += call.target == 0;
      }
    }
    return own / all;
  };
  cr_assert_lt(share(5, 12), 0.02);
  cr_assert_gt(share(24, 30), 0.5 / 9);
  cr_assert_lt(LatencyQuantile(calls, 0.99, 5, 12),
               2 * LatencyQuantile(calls, 0.99, 26, 30));
}

Test(router, a_lone_target_of_a_zone_is_compared_with_those_of_others) {
  const TargetTable table(MakeTargets(3, 3), nullptr);
  const auto router = MakeRouter("zone-0");
  std::mt19937_64 random(1);
  const auto share_of_own = [&](int calls, double own_latency_s,
                                double from_s) {
    int own = 0;
    for (int call = 0; call < calls; ++call) {
      const TimePoint now = AtSeconds(from_s + call * 0.04);
      const RoutedTargetPtr target =
          router->Choose(table, MakeRequest(random(), now));
      const bool is_own = target->target.id == "0";
      own += is_own;
      CallTicket ticket(*target, RequestClass::kLive, now);
      ticket.Finish(CallOutcome::kAnswered,
                    now + std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(
                                  is_own ? own_latency_s : 0.005)));
    }
    return static_cast<double>(own) / calls;
  };
  cr_assert_eq(share_of_own(500, 0.005, 0), 1);
  share_of_own(50, 0.05, 20);
  cr_assert_lt(share_of_own(500, 0.05, 22), 0.02);
}

Test(router, instances_that_choose_at_once_leave_the_spare_slots_free) {
  cr_assert(rc::check([] {
    const auto instances = *rc::gen::inRange<uint32_t>(1, 22);
    const auto spare = *rc::gen::inRange<uint32_t>(0, 4);
    std::vector<Target> targets =
        MakeTargets(*rc::gen::inRange<size_t>(1, 12), 3);
    for (Target& target : targets) {
      target.slots = *rc::gen::inRange<uint32_t>(1, 17);
    }
    std::map<std::string, uint32_t> rollouts;
    for (uint32_t instance = 0; instance < instances; ++instance) {
      const TargetTable table(targets, nullptr);
      std::vector<CallTicket> tickets;
      RouteRequest request = MakeRequest(instance);
      request.request_class = RequestClass::kRollout;
      request.rollout_share = {spare, instance, instances};
      while (const auto chosen = MakeRouter("zone-0")->Choose(table, request)) {
        ++rollouts[chosen->target.id];
        tickets.emplace_back(*chosen, RequestClass::kRollout, request.now);
      }
    }
    for (const Target& target : targets) {
      const uint32_t most = target.slots > spare ? target.slots - spare : 0;
      RC_ASSERT(rollouts[target.id] == most);
    }
  }));
}

Test(router, idle_slots_are_borrowed_and_returned) {
  constexpr uint32_t kInstances = 13;
  std::vector<Target> targets = {MakeTarget(0)};
  targets[0].slots = 8;
  auto table = std::make_unique<TargetTable>(targets, nullptr);
  std::vector<CallTicket> tickets;
  RouteRequest request = MakeRequest(0);
  request.request_class = RequestClass::kRollout;
  request.rollout_share = {2, 0, kInstances};
  const auto run = [&](double from_s, double to_s, uint32_t others) {
    for (double now_s = from_s; now_s < to_s; ++now_s) {
      const auto own = static_cast<uint32_t>(tickets.size());
      targets[0].load = {own + others, 0, AtSeconds(now_s)};
      table = std::make_unique<TargetTable>(targets, table.get());
      request.now = AtSeconds(now_s);
      while (const auto chosen =
                 MakeRouter("zone-0")->Choose(*table, request)) {
        tickets.emplace_back(*chosen, RequestClass::kRollout, request.now);
      }
    }
  };
  run(0, 600, 0);
  cr_assert_geq(tickets.size(), 4);
  cr_assert_leq(tickets.size(), 6);
  // The other instances use their slots again, so borrowed slots are returned
  // when rollouts end.
  run(600, 620, 7);
  tickets.clear();
  run(620, 640, 5);
  cr_assert_leq(tickets.size(), 1);
}

Test(router, rollouts_that_fill_the_engines_barely_delay_lookups) {
  FakeScenario scenario;
  scenario.slots = 8;
  scenario.seconds = 30;
  scenario.rate = [](double) { return 450.0; };
  const double idle =
      LatencyQuantile(FakeService<Router>(scenario, MakeRouter).Run(), 0.99, 5);
  scenario.rollouts = 20;
  scenario.spare_slots = 2;
  const auto calls = FakeService<Router>(scenario, MakeRouter).Run();
  cr_assert_lt(LatencyQuantile(calls, 0.99, 5), 2 * idle);
  double rollout_s = 0;
  for (const FakeCall& call : calls) {
    rollout_s +=
        call.request_class == RequestClass::kRollout ? scenario.rollout_s : 0;
  }
  // Nine targets have six slots each for rollouts.
  cr_assert_gt(rollout_s, 0.8 * 9 * 6 * scenario.seconds);
}

// An explanation of a choice must not use up probes or count as a call.
Test(target_table, choices_from_a_copy_do_not_change_the_table) {
  const TargetTable table(MakeTargets(3, 1), nullptr);
  const RoutedTarget& target = *table.FindTarget("0");
  CallTicket call(target, RequestClass::kLookup, AtSeconds(0));
  TargetTable copy = table.Copy();
  const RoutedTarget& copied = *copy.FindTarget("0");
  cr_assert_eq(copied.stats->outstanding(), 1);
  cr_assert_eq(copy.Find("service")->all.size(), 3);
  cr_assert(copy.Find("service")->by_zone.at("zone-0")[0].get() ==
            copy.FindTarget(copy.Find("service")->all[0]->target.id));
  copied.stats->Begin(RequestClass::kLookup, AtSeconds(1));
  copied.stats->set_ejected(true, AtSeconds(1));
  cr_assert(copy.Find("service")->group->TryClaimRefresh(AtSeconds(2)));
  cr_assert_eq(target.stats->outstanding(), 1);
  cr_assert(!target.stats->ejected());
  cr_assert(table.Find("service")->group->TryClaimRefresh(AtSeconds(2)));
}

Test(target_table, keeps_statistics_until_a_new_incarnation) {
  std::vector<Target> targets = {MakeTarget(0)};
  const TargetTable first(targets, nullptr);
  TargetStats& stats = *first.FindTarget("0")->stats;
  for (int call = 0; call < 3; ++call) {
    stats.Begin(RequestClass::kLive, AtSeconds(call));
  }
  // Measured when two own calls and three of other instances were outstanding.
  targets[0].load = {4, 1, AtSeconds(1)};
  const TargetTable second(targets, &first);
  cr_assert_eq(second.FindTarget("0")->stats->outstanding(), 3);
  cr_assert_float_eq(second.FindTarget("0")->reported_other_work, 3, 1e-9);
  targets[0].incarnation = 1;
  const TargetTable third(targets, &second);
  cr_assert_eq(third.FindTarget("0")->stats->outstanding(), 0);
}

}  // namespace limpethatch
