#include "limpethatch/connection/internal/control_retry.h"

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// For this multiple of the time limit of an attempt, a replica that did not
// answer comes after all others.
constexpr int kSilentAttempts = 3;

}  // namespace

ControlRetry::ControlRetry(ControlRetryOptions options)
    : options_(std::move(options)) {}

ControlAction ControlRetry::Next(TimePoint now,
                                 std::optional<size_t> known_leader) {
  if (certainty_) {
    return Finish(*certainty_);
  }
  std::optional<size_t> timed_out_replica;
  if (pending_) {
    if (const TimePoint until = std::min(pending_->expires, options_.deadline);
        now < until) {
      return {.kind = ControlAction::Kind::kWait,
              .until = until,
              .timed_out_replica = {}};
    }
    timed_out_replica = ExpirePendingAttempt(now);
  }
  ControlAction action;
  const bool may_retry = options_.repeatable || unresolved_.empty();
  if (now >= options_.deadline || !may_retry) {
    action = Finish(unresolved_.empty() ? ControlCertainty::kNotDone
                                        : ControlCertainty::kUncertain);
  } else if (now < paused_until_) {
    action.kind = ControlAction::Kind::kWait;
    action.until = std::min(paused_until_, options_.deadline);
  } else if (const auto replica = ChooseReplica(now, known_leader)) {
    action = Send(*replica, now);
  } else {
    refused_.clear();
    may_ask_unresponsive_ = true;
    paused_until_ = now + options_.round_pause;
    return Next(now, known_leader);
  }
  action.timed_out_replica = timed_out_replica;
  return action;
}

void ControlRetry::OnReply(size_t attempt,
                           ControlReplyOutcome reply_outcome,
                           std::optional<size_t> leader) {
  if (reply_outcome == ControlReplyOutcome::kOk) {
    certainty_ = ControlCertainty::kDone;
    return;
  }
  if (reply_outcome != ControlReplyOutcome::kUncertain) {
    unresolved_.erase(attempt);
  }
  if (!pending_ || pending_->attempt != attempt) {
    return;
  }
  named_leader_ = leader;
  refused_.insert(pending_->replica);
  pending_.reset();
}

size_t ControlRetry::ExpirePendingAttempt(TimePoint now) {
  const size_t replica = pending_->replica;
  pending_.reset();
  refused_.clear();
  timed_out_at_[replica] = now;
  return replica;
}

std::optional<size_t> ControlRetry::FirstPromising(size_t begin,
                                                   size_t end,
                                                   TimePoint now) const {
  for (size_t i = begin; i < end; ++i) {
    if (IsPromising(options_.order[i], now)) {
      return options_.order[i];
    }
  }
  return std::nullopt;
}

bool ControlRetry::IsPromising(size_t replica, TimePoint now) const {
  const auto timed_out = timed_out_at_.find(replica);
  const bool silent =
      timed_out != timed_out_at_.end() &&
      now - timed_out->second < kSilentAttempts * options_.attempt_timeout;
  return !silent && !refused_.contains(replica);
}

std::optional<size_t> ControlRetry::ChooseReplica(
    TimePoint now,
    std::optional<size_t> known_leader) {
  const std::optional<size_t> named_leader =
      std::exchange(named_leader_, std::nullopt);
  for (const std::optional<size_t>& leader : {named_leader, known_leader}) {
    if (leader && IsPromising(*leader, now)) {
      return leader;
    }
  }
  if (const auto replica = FirstPromising(0, options_.responsive, now)) {
    return replica;
  }
  // If responsive ones know of no leader, one of them may become it within the
  // time limit of an attempt at another.
  const bool no_leader_yet =
      !named_leader &&
      std::any_of(options_.order.begin(),
                  options_.order.begin() +
                      static_cast<std::ptrdiff_t>(options_.responsive),
                  [&](size_t replica) { return refused_.contains(replica); });
  if (!no_leader_yet || std::exchange(may_ask_unresponsive_, false)) {
    if (const auto replica =
            FirstPromising(options_.responsive, options_.order.size(), now)) {
      return replica;
    }
  }
  // Its answer may have been lost.
  if (named_leader && !refused_.contains(*named_leader)) {
    return named_leader;
  }
  if (!refused_.empty()) {
    return std::nullopt;
  }
  timed_out_at_.clear();
  return options_.order.front();
}

ControlAction ControlRetry::Finish(ControlCertainty certainty) const {
  return {.kind = ControlAction::Kind::kFinish,
          .until = {},
          .certainty = certainty,
          .timed_out_replica = {}};
}

ControlAction ControlRetry::Send(size_t replica, TimePoint now) {
  pending_ =
      PendingAttempt{replica, attempts_++, now + options_.attempt_timeout};
  unresolved_.insert(pending_->attempt);
  return {.kind = ControlAction::Kind::kSend,
          .replica = pending_->replica,
          .attempt = pending_->attempt,
          .until = pending_->expires,
          .timed_out_replica = {}};
}

}  // namespace limpethatch
