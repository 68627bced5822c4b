#include "limpethatch/request/live_attempts.h"

#include <algorithm>

namespace limpethatch {

LiveAction LiveAttempts::Next(bool has_untried_target, TimePoint now) const {
  if (now >= options_.deadline) {
    return {LiveAction::Kind::kGiveUp, now};
  }
  const bool repeatable = options_.idempotent || may_have_run_ + open_ == 0;
  const bool may_send = has_untried_target && repeatable &&
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

void LiveAttempts::Ended(AttemptResult end) {
  --open_;
  may_have_run_ += end == AttemptResult::kNotRun ? 0 : 1;
}

}  // namespace limpethatch
