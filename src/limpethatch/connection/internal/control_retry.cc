#include "limpethatch/connection/internal/control_retry.h"

#include <algorithm>

namespace limpethatch {

ControlRetry::ControlRetry(const ControlRetryOptions& options)
    : options_(options), next_replica_(options.first) {}

ControlAction ControlRetry::Next(TimePoint now) {
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
    timed_out_replica = ExpirePendingAttempt();
  }
  ControlAction action;
  const bool may_retry = options_.repeatable || unresolved_.empty();
  if (now >= options_.deadline || !may_retry) {
    action = Finish(unresolved_.empty() ? ControlCertainty::kNotDone
                                        : ControlCertainty::kUncertain);
  } else if (now < paused_until_) {
    action.kind = ControlAction::Kind::kWait;
    action.until = std::min(paused_until_, options_.deadline);
  } else if (refusals_ >= options_.replicas) {
    refusals_ = 0;
    paused_until_ = now + options_.round_pause;
    return Next(now);
  } else {
    action = Send(now);
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
  next_replica_ = (pending_->replica + 1) % options_.replicas;
  if (leader && *leader < options_.replicas && *leader != pending_->replica) {
    next_replica_ = *leader;
  }
  pending_.reset();
  ++refusals_;
}

size_t ControlRetry::ExpirePendingAttempt() {
  const size_t replica = pending_->replica;
  pending_.reset();
  next_replica_ = (replica + 1) % options_.replicas;
  refusals_ = 0;
  return replica;
}

ControlAction ControlRetry::Finish(ControlCertainty certainty) const {
  return {.kind = ControlAction::Kind::kFinish,
          .until = {},
          .certainty = certainty,
          .timed_out_replica = {}};
}

ControlAction ControlRetry::Send(TimePoint now) {
  pending_ = PendingAttempt{next_replica_, attempts_++,
                            now + options_.attempt_timeout};
  unresolved_.insert(pending_->attempt);
  return {.kind = ControlAction::Kind::kSend,
          .replica = pending_->replica,
          .attempt = pending_->attempt,
          .until = pending_->expires,
          .timed_out_replica = {}};
}

}  // namespace limpethatch
