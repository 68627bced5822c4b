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
  return may_send && options_.may_hedge
             ? NextHedge(now)
             : LiveAction{LiveAction::Kind::kWait, options_.deadline};
}

LiveAction LiveAttempts::NextHedge(TimePoint now) const {
  const TimePoint hedge_at =
      std::max(last_sent_, permit_denied_at_) + options_.hedge_after;
  if (permit_ == Permit::kAsked) {
    return {LiveAction::Kind::kWait, options_.deadline};
  }
  if (options_.hedges_need_permit && permit_ == Permit::kGranted) {
    return {LiveAction::Kind::kSend, now};
  }
  if (now < hedge_at) {
    return {LiveAction::Kind::kWait, std::min(hedge_at, options_.deadline)};
  }
  return {options_.hedges_need_permit ? LiveAction::Kind::kAskPermit
                                      : LiveAction::Kind::kSend,
          now};
}

void LiveAttempts::Sent(TimePoint now) {
  if (open_ > 0 && permit_ == Permit::kGranted) {
    permit_ = Permit::kNone;
  }
  ++open_;
  last_sent_ = now;
}

void LiveAttempts::Ended(AttemptResult end) {
  --open_;
  may_have_run_ += end == AttemptResult::kNotRun ? 0 : 1;
}

void LiveAttempts::PermitAsked(TimePoint now) {
  permit_ = Permit::kAsked;
  permit_asked_at_ = now;
}

void LiveAttempts::PermitAnswered(bool granted, TimePoint now) {
  if (granted && now - permit_asked_at_ <= kMaxPermitWait) {
    permit_ = Permit::kGranted;
    return;
  }
  permit_ = Permit::kNone;
  permit_denied_at_ = now;
}

}  // namespace limpethatch
