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

namespace {

LiveAttempts WithPermits() {
  return LiveAttempts({.idempotent = true,
                       .max_attempts = 2,
                       .deadline = kStart + milliseconds(800),
                       .hedge_after = milliseconds(75),
                       .hedges_need_permit = true});
}

}  // namespace

Test(live_attempts, a_hedge_with_a_limit_is_sent_only_with_a_permit) {
  LiveAttempts attempts = WithPermits();
  cr_assert(attempts.Next(true, kStart).kind == Kind::kSend);
  attempts.Sent(kStart);
  const TimePoint late = kStart + milliseconds(75);
  cr_assert(attempts.Next(false, late).kind == Kind::kWait,
            "a permit was asked for although all other targets are full");
  cr_assert(attempts.Next(true, late).kind == Kind::kAskPermit);
  attempts.PermitAsked(late);
  cr_assert(attempts.Next(true, late + milliseconds(1)).kind == Kind::kWait);
  attempts.PermitAnswered(true, late + milliseconds(2));
  cr_assert(attempts.Next(true, late + milliseconds(2)).kind == Kind::kSend);
  attempts.Sent(late + milliseconds(2));
  cr_assert(attempts.Next(true, late + milliseconds(300)).kind == Kind::kWait,
            "more targets were tried than max_attempts allows");
}

// Guards against a query for each check of a request that was denied a hedge.
Test(live_attempts, a_denied_permit_is_asked_for_again_after_the_delay) {
  LiveAttempts attempts = WithPermits();
  attempts.Sent(kStart);
  const TimePoint late = kStart + milliseconds(75);
  attempts.PermitAsked(late);
  attempts.PermitAnswered(false, late + milliseconds(2));
  const LiveAction wait = attempts.Next(true, late + milliseconds(2));
  cr_assert(wait.kind == Kind::kWait);
  cr_assert(wait.until == late + milliseconds(77));
  cr_assert(attempts.Next(true, wait.until).kind == Kind::kAskPermit);
}

Test(live_attempts, a_permit_that_comes_late_is_not_used) {
  LiveAttempts attempts = WithPermits();
  attempts.Sent(kStart);
  const TimePoint late = kStart + milliseconds(75);
  attempts.PermitAsked(late);
  const TimePoint answered = late + LiveAttempts::kMaxPermitWait;
  attempts.PermitAnswered(true, answered + milliseconds(1));
  cr_assert(attempts.Next(true, answered + milliseconds(1)).kind ==
            Kind::kWait);
}

// A retry replaces a failed attempt, so it is no extra work.
Test(live_attempts, a_retry_needs_no_permit_while_hedges_do) {
  LiveAttempts attempts = WithPermits();
  attempts.Sent(kStart);
  attempts.PermitAsked(kStart + milliseconds(75));
  attempts.Ended(AttemptResult::kFailed);
  cr_assert(attempts.Next(true, kStart + milliseconds(76)).kind == Kind::kSend);
}

Test(live_attempts, no_permit_is_asked_for_what_may_not_be_hedged) {
  for (const bool idempotent : {false, true}) {
    LiveAttempts attempts({.idempotent = idempotent,
                           .max_attempts = 2,
                           .deadline = kStart + seconds(1),
                           .hedge_after = milliseconds(1),
                           .hedges_need_permit = true,
                           .may_hedge = !idempotent});
    attempts.Sent(kStart);
    cr_assert(attempts.Next(true, kStart + milliseconds(500)).kind ==
              Kind::kWait);
  }
}

}  // namespace limpethatch
