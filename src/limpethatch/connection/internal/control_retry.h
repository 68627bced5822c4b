// Retry logic of a request to the control group: selects the replica and time
// of each attempt, and determines what is known when the call ends.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

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
  // Indices of the replicas, the most promising one first. Must not be empty.
  std::vector<size_t> order = {0};
  // Number of replicas at the front of `order` that were heard from recently.
  size_t responsive = 0;
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
//
// Asked first is a leader that the latest refusal or the caller names, then the
// responsive replicas, then the others, then once more a named leader that did
// not answer. A pause follows when all that are left have refused.
class ControlRetry {
 public:
  explicit ControlRetry(ControlRetryOptions options);

  // `known_leader` is the index of the replica that the caller itself takes for
  // the leader, if any. It is preferred to the order.
  ControlAction Next(TimePoint now, std::optional<size_t> known_leader = {});

  // Handles a reply to any attempt, including late ones. `leader` is the index
  // of the replica that the reply names as the leader, if any; it need not be
  // in the order.
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
  size_t ExpirePendingAttempt(TimePoint now);
  // The replica to ask next; nullopt if all have refused since the last pause.
  std::optional<size_t> ChooseReplica(TimePoint now,
                                      std::optional<size_t> known_leader);
  // The first promising one of `order` at the given positions.
  std::optional<size_t> FirstPromising(size_t begin,
                                       size_t end,
                                       TimePoint now) const;
  // True if the replica has neither refused in this round nor left an attempt
  // unanswered recently.
  bool IsPromising(size_t replica, TimePoint now) const;
  ControlAction Finish(ControlCertainty certainty) const;
  ControlAction Send(size_t replica, TimePoint now);

  const ControlRetryOptions options_;
  std::optional<PendingAttempt> pending_;
  std::set<size_t> unresolved_;  // Attempts that may have taken effect.
  std::optional<ControlCertainty> certainty_;
  // As the latest refusal named it.
  std::optional<size_t> named_leader_;
  std::set<size_t> refused_;  // Since the last pause or timed-out attempt.
  // In this round, one that is not responsive may be asked although a
  // responsive one has refused.
  bool may_ask_unresponsive_ = false;
  std::map<size_t, TimePoint> timed_out_at_;  // By replica.
  size_t attempts_ = 0;
  TimePoint paused_until_ = TimePoint::min();
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_CONTROL_RETRY_H_
