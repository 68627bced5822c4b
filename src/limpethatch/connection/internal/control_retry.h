// Decides which control replica is asked next, when, and what is then known.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_

#include <cstddef>
#include <optional>
#include <set>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// What is known of a request to the control group when its call ends.
enum class ControlCertainty {
  kDone,        // It took effect and its result is known.
  kNotApplied,  // It did not take effect and never will.
  kUncertain,   // It may have taken effect, or may still.
};

// What one replica said of one try.
enum class ControlReplyOutcome { kOk, kNotLeader, kUnavailable, kUncertain };

struct ControlRetryOptions {
  size_t replicas = 1;
  size_t first = 0;  // Index of the replica to ask first.
  // A repeat is harmless, so that an unanswered request may be sent again.
  bool repeatable = true;
  TimePoint deadline;
  Duration attempt_timeout = std::chrono::milliseconds(300);
  // Waited after each replica has refused once.
  Duration round_pause = std::chrono::milliseconds(100);
};

struct ControlAction {
  enum class Kind { kSend, kWait, kFinish };
  Kind kind = Kind::kFinish;
  size_t replica = 0;  // For kSend.
  size_t attempt = 0;  // For kSend; counts from 0.
  TimePoint until;     // For kWait, unless a reply comes first.
  ControlCertainty certainty = ControlCertainty::kNotApplied;  // For kFinish.
  // A replica whose try went unanswered just now.
  std::optional<size_t> timed_out_replica;
};

// One call. The caller feeds replies in and does what Next() says until it
// says kFinish.
class ControlRetry {
 public:
  explicit ControlRetry(const ControlRetryOptions& options);

  ControlAction Next(TimePoint now);

  // A reply to any attempt, late ones too. `leader` is the index of the
  // replica that the reply names as the leader, if any.
  void OnReply(size_t attempt,
               ControlReplyOutcome reply_outcome,
               std::optional<size_t> leader);

 private:
  struct PendingAttempt {
    size_t replica = 0;
    size_t attempt = 0;
    TimePoint expires;
  };

  // Closes the open try as unanswered; returns its replica.
  size_t ExpirePendingAttempt();
  ControlAction Finish(ControlCertainty certainty) const;
  ControlAction Send(TimePoint now);

  const ControlRetryOptions options_;
  std::optional<PendingAttempt> pending_;
  std::set<size_t> unresolved_;  // Attempts that may have taken effect.
  std::optional<ControlCertainty> certainty_;
  size_t next_replica_;
  size_t attempts_ = 0;
  size_t refusals_ = 0;  // Since the last pause or silence.
  TimePoint paused_until_ = TimePoint::min();
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_
