// The parts of hedging together, in a model of a service and its gateways.
#include "request/hedging_model.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr double kExtraWork = 0.02;
// What gateways could not report yet when the model ends: the overruns of a few
// hedges.
constexpr double kUnreported = 0.001;

HedgingFigures Run(HedgingScenario scenario, HedgingPolicy policy) {
  scenario.policy = policy;
  return HedgingModel(scenario).Run();
}

double HedgeShare(const HedgingFigures& figures) {
  return figures.hedge_time_s / figures.first_time_s;
}

}  // namespace

Test(hedging, one_slow_target_of_three_is_felt_less) {
  const HedgingScenario scenario{.slowness = {2.5, 1, 1}};
  const HedgingFigures without = Run(scenario, HedgingPolicy::kNone);
  const HedgingFigures hedged = Run(scenario, HedgingPolicy::kQuantile);
  cr_assert(hedged.Quantile(0.999) < 0.95 * without.Quantile(0.999),
            "%f s, %f s without", hedged.Quantile(0.999),
            without.Quantile(0.999));
  cr_assert(hedged.Quantile(0.99) <= 1.02 * without.Quantile(0.99),
            "hedges hide the slow target from routing: %f s, %f s without",
            hedged.Quantile(0.99), without.Quantile(0.99));
  cr_assert(HedgeShare(hedged) <= kExtraWork + kUnreported);
  cr_assert(hedged.extra_work() <= 0.03, "%f", hedged.extra_work());
}

// A fixed delay hedges every request then.
Test(hedging, targets_that_are_all_slow_get_no_more_hedges) {
  const HedgingScenario scenario{.slowness = {4, 4, 4}};
  const HedgingFigures fixed = Run(scenario, HedgingPolicy::kFixedDelay);
  const HedgingFigures hedged = Run(scenario, HedgingPolicy::kQuantile);
  cr_assert(fixed.extra_work() > 0.5, "%f", fixed.extra_work());
  cr_assert(HedgeShare(hedged) <= kExtraWork + kUnreported);
  cr_assert(hedged.extra_work() <= 0.03, "%f", hedged.extra_work());
}

Test(hedging, the_limit_holds_under_overload_for_any_number_of_gateways) {
  for (const size_t gateways : {1, 3, 12}) {
    for (const double load : {0.9, 1.2}) {
      const HedgingScenario scenario{.gateways = gateways,
                                     .slowness = {0.7, 1, 1.7},
                                     .neighbours = true,
                                     .load = load};
      const HedgingFigures without = Run(scenario, HedgingPolicy::kNone);
      const HedgingFigures hedged = Run(scenario, HedgingPolicy::kQuantile);
      cr_assert(HedgeShare(hedged) <= kExtraWork + kUnreported);
      cr_assert(hedged.extra_work() <= kExtraWork, "%f", hedged.extra_work());
      cr_assert(static_cast<double>(hedged.answered) >=
                    0.995 * static_cast<double>(without.answered),
                "hedges cost answers: %zu, %zu without", hedged.answered,
                without.answered);
    }
  }
}

Test(hedging, a_share_of_0_is_a_hard_stop) {
  const HedgingFigures hedged =
      Run({.slowness = {2.5, 1, 1}, .extra_work = 0}, HedgingPolicy::kQuantile);
  cr_assert_eq(hedged.hedges, 0);
  cr_assert_eq(hedged.answered, hedged.requests);
}

Test(hedging, requests_that_may_not_be_repeated_are_never_hedged) {
  const HedgingFigures hedged = Run(
      {.slowness = {2.5, 1, 1}, .repeatable = false}, HedgingPolicy::kQuantile);
  cr_assert_eq(hedged.hedges, 0);
  cr_assert_eq(hedged.asked, 0);
}

}  // namespace limpethatch
