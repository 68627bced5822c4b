#include "limpethatch/process/target_rate_limits.h"

#include <rapidcheck.h>

#include <chrono>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin{std::chrono::hours(1)};

// Targets that had stated a limit got several times as many requests.
Test(target_rate_limits, no_four_seconds_hold_more_than_the_limit_and_a_burst) {
  cr_assert(rc::check([] {
    const auto steps = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(1, 600), rc::gen::inRange(0, 120));
    const double rate = *rc::gen::inRange(1, 200) / 10.0;
    const Duration max_wait = milliseconds(*rc::gen::inRange(0, 700));
    TargetRateLimits limits;
    limits.Observe("t", 1, rate);
    TimePoint now = kBegin;
    std::vector<TimePoint> sent;
    for (const int step : steps) {
      now += milliseconds(step);
      const auto permit = limits.Acquire("t", max_wait, now);
      if (permit.granted) {
        sent.push_back(now + permit.wait);
      }
    }
    for (size_t first = 0; first < sent.size(); ++first) {
      size_t count = 0;
      while (first + count < sent.size() &&
             sent[first + count] - sent[first] < seconds(4)) {
        ++count;
      }
      RC_ASSERT(static_cast<double>(count) <= 4 * rate + 1.5 * rate + 1.001);
    }
  }));
}

Test(target_rate_limits, a_steady_caller_gets_what_the_limit_allows) {
  TargetRateLimits limits;
  limits.Observe("t", 1, 5.0);
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    granted += limits.Acquire("t", {}, kBegin + milliseconds(10 * i)).granted;
  }
  cr_assert_geq(granted, 49);
}

Test(target_rate_limits, a_denied_caller_learns_when_to_come_back) {
  TargetRateLimits limits;
  limits.Observe("t", 1, 1.0);
  cr_assert(limits.Acquire("t", {}, kBegin).granted);
  const auto denied = limits.Acquire("t", milliseconds(100), kBegin);
  cr_assert_not(denied.granted);
  cr_assert(denied.wait == seconds(1));
  cr_assert(limits.Acquire("t", {}, kBegin + denied.wait).granted);
}

Test(target_rate_limits, the_limit_ends_with_an_answer_that_states_none) {
  TargetRateLimits limits;
  cr_assert(limits.Observe("t", 1, 1.0));
  cr_assert_not(limits.Observe("t", 1, 1.0));
  cr_assert(limits.IsLimited("t"));
  cr_assert(limits.Observe("t", 1, std::nullopt));
  cr_assert_not(limits.IsLimited("t"));
  for (int i = 0; i < 100; ++i) {
    cr_assert(limits.Acquire("t", {}, kBegin).granted);
  }
}

Test(target_rate_limits, an_earlier_incarnation_changes_nothing) {
  TargetRateLimits limits;
  limits.Observe("t", 2, 1.0);
  cr_assert_not(limits.Observe("t", 1, std::nullopt));
  cr_assert_not(limits.Observe("t", 1, 50.0));
  cr_assert_eq(limits.limits().at("t").requests_per_second, 1.0);
}

Test(target_rate_limits, a_limit_of_zero_leaves_a_request_now_and_then) {
  TargetRateLimits limits;
  limits.Observe("t", 1, 0.0);
  cr_assert(limits.Acquire("t", {}, kBegin).granted);
  cr_assert_not(limits.Acquire("t", seconds(9), kBegin).granted);
  cr_assert(limits.Acquire("t", {}, kBegin + seconds(10)).granted);
}

// Guards against a peer's rate that is not a number, which has no time between
// two requests.
Test(target_rate_limits, odd_rates_count_as_the_lowest_or_as_no_limit) {
  for (const double rate :
       {std::numeric_limits<double>::quiet_NaN(), -1.0, 0.0, 1e-300}) {
    TargetRateLimits limits;
    limits.Observe("t", 1, rate);
    limits.Acquire("t", {}, kBegin);
    const Duration wait = limits.TimeToSend("t", kBegin);
    cr_assert(wait > Duration::zero());
    cr_assert(wait <= seconds(1) / TargetRateLimits::kMinRequestsPerSecond);
  }
  TargetRateLimits limits;
  limits.Observe("t", 1, std::numeric_limits<double>::infinity());
  for (int i = 0; i < 100; ++i) {
    cr_assert(limits.Acquire("t", {}, kBegin).granted);
  }
}

}  // namespace limpethatch
