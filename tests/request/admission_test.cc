#include "limpethatch/request/admission.h"

#include <rapidcheck.h>

#include <map>
#include <set>

#include "request/fake_service.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

AdmissionOptions FixedLimit(double limit) {
  AdmissionOptions options;
  options.limit = {.initial = limit, .minimum = limit, .maximum = limit};
  return options;
}

AdmissionRequest MakeRequest(uint64_t id,
                             std::string flow,
                             RequestClass request_class,
                             double deadline_s = 1e6,
                             double weight = 1) {
  return {id, std::move(flow), weight, request_class, AtSeconds(deadline_s)};
}

std::vector<uint64_t> Started(const AdmissionActions& actions) {
  std::vector<uint64_t> ids;
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartRequest>(&action)) {
      ids.push_back(start->id);
    }
  }
  return ids;
}

constexpr double kTargets = 9;

std::vector<FakeCall> Overload(bool admission, FakeScenario scenario = {}) {
  scenario.admission = admission;
  scenario.seconds = 30;
  const double capacity = static_cast<double>(scenario.targets) *
                          scenario.slots / scenario.service_s;
  scenario.rate = [=](double at_s) {
    return at_s >= 5 && at_s < 15 ? 3 * capacity : capacity / 2;
  };
  return FakeService<Router>(
             scenario,
             [](std::string zone) {
               return std::make_unique<Router>(RouterOptions{.zone = zone});
             })
      .Run();
}

}  // namespace

Test(admission, each_request_is_either_started_or_refused_and_never_both) {
  cr_assert(rc::check([] {
    const double limit = *rc::gen::inRange(1, 8);
    AdmissionOptions options = FixedLimit(limit);
    options.max_queued = *rc::gen::inRange<size_t>(1, 10);
    Admission admission(options);
    std::set<uint64_t> waiting;
    std::set<uint64_t> running;
    const auto apply = [&](const AdmissionActions& actions) {
      for (const AdmissionAction& action : actions) {
        if (const auto* start = std::get_if<StartRequest>(&action)) {
          RC_ASSERT(waiting.erase(start->id) == 1U);
          running.insert(start->id);
        } else {
          const auto& refusal = std::get<RefuseRequest>(action);
          RC_ASSERT(waiting.erase(refusal.id) == 1U);
          RC_ASSERT(refusal.retry_after >= Duration::zero());
        }
      }
      RC_ASSERT(static_cast<double>(running.size()) <= limit);
      RC_ASSERT(admission.queued() == waiting.size());
    };
    double now_s = 0;
    for (uint64_t id = 0; id < 150; ++id) {
      now_s += *rc::gen::inRange(0, 100) / 1e3;
      const int event = *rc::gen::inRange(0, 6);
      if (event < 3) {
        waiting.insert(id);
        apply(admission.Offer(
            MakeRequest(id, std::to_string(*rc::gen::inRange(0, 3)),
                        static_cast<RequestClass>(*rc::gen::inRange(0, 3)),
                        now_s + *rc::gen::inRange(0, 2000) / 1e3,
                        *rc::gen::inRange(1, 4)),
            AtSeconds(now_s)));
      } else if (event == 3) {
        apply(admission.OnTimer(AtSeconds(now_s)));
      } else if (event == 4 && !waiting.empty()) {
        RC_ASSERT(admission.Cancel(*waiting.begin()));
        waiting.erase(waiting.begin());
      } else if (!running.empty()) {
        const uint64_t ended = *running.begin();
        running.erase(ended);
        apply(admission.Finish(
            ended,
            *rc::gen::element(CallOutcome::kAnswered, CallOutcome::kFailed),
            std::chrono::milliseconds(*rc::gen::inRange(1, 500)),
            AtSeconds(now_s)));
      }
    }
    now_s += 10;
    apply(admission.OnTimer(AtSeconds(now_s)));
    RC_ASSERT(waiting.empty());
  }));
}

Test(admission, live_requests_precede_rollouts_and_use_reserved_slots) {
  Admission admission(FixedLimit(4));
  std::vector<uint64_t> started;
  for (uint64_t id = 0; id < 10; ++id) {
    for (uint64_t start : Started(
             admission.Offer(MakeRequest(id, "trainer", RequestClass::kRollout),
                             AtSeconds(0)))) {
      started.push_back(start);
    }
  }
  cr_assert_eq(started.size(), 3);
  cr_assert_eq(
      Started(admission.Offer(MakeRequest(20, "shop", RequestClass::kLive),
                              AtSeconds(0)))
          .size(),
      1);
  cr_assert(
      Started(admission.Offer(MakeRequest(21, "shop", RequestClass::kLookup),
                              AtSeconds(0)))
          .empty());
  const auto next =
      Started(admission.Finish(started[0], CallOutcome::kAnswered,
                               std::chrono::seconds(1), AtSeconds(1)));
  cr_assert_eq(next.size(), 1);
  cr_assert_eq(next[0], 21);
}

Test(admission, flows_share_answered_service_by_weight) {
  Admission admission(FixedLimit(1));
  std::map<char, int> answered;
  std::map<uint64_t, char> flow_of;
  uint64_t id = 0;
  std::deque<uint64_t> running;
  const auto offer = [&](char flow) {
    flow_of[++id] = flow;
    for (uint64_t start :
         Started(admission.Offer(MakeRequest(id, {flow}, RequestClass::kLookup,
                                             1e6, flow == 'a' ? 3 : 1),
                                 AtSeconds(0)))) {
      running.push_back(start);
    }
  };
  for (int request = 0; request < 100; ++request) {
    offer('a');
    offer('b');
  }
  // Every second call of flow b fails. Failed calls are not charged to a flow.
  int b_calls = 0;
  for (int turn = 0; turn < 100; ++turn) {
    const uint64_t ended = running.front();
    running.pop_front();
    const char flow = flow_of[ended];
    const bool fails = flow == 'b' && ++b_calls % 2 == 0;
    answered[flow] += !fails;
    for (uint64_t start : Started(admission.Finish(
             ended, fails ? CallOutcome::kFailed : CallOutcome::kAnswered,
             std::chrono::milliseconds(1), AtSeconds(0)))) {
      running.push_back(start);
    }
  }
  cr_assert_float_eq(answered['a'] / double(answered['b']), 3, 0.3);
}

Test(admission, a_flow_that_fills_the_queue_does_not_displace_others) {
  AdmissionOptions options = FixedLimit(1);
  options.max_queued = 10;
  Admission admission(options);
  for (uint64_t id = 0; id < 50; ++id) {
    admission.Offer(MakeRequest(id, "flood", RequestClass::kLive),
                    AtSeconds(0));
  }
  const auto actions = admission.Offer(
      MakeRequest(99, "shop", RequestClass::kLive), AtSeconds(0));
  cr_assert_eq(actions.size(), 1);
  cr_assert_neq(std::get<RefuseRequest>(actions[0]).id, 99);
  const auto next = admission.Finish(
      0, CallOutcome::kAnswered, std::chrono::milliseconds(1), AtSeconds(0));
  cr_assert_eq(Started(next).at(0), 99);
}

Test(admission, requests_are_admitted_again_after_a_stall) {
  Admission admission(FixedLimit(8));
  uint64_t id = 0;
  const auto call = [&](double at_s, double latency_s, double deadline_s) {
    const auto started = Started(admission.Offer(
        MakeRequest(++id, "shop", RequestClass::kLookup, at_s + deadline_s),
        AtSeconds(at_s)));
    if (started.empty()) {
      return false;
    }
    admission.Finish(id, CallOutcome::kAnswered,
                     std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(latency_s)),
                     AtSeconds(at_s + latency_s));
    return true;
  };
  for (int turn = 0; turn < 100; ++turn) {
    cr_assert(call(turn, 5, 30));
  }
  // A deadline far below the latency of the stalled calls.
  for (int turn = 0; turn < 100; ++turn) {
    cr_assert(call(200 + turn, 0.01, 1));
  }
}

Test(admission, requests_that_use_most_of_their_deadline_are_served) {
  Admission admission(FixedLimit(8));
  uint64_t id = 0;
  for (int turn = 0; turn < 100; ++turn) {
    const uint64_t first = id + 1;
    for (int request = 0; request < 4; ++request) {
      const auto started = Started(admission.Offer(
          MakeRequest(++id, "shop", RequestClass::kLive, turn + 1.0),
          AtSeconds(turn)));
      cr_assert_eq(started.size(), 1);
    }
    for (uint64_t running = first; running <= id; ++running) {
      admission.Finish(running, CallOutcome::kAnswered,
                       std::chrono::milliseconds(800), AtSeconds(turn + 0.8));
    }
  }
}

Test(admission, threefold_overload_keeps_goodput_and_recovers_quickly) {
  const double capacity = kTargets * 4 / 0.02;
  const auto calls = Overload(true);
  cr_assert_geq(Goodput(calls, 5, 15) / capacity, 0.9);
  cr_assert_leq(RecoverySeconds(calls, 0.9, 15, 30), 3);
  for (const FakeCall& call : calls) {
    cr_assert(!call.refused || !call.ran);
  }
  const auto baseline = Overload(false);
  cr_assert_lt(Goodput(baseline, 5, 15) / capacity, 0.5);
  cr_assert_gt(RecoverySeconds(baseline, 0.9, 15, 30), 10);
}

// Each instance has only a few calls per second as samples, and load reports
// are four service times old. Checks that no target is left idle meanwhile.
Test(admission, threefold_overload_of_a_slow_service_keeps_goodput) {
  FakeScenario scenario;
  scenario.service_s = 0.5;
  scenario.deadline_s = 2;
  scenario.slots = 8;
  const double capacity = kTargets * scenario.slots / scenario.service_s;
  const auto calls = Overload(true, scenario);
  cr_assert_geq(Goodput(calls, 5, 15) / capacity, 0.8);
  cr_assert_leq(RecoverySeconds(calls, 0.9, 15, 30), 3);
  const auto baseline = Overload(false, scenario);
  cr_assert_lt(Goodput(baseline, 5, 15) / capacity, 0.4);
}

}  // namespace limpethatch
