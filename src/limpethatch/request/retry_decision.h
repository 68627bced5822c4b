// Decides whether a request is retried after one of its calls failed.
#ifndef LIMPETHATCH_REQUEST_RETRY_DECISION_H_
#define LIMPETHATCH_REQUEST_RETRY_DECISION_H_

#include <cstdint>
#include <variant>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/refusal.h"
#include "limpethatch/request/retry_budget.h"

namespace limpethatch {

// A request at the moment one of its calls failed.
struct FailedRequest {
  Ran run = Ran::kMayHaveRun;  // The greatest over all attempts.
  bool idempotent = false;
  // The target crashed while running it; see PoisonRegistry.
  bool suspect = false;
  uint32_t attempts = 1;  // Made so far, including the first.
  TimePoint deadline;
  Duration expected_latency{};   // Of another attempt.
  uint64_t streamed_tokens = 0;  // Already delivered to the caller.
  // Another target can resume the stream at the token that was reached.
  bool resumable = false;
};

enum class RetryRefusal : uint8_t {
  kNotRepeatable,       // It may have run and is not idempotent.
  kStreamNotResumable,  // Part of the answer was already sent.
  kAttemptLimit,
  kDeadline,
  kBudget,
};

struct RetryCall {
  TimePoint not_before;
  uint64_t resume_from_token = 0;  // 0: from the start.
  bool quarantined = false;        // Must run in quarantine.
};

// No retry; `run` tells the caller whether the request was executed.
struct RefuseRetry {
  Ran run = Ran::kMayHaveRun;
  RetryRefusal reason = RetryRefusal::kAttemptLimit;
};

using RetryDecision = std::variant<RetryCall, RefuseRetry>;

inline constexpr uint32_t kMaxAttempts = 4;

// Takes a token from `budget` if and only if it returns RetryCall. `random`
// provides the jitter for the backoff.
RetryDecision DecideRetry(const FailedRequest& failed,
                          RetryBudget& budget,
                          uint64_t random,
                          TimePoint now);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_RETRY_DECISION_H_
