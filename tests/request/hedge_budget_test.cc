#include "limpethatch/request/hedging/hedge_budget.h"

#include <rapidcheck.h>

#include <vector>

#include "limpethatch/request/hedging/hedge_report.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

HedgeBudget::Query Query(Duration earned,
                         Duration expected,
                         double extra_work = 0.02,
                         Duration overrun = {}) {
  return {.earned = earned,
          .overrun = overrun,
          .expected = expected,
          .extra_work = extra_work};
}

}  // namespace

// A new leader does not know what the last one granted.
Test(hedge_budget, it_starts_empty) {
  HedgeBudget budget;
  cr_assert(!budget.Acquire("a", Query({}, milliseconds(1)), kStart));
}

Test(hedge_budget, what_is_earned_is_granted_once) {
  HedgeBudget budget;
  cr_assert(budget.Acquire("a", Query(seconds(1), milliseconds(20)), kStart));
  cr_assert(!budget.Acquire("a", Query({}, milliseconds(1)), kStart));
  cr_assert(!budget.Acquire("b", Query({}, milliseconds(1)), kStart),
            "routes have budgets of their own");
}

Test(hedge_budget, a_share_of_0_grants_nothing) {
  HedgeBudget budget;
  cr_assert(budget.Acquire("a", Query(seconds(9), milliseconds(20)), kStart));
  cr_assert(!budget.Acquire("a", Query(seconds(9), milliseconds(20), 0),
                            kStart + milliseconds(1)),
            "a gateway that was told to stop hedging got a permit");
}

// Guards against a burst after a time without late requests.
Test(hedge_budget, unspent_budget_is_lost_except_for_one_hedge) {
  HedgeBudget budget;
  // Too expensive to be granted, so that all is saved up.
  budget.Acquire("a", Query(seconds(100), seconds(10)), kStart);
  cr_assert(budget.balance("a") == seconds(2));
  const TimePoint later = kStart + HedgeBudget::kSavingTime + milliseconds(1);
  cr_assert(budget.Acquire("a", Query({}, milliseconds(25)), later));
  cr_assert(!budget.Acquire("a", Query({}, milliseconds(25)), later));
}

// A route with little traffic earns less than a hedge in the saving time.
Test(hedge_budget, a_slow_route_can_save_up_for_one_hedge) {
  HedgeBudget budget;
  TimePoint now = kStart;
  int granted = 0;
  for (int i = 0; i < 100; ++i, now += seconds(10)) {
    granted +=
        budget.Acquire("a", Query(milliseconds(250), milliseconds(25)), now)
            ? 1
            : 0;
  }
  cr_assert_eq(granted, 20);
}

Test(hedge_budget, overruns_are_paid_before_anything_is_granted) {
  HedgeBudget budget;
  cr_assert(budget.Acquire("a", Query(seconds(1), milliseconds(20)), kStart));
  const TimePoint later = kStart + minutes(5);
  cr_assert(!budget.Acquire(
      "a", Query(seconds(2), milliseconds(20), 0.02, milliseconds(100)),
      later));
  cr_assert(budget.balance("a") == milliseconds(-60));
  cr_assert(!budget.Acquire("a", Query(seconds(3), milliseconds(20)),
                            later + minutes(20)),
            "a debt was forgotten");
  cr_assert(budget.Acquire("a", Query(seconds(1), milliseconds(20)),
                           later + minutes(20)));
}

Test(hedge_budget, routes_that_nobody_asks_for_are_forgotten) {
  HedgeBudget budget;
  for (int i = 0; i < 100; ++i) {
    budget.Acquire(std::to_string(i), Query(seconds(1), milliseconds(1)),
                   kStart);
  }
  cr_assert_eq(budget.routes(), 100);
  budget.Acquire("a", Query({}, milliseconds(1)),
                 kStart + HedgeBudget::kIdleTime);
  cr_assert_eq(budget.routes(), 1);
}

// The limit was meant for a route, but each gateway would keep its own.
Test(hedge_budget, the_share_holds_for_any_split_over_gateways) {
  cr_assert(rc::check("hedges spend at most their share", [] {
    constexpr double kShare = 0.02;
    const auto gateways = *rc::gen::inRange<size_t>(1, 30);
    std::vector<HedgeReport> reports(gateways);
    HedgeBudget budget;
    TimePoint now = kStart;
    Duration first{};
    Duration charged{};  // What hedges took, or were expected to if longer.
    Duration unreported{};
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
        200, rc::gen::arbitrary<uint32_t>());
    for (const uint32_t step : steps) {
      HedgeReport& report = reports[step % gateways];
      now += milliseconds(step / 64 % 40);
      for (uint32_t i = 0; i < step / 4096 % 50; ++i) {
        const Duration took = milliseconds(5 + (step >> (i % 16)) % 100);
        report.OnFirstAttemptEnded(took, now);
        first += took;
      }
      const HedgeReport::Figures figures = report.Take(now);
      const Duration expected = milliseconds(1 + step / 256 % 40);
      const bool granted = budget.Acquire(
          "a",
          Query(figures.earned, expected, kShare, Duration(figures.overrun)),
          now);
      unreported -= figures.overrun;
      if (granted) {
        const Duration took = milliseconds(step / 1024 % 80);
        report.OnHedgeEnded(took, expected);
        charged += std::max(took, expected);
        unreported += std::max(took - expected, Duration::zero());
      }
      // Overruns that the leader does not know yet are charged to later hedges.
      const Duration known = charged - unreported;
      if (granted) {
        RC_ASSERT(static_cast<double>(known.count()) <=
                  kShare * static_cast<double>(first.count()));
      }
    }
  }));
}

// Guards against hours of target time that are reported at once.
Test(hedge_report, only_recent_time_is_reported) {
  HedgeReport report;
  for (int i = 0; i < 1000; ++i) {
    report.OnFirstAttemptEnded(seconds(1), kStart + seconds(i));
  }
  cr_assert(report.Take(kStart + seconds(1000)).earned == seconds(4));
  cr_assert(report.Take(kStart + seconds(1000)).earned == seconds(0));
}

Test(hedge_report, overruns_are_reported_in_full_and_never_negative) {
  HedgeReport report;
  report.OnHedgeEnded(milliseconds(10), milliseconds(30));
  report.OnHedgeEnded(milliseconds(50), milliseconds(30));
  const HedgeReport::Figures figures = report.Take(kStart);
  cr_assert(figures.overrun == milliseconds(20));
  report.Restore(figures.overrun);
  cr_assert(report.Take(kStart).overrun == milliseconds(20));
  cr_assert(report.Take(kStart).overrun == milliseconds(0));
}

}  // namespace limpethatch
