#include "limpethatch/request/hedging/hedge_delay.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

}  // namespace

// Guards against hedges by a handful of answers after a start.
Test(hedge_delay, too_few_samples_give_no_delay) {
  HedgeDelay delay;
  for (size_t i = 0; i + 1 < HedgeDelay::kMinSamples; ++i) {
    delay.Add(milliseconds(20), kStart);
  }
  cr_assert(!delay.Get(kStart));
  delay.Add(milliseconds(20), kStart);
  const auto figures = delay.Get(kStart + seconds(1));
  cr_assert(figures && figures->delay == milliseconds(20));
}

Test(hedge_delay, the_delay_is_that_of_the_slowest_2_percent) {
  HedgeDelay delay;
  for (int i = 1; i <= 500; ++i) {
    delay.Add(milliseconds(i), kStart);
  }
  const auto figures = delay.Get(kStart);
  cr_assert(figures->delay == milliseconds(491));
  cr_assert(figures->median == milliseconds(251));
}

// Guards against a constant delay, which hedges every request of a route that
// has become slow as a whole.
Test(hedge_delay, it_follows_a_route_that_becomes_slow) {
  HedgeDelay delay;
  for (size_t i = 0; i < HedgeDelay::kMaxSamples; ++i) {
    delay.Add(milliseconds(20), kStart);
  }
  cr_assert(delay.Get(kStart)->delay == milliseconds(20));
  for (size_t i = 0; i < HedgeDelay::kMaxSamples; ++i) {
    delay.Add(milliseconds(200), kStart + seconds(2));
  }
  cr_assert(delay.Get(kStart + seconds(3))->delay == milliseconds(200));
  cr_assert(delay.Get(kStart + seconds(3))->median == milliseconds(200));
}

Test(hedge_delay, old_samples_do_not_count) {
  HedgeDelay delay;
  for (size_t i = 0; i < HedgeDelay::kMaxSamples; ++i) {
    delay.Add(milliseconds(20), kStart);
  }
  cr_assert(delay.Get(kStart + HedgeDelay::kMaxAge).has_value());
  cr_assert(!delay.Get(kStart + HedgeDelay::kMaxAge + seconds(1)));
}

}  // namespace limpethatch
