#include "limpethatch/request/sharing/fair_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));

FairRequest MakeRequest(uint64_t id,
                        std::string organisation,
                        Duration work = milliseconds(25),
                        TimePoint deadline = kStart + seconds(3600)) {
  return {.id = id,
          .organisation = std::move(organisation),
          .work = work,
          .deadline = deadline};
}

}  // namespace

// Guards against requests that are lost, started twice, or started too late,
// and against slots that stay free while a request could use them.
Test(fair_queue, each_request_is_started_in_time_or_refused_once) {
  cr_assert(rc::check([] {
    const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
    FairQueue queue(slots);
    std::map<uint64_t, FairRequest> waiting;
    std::set<uint64_t> running;
    TimePoint now = kStart;
    uint64_t next_id = 0;
    const auto expire = [&] {
      for (const FairRefusal& refusal : queue.Expire(0.5, now)) {
        const auto found = waiting.find(refusal.id);
        RC_ASSERT(found != waiting.end());
        RC_ASSERT(now + found->second.work > found->second.deadline);
        RC_ASSERT(refusal.retry_after.has_value());
        waiting.erase(found);
      }
    };
    for (int event = 0; event < 150; ++event) {
      now += milliseconds(*rc::gen::inRange(0, 15));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          if (!running.empty()) {
            const uint64_t id = *rc::gen::elementOf(running);
            queue.OnEnded(id, milliseconds(*rc::gen::inRange(0, 200)));
            running.erase(id);
          }
          break;
        case 1:
          if (!waiting.empty() && *rc::gen::inRange(0, 4) == 0) {
            queue.Remove(waiting.begin()->first);
            waiting.erase(waiting.begin());
          }
          break;
        default: {
          FairRequest request = MakeRequest(
              ++next_id, std::string(1, *rc::gen::inRange('a', 'd')),
              milliseconds(*rc::gen::inRange(1, 60)),
              now + milliseconds(*rc::gen::inRange(1, 300)));
          request.priority = *rc::gen::inRange<uint32_t>(0, 3);
          request.weight = *rc::gen::inRange(1, 4);
          if (!queue.Add(request, 0.5, now)) {
            waiting.emplace(request.id, request);
          }
        }
      }
      expire();
      while (const auto started = queue.Start(now)) {
        const auto found = waiting.find(started->id);
        RC_ASSERT(found != waiting.end());
        RC_ASSERT(now + started->work <= started->deadline);
        for (const auto& [id, other] : waiting) {
          RC_ASSERT(other.priority >= started->priority);
        }
        waiting.erase(found);
        RC_ASSERT(running.insert(started->id).second);
      }
      RC_ASSERT(running.size() <= slots);
      RC_ASSERT(running.size() == slots || waiting.empty());
      RC_ASSERT(queue.waiting() == waiting.size());
      RC_ASSERT(queue.running() == running.size());
    }
  }));
}

// Guards against an organisation that gets more than its share of the slot time
// by sending more or longer requests than others.
Test(fair_queue, waiting_organisations_get_slot_time_by_weight) {
  cr_assert(rc::check([] {
    FairQueue queue(1);
    const auto count = *rc::gen::inRange<size_t>(2, 5);
    std::vector<double> weights(count);
    std::vector<double> longest_ms(count);
    std::vector<double> served_ms(count);
    std::map<uint64_t, Duration> actual;
    uint64_t id = 0;
    for (size_t index = 0; index < count; ++index) {
      weights[index] = *rc::gen::inRange(1, 5);
      const int ms = *rc::gen::inRange(1, 100);
      const auto requests = *rc::gen::inRange(60, 300);
      for (int request = 0; request < requests; ++request) {
        FairRequest added =
            MakeRequest(++id, std::to_string(index), milliseconds(ms));
        added.weight = weights[index];
        // What was expected may be wrong.
        actual[id] = milliseconds(*rc::gen::inRange(1, 100));
        RC_ASSERT(!queue.Add(added, 0, kStart));
      }
      longest_ms[index] = 100;
    }
    for (int turn = 0; turn < 50; ++turn) {
      const auto started = queue.Start(kStart);
      const Duration work = actual[started->id];
      const size_t index = std::stoul(started->organisation);
      served_ms[index] +=
          std::chrono::duration<double, std::milli>(work).count();
      queue.OnEnded(started->id, work);
      for (size_t one = 0; one < count; ++one) {
        for (size_t other = 0; other < count; ++other) {
          RC_ASSERT(served_ms[one] / weights[one] -
                        served_ms[other] / weights[other] <=
                    longest_ms[one] / weights[one] +
                        longest_ms[other] / weights[other] + 0.01);
        }
      }
    }
  }));
}

// Guards against an organisation that saves its share while it sends nothing,
// and then keeps the others waiting.
Test(fair_queue, an_idle_organisation_saves_no_share) {
  FairQueue queue(1);
  uint64_t id = 0;
  for (int request = 0; request < 200; ++request) {
    cr_assert(!queue.Add(MakeRequest(++id, "busy"), 0, kStart));
  }
  for (int request = 0; request < 100; ++request) {
    queue.OnEnded(queue.Start(kStart)->id, milliseconds(25));
  }
  for (int request = 0; request < 50; ++request) {
    cr_assert(!queue.Add(MakeRequest(++id, "idle"), 0, kStart));
  }
  int started_idle = 0;
  for (int request = 0; request < 20; ++request) {
    const auto started = queue.Start(kStart);
    started_idle += started->organisation == "idle" ? 1 : 0;
    queue.OnEnded(started->id, milliseconds(25));
  }
  cr_assert(started_idle >= 9 && started_idle <= 11, "%d", started_idle);
}

// Guards against requests that run after a later one of their organisation made
// them late.
Test(fair_queue, within_an_organisation_the_earliest_deadline_goes_first) {
  FairQueue queue(1);
  queue.Add(MakeRequest(1, "a", milliseconds(25), kStart + seconds(2)), 0,
            kStart);
  queue.Add(MakeRequest(2, "a", milliseconds(25), kStart + seconds(1)), 0,
            kStart);
  cr_assert(queue.Start(kStart)->id == 2);
  queue.OnEnded(2, milliseconds(25));
  cr_assert(queue.Start(kStart)->id == 1);
}

// Guards against requests that wait although they will be refused in the end.
Test(fair_queue, what_cannot_be_served_in_time_is_refused_at_once) {
  FairQueue queue(2);
  uint64_t id = 0;
  int refused = 0;
  for (int request = 0; request < 100; ++request) {
    refused += queue
                   .Add(MakeRequest(++id, "a", milliseconds(25),
                                    kStart + milliseconds(250)),
                        0, kStart)
                   .has_value();
    queue.Start(kStart);
  }
  // Two slots run 20 such requests within the time.
  cr_assert(refused >= 80 && refused <= 82, "%d", refused);
  const auto never = queue.Add(
      MakeRequest(++id, "b", milliseconds(25), kStart + milliseconds(24)), 0,
      kStart);
  cr_assert(never && !never->retry_after);
}

// Guards against an organisation whose backlog makes others be refused.
Test(fair_queue, a_backlog_of_one_organisation_does_not_refuse_another) {
  FairQueue queue(1);
  uint64_t id = 0;
  for (int request = 0; request < 1000; ++request) {
    cr_assert(!queue.Add(MakeRequest(++id, "a"), 0, kStart));
  }
  cr_assert(!queue.Add(
      MakeRequest(++id, "b", milliseconds(25), kStart + milliseconds(100)), 0,
      kStart));
  FairRequest urgent =
      MakeRequest(++id, "a", milliseconds(25), kStart + milliseconds(100));
  urgent.priority = 1;
  cr_assert(queue.Add(urgent, 0, kStart).has_value());
}

// Guards against clients that all return at the same time, faster than the
// slots can serve them, or too early.
Test(fair_queue, refused_clients_return_no_faster_than_they_can_be_served) {
  cr_assert(rc::check([] {
    constexpr Duration kWork = milliseconds(25);
    const auto slots = *rc::gen::inRange<uint32_t>(1, 7);
    // Not drawn by RapidCheck, whose small cases would not be uniform.
    std::mt19937_64 generator(*rc::gen::arbitrary<uint64_t>());
    FairQueue queue(slots);
    std::vector<Duration> returns;
    uint64_t id = 0;
    for (int request = 0; request < 2000; ++request) {
      const double random = std::uniform_real_distribution<double>()(generator);
      const auto refusal =
          queue.Add(MakeRequest(++id, "a", kWork, kStart + milliseconds(500)),
                    random, kStart);
      if (refusal) {
        returns.push_back(*refusal->retry_after);
        RC_ASSERT(*refusal->retry_after > Duration::zero());
        RC_ASSERT(*refusal->retry_after <= seconds(10));
      }
    }
    RC_ASSERT(returns.size() > 1000U);
    for (Duration from{}; from < seconds(10); from += milliseconds(500)) {
      const auto back =
          std::count_if(returns.begin(), returns.end(), [&](Duration at) {
            return at >= from && at < from + milliseconds(500);
          });
      // 20 a slot can be served in that time, if the returns are in order.
      const bool is_ordered = from < seconds(5);
      RC_ASSERT(back <= (is_ordered ? 22 * slots : 400U));
    }
  }));
}

}  // namespace limpethatch
