// Retry and hedging decisions for one live request.
//
// A target that hangs, answers slowly or closes the connection must not cost a
// caller its deadline. An idempotent call is sent to a second target when the
// first has not answered within the hedge delay, and immediately after a
// failure. A non-idempotent call is retried only if the target provably did not
// run it. A request that cannot be served is given up immediately.
//
// If hedges need a permit, an attempt beside an open one is sent only after a
// permit was asked for and granted in time.
#ifndef LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_
#define LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_

#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct LiveAttemptsOptions {
  bool idempotent = false;
  // Maximum number of targets that may run it.
  uint32_t max_attempts = 1;
  TimePoint deadline;
  // Hedge delay: another target is tried after this long without an answer.
  Duration hedge_after = std::chrono::milliseconds(75);
  bool hedges_need_permit = false;
  // False: nothing is sent while an attempt is open.
  bool may_hedge = true;
};

enum class AttemptResult {
  kNotRun,   // Provably not run: refused, or no connection.
  kFailed,   // The target answered with an error.
  kUnknown,  // It may have run; no answer is expected.
};

struct LiveAction {
  enum class Kind { kSend, kWait, kGiveUp, kAskPermit };
  Kind kind = Kind::kGiveUp;
  TimePoint until;  // For kWait: when to decide again if no attempt ends.
};

class LiveAttempts {
 public:
  // A permit that is granted later than this after it was asked for is not
  // used: the request waits no longer for another decision than for a target.
  static constexpr Duration kMaxPermitWait = std::chrono::milliseconds(20);

  explicit LiveAttempts(const LiveAttemptsOptions& options)
      : options_(options) {}

  // Decides what to do next. `has_untried_target` tells whether there is a
  // target that was not tried yet; while an attempt is open and hedges need a
  // permit, one that has a free slot.
  LiveAction Next(bool has_untried_target, TimePoint now) const;
  void Sent(TimePoint now);
  void Ended(AttemptResult end);
  void PermitAsked(TimePoint now);
  // After a denial, the next permit is asked for after another hedge delay.
  void PermitAnswered(bool granted, TimePoint now);

  uint32_t open() const { return open_; }
  // True if no target has run it or can still be running it.
  bool provably_not_run() const { return open_ == 0 && may_have_run_ == 0; }

 private:
  enum class Permit { kNone, kAsked, kGranted };

  // For a request that may be sent to another target beside an open attempt.
  LiveAction NextHedge(TimePoint now) const;

  const LiveAttemptsOptions options_;
  uint32_t open_ = 0;
  uint32_t may_have_run_ = 0;  // Ended attempts that may have run.
  TimePoint last_sent_;
  Permit permit_ = Permit::kNone;
  TimePoint permit_asked_at_;
  TimePoint permit_denied_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_
