#include "limpethatch/request/retry_decision.h"

namespace limpethatch {
namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);

// Exponential backoff with full jitter. The first retry goes to another target
// and needs no delay.
Duration Backoff(uint32_t attempts, uint64_t random) {
  if (attempts <= 1) {
    return Duration::zero();
  }
  const Duration max_backoff = kFirstBackoff * (1 << (attempts - 1));
  return Duration(static_cast<Duration::rep>(
      random % static_cast<uint64_t>(max_backoff.count() + 1)));
}

}  // namespace

RetryDecision DecideRetry(const FailedRequest& failed,
                          RetryBudget& budget,
                          uint64_t random,
                          TimePoint now) {
  if (failed.run == Ran::kMayHaveRun && !failed.idempotent) {
    return RefuseRetry{failed.run, RetryRefusal::kNotRepeatable};
  }
  if (failed.streamed_tokens > 0 && !failed.resumable) {
    return RefuseRetry{failed.run, RetryRefusal::kStreamNotResumable};
  }
  if (failed.attempts >= kMaxAttempts) {
    return RefuseRetry{failed.run, RetryRefusal::kAttemptLimit};
  }
  const TimePoint not_before = now + Backoff(failed.attempts, random);
  if (not_before + failed.expected_latency >= failed.deadline) {
    return RefuseRetry{failed.run, RetryRefusal::kDeadline};
  }
  if (!budget.TryAcquire()) {
    return RefuseRetry{failed.run, RetryRefusal::kBudget};
  }
  return RetryCall{not_before, failed.streamed_tokens, failed.suspect};
}

}  // namespace limpethatch
