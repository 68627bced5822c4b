#include "limpethatch/request/targets/target_estimate.h"

#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
constexpr Duration kWork = milliseconds(25);

// A target whose calls took 25 ms at its usual pace, with nothing else running.
TargetEstimate MakeKnown(TimePoint now) {
  TargetEstimate estimate;
  for (int call = 0; call < 20; ++call) {
    const TimePoint sent = now - seconds(20 - call);
    estimate.OnSent(sent);
    estimate.OnLoad({.running = 1, .slots = 6}, sent + kWork);
    estimate.OnAnswered(kWork, sent + kWork);
  }
  return estimate;
}

double FinishMs(const TargetEstimate& estimate, TimePoint now) {
  return std::chrono::duration<double, std::milli>(
             estimate.Estimate(kWork, now).finish)
      .count();
}

}  // namespace

// Guards against an old report that outweighs history, or a fresh one that does
// not.
Test(target_estimate, a_report_counts_while_it_is_fresh) {
  TargetEstimate estimate = MakeKnown(kStart);
  const double usual = FinishMs(estimate, kStart);
  estimate.OnLoad({.slots = 6, .pace = 2.5}, kStart);
  cr_assert(FinishMs(estimate, kStart) > 2.3 * usual);
  cr_assert(FinishMs(estimate, kStart + milliseconds(300)) < 1.8 * usual);
  cr_assert(FinishMs(estimate, kStart + seconds(5)) < 1.2 * usual);
}

// Guards against requests that wait at a full target, which costs the work of
// another request each.
Test(target_estimate,
     a_target_that_says_it_is_full_is_saturated_while_that_is_fresh) {
  for (const LoadReport& full :
       {LoadReport{.running = 5, .waiting = 1, .slots = 6},
        LoadReport{.running = 6, .waiting = 0, .slots = 6}}) {
    TargetEstimate estimate = MakeKnown(kStart);
    cr_assert_not(estimate.Estimate(kWork, kStart).is_saturated);
    estimate.OnLoad(full, kStart);
    cr_assert(estimate.Estimate(kWork, kStart).is_saturated);
    cr_assert(
        estimate.Estimate(kWork, kStart + milliseconds(100)).is_saturated);
    cr_assert_not(estimate.Estimate(kWork, kStart + seconds(1)).is_saturated);
  }
}

// Guards against own calls that fill a target whose last report is old.
Test(target_estimate, own_calls_saturate_a_target) {
  TargetEstimate estimate = MakeKnown(kStart);
  for (int call = 0; call < 6; ++call) {
    cr_assert_not(estimate.Estimate(kWork, kStart).is_saturated);
    estimate.OnSent(kStart);
  }
  cr_assert(estimate.Estimate(kWork, kStart).is_saturated);
}

// Guards against requests that follow others to a target which stopped to
// answer without refusing.
Test(target_estimate, a_call_that_is_late_raises_the_estimate_before_it_ends) {
  TargetEstimate estimate = MakeKnown(kStart);
  estimate.OnSent(kStart);
  cr_assert(FinishMs(estimate, kStart + milliseconds(400)) >= 400);
  estimate.OnAbandoned(milliseconds(400), kStart + milliseconds(400));
  const double after = FinishMs(estimate, kStart + milliseconds(400));
  cr_assert(after > 28 && after < 50, "%f", after);
}

// Guards against a refusal within a millisecond that makes a target look fast.
Test(target_estimate, a_failure_is_no_fast_answer) {
  TargetEstimate estimate = MakeKnown(kStart);
  const double usual = FinishMs(estimate, kStart);
  for (int call = 0; call < 20; ++call) {
    estimate.OnSent(kStart);
    estimate.OnAbandoned(milliseconds(1), kStart + milliseconds(1));
  }
  cr_assert(std::abs(FinishMs(estimate, kStart + milliseconds(1)) - usual) < 1);
}

// Guards against figures that yield no time, a negative one or one without
// bound.
Test(target_estimate, any_figures_yield_a_bounded_time) {
  cr_assert(rc::check([] {
    TargetEstimate estimate;
    TimePoint now = kStart;
    std::vector<TimePoint> open;
    for (int event = 0; event < 60; ++event) {
      const auto age = milliseconds(*rc::gen::inRange(0, 2000));
      now += age;
      const LoadReport report{
          .running = *rc::gen::arbitrary<uint32_t>(),
          .waiting = *rc::gen::arbitrary<uint32_t>(),
          .slots = *rc::gen::arbitrary<uint32_t>(),
          .pace = *rc::gen::element(0.0, 1.0, -1.0, 1e300, 4.3e7, std::nan(""),
                                    std::numeric_limits<double>::infinity())};
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          estimate.OnSent(now);
          open.push_back(now);
          break;
        case 1:
          estimate.OnLoad(report, now);
          break;
        default:
          if (!open.empty()) {
            estimate.OnAnswered(now - open.back(), now);
            open.pop_back();
          }
      }
      const TargetForecast forecast = estimate.Estimate(kWork, now);
      RC_ASSERT(forecast.finish >= Duration::zero());
      RC_ASSERT(forecast.finish < std::chrono::hours(24 * 365));
    }
  }));
}

// Guards against absurd figures that are used as they are, and plausible ones
// that are counted as absurd.
Test(target_estimate, absurd_figures_are_bounded_and_told) {
  TargetEstimate estimate;
  cr_assert(estimate.OnLoad(
      {.running = 6, .waiting = 40, .slots = 6, .pace = 2.5}, kStart));
  for (const LoadReport& absurd :
       {LoadReport{.running = 7, .slots = 6}, LoadReport{.slots = 0},
        LoadReport{.waiting = 4'000'000'000, .slots = 6},
        LoadReport{.slots = 6, .pace = 0},
        LoadReport{.slots = 6, .pace = 42'949'672.95}}) {
    cr_assert_not(estimate.OnLoad(absurd, kStart));
    const LoadReport bounded = BoundLoadReport(absurd);
    cr_assert(BoundLoadReport(bounded) == bounded);
  }
}

}  // namespace limpethatch
