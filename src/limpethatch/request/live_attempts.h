// When a live request is sent to a target, again, or given up.
//
// Pattern answered: a target that hangs, answers slowly or breaks off must not
// cost a caller its deadline. A call that may be repeated is sent to a second
// target once the first took longer than usual, and at once after a failure; a
// call that may not be repeated goes on only if the target proved not to have
// run it. What can't be served is given up at once.
#ifndef LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_
#define LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_

#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct LiveAttemptsOptions {
  bool idempotent = false;
  // Targets that may come to run it.
  uint32_t max_attempts = 1;
  TimePoint deadline;
  // A second target is tried after this long without an answer.
  Duration hedge_after = std::chrono::milliseconds(75);
};

enum class AttemptResult {
  kNotRun,   // It was provably not run: refused, or no connection.
  kFailed,   // The target answered that it failed.
  kUnknown,  // It may have run; no answer will come.
};

struct LiveAction {
  enum class Kind { kSend, kWait, kGiveUp };
  Kind kind = Kind::kGiveUp;
  TimePoint until;  // For kWait, unless an attempt ends before.
};

class LiveAttempts {
 public:
  explicit LiveAttempts(const LiveAttemptsOptions& options)
      : options_(options) {}

  // `has_untried_target` tells whether a target is left that was not tried.
  LiveAction Next(bool has_untried_target, TimePoint now) const;
  void Sent(TimePoint now);
  void Ended(AttemptResult end);

  uint32_t open() const { return open_; }
  // No target has run it, and none will.
  bool provably_not_run() const { return open_ == 0 && may_have_run_ == 0; }

 private:
  const LiveAttemptsOptions options_;
  uint32_t open_ = 0;
  uint32_t may_have_run_ = 0;  // Ended attempts, beside the open ones.
  TimePoint last_sent_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_
