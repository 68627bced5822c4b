// Retry logic of a request to the control group: selects the replica and time
// of each attempt, and determines what is known when the call ends.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_

#include <cstddef>
#include <optional>
#include <set>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// What is known about a request to the control group when its call ends.
enum class ControlCertainty {
  kDone,       // It took effect and its result is known.
  kNotDone,    // It did not take effect and never will.
  kUncertain,  // It may have taken effect, or may still do so.
};

// A replica's reply to one attempt.
enum class ControlReplyOutcome { kOk, kNotLeader, kUnavailable, kUncertain };

struct ControlRetryOptions {
  size_t replicas = 1;
  size_t first = 0;  // Index of the first replica to try.
  // True if the request is idempotent, so that it may be sent again after an
  // attempt without an answer.
  bool repeatable = true;
  TimePoint deadline;
  Duration attempt_timeout = std::chrono::milliseconds(300);
  // The delay before the next round, once all replicas have refused.
  Duration round_pause = std::chrono::milliseconds(100);
};

struct ControlAction {
  enum class Kind { kSend, kWait, kFinish };
  Kind kind = Kind::kFinish;
  size_t replica = 0;  // For kSend.
  size_t attempt = 0;  // For kSend; counts from 0.
  TimePoint until;     // For kWait; a reply ends the wait earlier.
  ControlCertainty certainty = ControlCertainty::kNotDone;  // For kFinish.
  // The replica whose attempt has just timed out, if any.
  std::optional<size_t> timed_out_replica;
};

// The state of one call. The caller passes replies to OnReply and performs the
// actions that Next returns until one is kFinish.
class ControlRetry {
 public:
  explicit ControlRetry(const ControlRetryOptions& options);

  ControlAction Next(TimePoint now);

  // Handles a reply to any attempt, including late ones. `leader` is the index
  // of the replica that the reply names as the leader, if any.
  void OnReply(size_t attempt,
               ControlReplyOutcome reply_outcome,
               std::optional<size_t> leader);

 private:
  struct PendingAttempt {
    size_t replica = 0;
    size_t attempt = 0;
    TimePoint expires;
  };

  // Ends the pending attempt as timed out. Returns its replica.
  size_t ExpirePendingAttempt();
  ControlAction Finish(ControlCertainty certainty) const;
  ControlAction Send(TimePoint now);

  const ControlRetryOptions options_;
  std::optional<PendingAttempt> pending_;
  std::set<size_t> unresolved_;  // Attempts that may have taken effect.
  std::optional<ControlCertainty> certainty_;
  size_t next_replica_;
  size_t attempts_ = 0;
  size_t refusals_ = 0;  // Since the last pause or timed-out attempt.
  TimePoint paused_until_ = TimePoint::min();
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_
