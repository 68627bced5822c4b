// Decides what becomes of a request after one of its calls failed.
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
  Ran run = Ran::kMayHaveRun;  // Over all tries: the greatest holds.
  bool idempotent = false;
  // The target died in mid-run: see PoisonRegistry.
  bool suspect = false;
  uint32_t attempts = 1;  // Made so far, the first one included.
  TimePoint deadline;
  Duration expected_latency{};   // Of another try.
  uint64_t streamed_tokens = 0;  // That the caller already has.
  // The stream can go on from a token on the version that began it.
  bool resumable = false;
};

enum class RetryRefusal : uint8_t {
  kNotRepeatable,       // It may have run and is not idempotent.
  kStreamNotResumable,  // Part of an answer is out that cannot be resumed.
  kAttemptLimit,
  kDeadline,
  kBudget,
};

struct RetryCall {
  TimePoint not_before;
  uint64_t resume_from_token = 0;  // 0: from the start.
  bool quarantined = false;        // Only as the QuarantineArbiter allows.
};

// What the caller is told; `run` is the truth about whether it ran.
struct RefuseRetry {
  Ran run = Ran::kMayHaveRun;
  RetryRefusal reason = RetryRefusal::kAttemptLimit;
};

using RetryDecision = std::variant<RetryCall, RefuseRetry>;

inline constexpr uint32_t kMaxAttempts = 4;

// Takes a token from `budget` if and only if it answers RetryCall. `random`
// spreads the waiting time of later tries.
RetryDecision DecideRetry(const FailedRequest& failed,
                          RetryBudget& budget,
                          uint64_t random,
                          TimePoint now);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_RETRY_DECISION_H_
