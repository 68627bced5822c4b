#include <rapidcheck.h>

#include "limpethatch/request/retry_budget.h"
#include "limpethatch/request/retry_decision.h"
#include "limpethatch/request/silence_detector.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

}  // namespace

Test(retry_budget, is_never_exceeded) {
  cr_assert(rc::check([] {
    const double ratio = *rc::gen::inRange(0, 100) / 100.0;
    const double burst = *rc::gen::inRange(0, 20);
    RetryBudget budget({ratio, burst});
    double allowed = burst;
    double granted = 0;
    for (int event = 0; event < 300; ++event) {
      if (*rc::gen::arbitrary<bool>()) {
        budget.OnFirstAttempt();
        allowed += ratio;
      } else {
        granted += budget.TryAcquire();
      }
      RC_ASSERT(granted <= allowed + 1e-6);
    }
  }));
}

Test(retry_decision, never_repeats_what_may_have_run_nor_passes_a_limit) {
  cr_assert(rc::check([] {
    const TimePoint now(std::chrono::seconds(1000));
    RetryBudget budget({0.1, static_cast<double>(*rc::gen::inRange(0, 3))});
    FailedRequest failed;
    failed.run = *rc::gen::element(Ran::kNotRun, Ran::kMayHaveRun);
    failed.idempotent = *rc::gen::arbitrary<bool>();
    failed.suspect = *rc::gen::arbitrary<bool>();
    failed.resumable = *rc::gen::arbitrary<bool>();
    failed.attempts = *rc::gen::inRange<uint32_t>(1, 8);
    failed.streamed_tokens = *rc::gen::inRange<uint64_t>(0, 3);
    failed.deadline = now + milliseconds(*rc::gen::inRange(-100, 300));
    failed.expected_latency = milliseconds(*rc::gen::inRange(0, 100));
    const auto decision =
        DecideRetry(failed, budget, *rc::gen::arbitrary<uint64_t>(), now);
    if (const auto* refusal = std::get_if<RefuseRetry>(&decision)) {
      RC_ASSERT(refusal->run == failed.run);
      return;
    }
    const auto& retry = std::get<RetryCall>(decision);
    RC_ASSERT(failed.idempotent || failed.run == Ran::kNotRun);
    RC_ASSERT(failed.streamed_tokens == 0 || failed.resumable);
    RC_ASSERT(retry.resume_from_token == failed.streamed_tokens);
    RC_ASSERT(retry.not_before + failed.expected_latency < failed.deadline);
    RC_ASSERT(failed.attempts < kMaxAttempts);
    RC_ASSERT(retry.quarantined == failed.suspect);
  }));
}

Test(retry_decision, a_refusal_takes_nothing_from_the_budget) {
  const TimePoint now(std::chrono::seconds(1000));
  RetryBudget budget({0, 1});
  FailedRequest failed;
  failed.run = Ran::kMayHaveRun;
  failed.deadline = now + milliseconds(100);
  cr_assert(
      std::holds_alternative<RefuseRetry>(DecideRetry(failed, budget, 0, now)));
  failed.idempotent = true;
  cr_assert(
      std::holds_alternative<RetryCall>(DecideRetry(failed, budget, 0, now)));
  const auto spent = DecideRetry(failed, budget, 0, now);
  cr_assert(std::get<RefuseRetry>(spent).reason == RetryRefusal::kBudget);
}

Test(silence_detector, finds_a_silent_connection_within_three_seconds) {
  SilenceDetector detector({});
  for (int call = 0; call < 10; ++call) {
    // Three of the ten calls stay silent until they are detected.
    SilentCall silent_call;
    silent_call.idempotent = true;
    milliseconds probed_at{};
    for (; silent_call.silent_for <= std::chrono::seconds(3);
         silent_call.silent_for += milliseconds(10)) {
      silent_call.since_probe = silent_call.silent_for - probed_at;
      const SilenceAction action = detector.Evaluate(silent_call);
      if (action == SilenceAction::kProbe) {
        silent_call.probe = ProbeState::kPending;
        probed_at =
            std::chrono::duration_cast<milliseconds>(silent_call.silent_for);
      } else if (action == SilenceAction::kDropConnection) {
        break;
      }
      if (call % 10 >= 3 && silent_call.silent_for >= milliseconds(20)) {
        detector.OnProgress(silent_call.silent_for);
        break;
      }
    }
    cr_assert_lt(silent_call.silent_for.count(),
                 Duration(std::chrono::seconds(3)).count());
    if (call % 10 < 3) {
      detector.OnDrop();
    }
  }
  for (int call = 0; call < 100; ++call) {
    detector.OnProgress(milliseconds(20));
  }
  cr_assert_eq(detector.progress_deadline().count(),
               Duration(milliseconds(200)).count());
}

Test(silence_detector, never_drops_a_non_idempotent_call) {
  const SilenceDetector detector({});
  SilentCall call;
  call.silent_for = std::chrono::hours(1);
  call.probe = ProbeState::kAnswered;
  cr_assert(detector.Evaluate(call) == SilenceAction::kWait);
  call.idempotent = true;
  cr_assert(detector.Evaluate(call) == SilenceAction::kDropConnection);
}

Test(silence_detector, drops_lengthen_the_timeout) {
  SilenceDetector detector({});
  for (int call = 0; call < 200; ++call) {
    detector.OnProgress(milliseconds(300));
  }
  const Duration before = detector.progress_deadline();
  for (int drop = 0; drop < 20; ++drop) {
    detector.OnDrop();
  }
  cr_assert_gt(detector.progress_deadline().count(), before.count());
}

}  // namespace limpethatch
