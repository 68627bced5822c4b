#include "limpethatch/request/live_attempts.h"

#include <algorithm>

namespace limpethatch {

LiveAction LiveAttempts::Next(bool target_left, TimePoint now) const {
  if (now >= options_.deadline) {
    return {LiveAction::Kind::kGiveUp, now};
  }
  const bool repeatable = options_.idempotent || may_have_run_ + open_ == 0;
  const bool may_send = target_left && repeatable &&
                        may_have_run_ + open_ < options_.max_attempts;
  if (open_ == 0) {
    return {may_send ? LiveAction::Kind::kSend : LiveAction::Kind::kGiveUp,
            now};
  }
  const TimePoint hedge_at = last_sent_ + options_.hedge_after;
  if (may_send && now >= hedge_at) {
    return {LiveAction::Kind::kSend, now};
  }
  return {LiveAction::Kind::kWait,
          may_send ? std::min(hedge_at, options_.deadline) : options_.deadline};
}

void LiveAttempts::Sent(TimePoint now) {
  ++open_;
  last_sent_ = now;
}

void LiveAttempts::Ended(AttemptEnd end) {
  --open_;
  may_have_run_ += end == AttemptEnd::kNotRun ? 0 : 1;
}

}  // namespace limpethatch
