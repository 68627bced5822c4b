#include <rapidcheck.h>

#include "limpethatch/connection/internal/control_retry.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace limpethatch;
using Kind = ControlAction::Kind;

namespace {

const TimePoint kStart{};

ControlRetryOptions Options(bool repeatable = true) {
  return {.replicas = 3,
          .first = 0,
          .repeatable = repeatable,
          .deadline = kStart + 2s,
          .attempt_timeout = 300ms,
          .round_pause = 100ms};
}

}  // namespace

Test(
    control_retry,
    a_refusal_redirects_to_the_named_leader_and_a_timeout_to_the_next_replica) {
  ControlRetry retry(Options());
  cr_assert(retry.Next(kStart).replica == 0);
  retry.OnReply(0, ControlReplyOutcome::kNotLeader, 2);
  const ControlAction second = retry.Next(kStart);
  cr_assert(second.kind == Kind::kSend && second.replica == 2);
  cr_assert(retry.Next(kStart + 299ms).kind == Kind::kWait);
  const ControlAction third = retry.Next(kStart + 300ms);
  cr_assert(third.kind == Kind::kSend && third.replica == 0);
  cr_assert(third.timed_out_replica == 2u);
  retry.OnReply(1, ControlReplyOutcome::kOk, {});
  const ControlAction last = retry.Next(kStart + 310ms);
  cr_assert(last.kind == Kind::kFinish, "a late answer must be accepted");
  cr_assert(last.certainty == ControlCertainty::kDone);
}

Test(control_retry, an_unanswered_request_that_may_not_repeat_ends_uncertain) {
  ControlRetry retry(Options(false));
  retry.Next(kStart);
  retry.OnReply(0, ControlReplyOutcome::kUnavailable, {});
  cr_assert(retry.Next(kStart).kind == Kind::kSend,
            "a refused attempt did nothing, so a retry is safe");
  const ControlAction last = retry.Next(kStart + 300ms);
  cr_assert(last.kind == Kind::kFinish);
  cr_assert(last.certainty == ControlCertainty::kUncertain);
}

Test(control_retry,
     the_reported_certainty_holds_over_random_replies_and_timeouts) {
  cr_assert(rc::check([] {
    const bool repeatable = *rc::gen::arbitrary<bool>();
    ControlRetry retry(Options(repeatable));
    TimePoint now = kStart;
    std::set<size_t> maybe_applied;
    size_t sent = 0;
    size_t sent_now = 0;  // Since the last wait.
    for (;;) {
      const ControlAction action = retry.Next(now);
      if (action.kind == Kind::kFinish) {
        RC_ASSERT((action.certainty == ControlCertainty::kNotDone) ==
                  maybe_applied.empty());
        return;
      }
      if (action.kind == Kind::kWait) {
        RC_ASSERT(action.until > now);
        RC_ASSERT(action.until <= kStart + 2s);
        now = action.until;
        sent_now = 0;
        continue;
      }
      RC_ASSERT(now < kStart + 2s);
      RC_ASSERT(repeatable || maybe_applied.empty());
      RC_ASSERT(action.attempt == sent++);
      RC_ASSERT(++sent_now <= 3u);
      maybe_applied.insert(action.attempt);
      const auto attempt = *rc::gen::inRange<size_t>(0, sent);
      const auto hint = *rc::gen::inRange<size_t>(0, 4);
      const auto leader = hint < 3 ? std::optional(hint) : std::nullopt;
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          retry.OnReply(attempt, ControlReplyOutcome::kNotLeader, leader);
          maybe_applied.erase(attempt);
          break;
        case 1:
          retry.OnReply(attempt, ControlReplyOutcome::kUnavailable, {});
          maybe_applied.erase(attempt);
          break;
        case 2:
          retry.OnReply(attempt, ControlReplyOutcome::kUncertain, leader);
          break;
        default:
          break;
      }
    }
  }));
}
