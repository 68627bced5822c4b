#include "limpethatch/request/live_attempts.h"

#include <rapidcheck.h>

#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = LiveAction::Kind;

const TimePoint kStart{seconds(100)};

LiveAttempts Idempotent(uint32_t max_attempts = 2) {
  return LiveAttempts({.idempotent = true,
                       .max_attempts = max_attempts,
                       .deadline = kStart + milliseconds(800),
                       .hedge_after = milliseconds(75)});
}

}  // namespace

// Guards against losing the deadline to a target that hangs without closing its
// connections.
Test(live_attempts, a_hanging_target_costs_at_most_the_hedge_delay) {
  LiveAttempts attempts = Idempotent();
  cr_assert(attempts.Next(true, kStart).kind == Kind::kSend);
  attempts.Sent(kStart);
  const LiveAction wait = attempts.Next(true, kStart);
  cr_assert(wait.kind == Kind::kWait);
  cr_assert(wait.until == kStart + milliseconds(75));
  cr_assert(attempts.Next(true, wait.until).kind == Kind::kSend);
  attempts.Sent(wait.until);
  cr_assert(
      attempts.Next(true, wait.until + milliseconds(200)).kind == Kind::kWait,
      "more targets were tried than max_attempts allows");
}

Test(live_attempts, a_refusal_does_not_use_up_an_attempt) {
  LiveAttempts attempts = Idempotent(1);
  for (int i = 0; i < 3; ++i) {
    cr_assert(attempts.Next(true, kStart).kind == Kind::kSend);
    attempts.Sent(kStart);
    attempts.Ended(AttemptResult::kNotRun);
  }
  cr_assert(attempts.provably_not_run());
  cr_assert(attempts.Next(false, kStart).kind == Kind::kGiveUp,
            "a request refused by all targets was not given up at once");
}

Test(live_attempts, a_call_that_may_have_run_is_repeated_only_if_idempotent) {
  LiveAttempts repeatable = Idempotent();
  repeatable.Sent(kStart);
  repeatable.Ended(AttemptResult::kUnknown);
  cr_assert(repeatable.Next(true, kStart).kind == Kind::kSend);
  cr_assert(!repeatable.provably_not_run());
  LiveAttempts once({.idempotent = false,
                     .max_attempts = 3,
                     .deadline = kStart + seconds(1)});
  once.Sent(kStart);
  cr_assert(once.Next(true, kStart + milliseconds(500)).kind == Kind::kWait);
  once.Ended(AttemptResult::kUnknown);
  cr_assert(once.Next(true, kStart).kind == Kind::kGiveUp);
}

Test(live_attempts, gives_up_at_the_deadline) {
  LiveAttempts attempts = Idempotent();
  attempts.Sent(kStart);
  cr_assert(attempts.Next(true, kStart + milliseconds(800)).kind ==
            Kind::kGiveUp);
}

Test(live_attempts, a_non_idempotent_call_never_runs_twice) {
  cr_assert(rc::check("a non-idempotent call runs at most once", [] {
    LiveAttempts attempts({.idempotent = false,
                           .max_attempts = 3,
                           .deadline = kStart + seconds(1)});
    const auto ends = *rc::gen::container<std::vector<uint8_t>>(
        rc::gen::inRange<uint8_t>(0, 4));
    int may_have_run = 0;
    TimePoint now = kStart;
    for (const uint8_t end : ends) {
      now += milliseconds(20);
      if (attempts.Next(true, now).kind == Kind::kSend) {
        RC_ASSERT(may_have_run == 0 && attempts.open() == 0);
        attempts.Sent(now);
      }
      if (attempts.open() > 0 && end < 3) {
        may_have_run += end == 0 ? 0 : 1;
        attempts.Ended(static_cast<AttemptResult>(end));
      }
    }
  }));
}

}  // namespace limpethatch
