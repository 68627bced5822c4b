// Retry and hedging decisions for one live request.
//
// A target that hangs, answers slowly or closes the connection must not cost a
// caller its deadline. An idempotent call is sent to a second target when the
// first has not answered within the hedge delay, and immediately after a
// failure. A non-idempotent call is retried only if the target provably did not
// run it. A request that cannot be served is given up immediately.
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
};

enum class AttemptResult {
  kNotRun,   // Provably not run: refused, or no connection.
  kFailed,   // The target answered with an error.
  kUnknown,  // It may have run; no answer is expected.
};

struct LiveAction {
  enum class Kind { kSend, kWait, kGiveUp };
  Kind kind = Kind::kGiveUp;
  TimePoint until;  // For kWait: when to decide again if no attempt ends.
};

class LiveAttempts {
 public:
  explicit LiveAttempts(const LiveAttemptsOptions& options)
      : options_(options) {}

  // Decides what to do next. `has_untried_target` tells whether there is a
  // target that was not tried yet.
  LiveAction Next(bool has_untried_target, TimePoint now) const;
  void Sent(TimePoint now);
  void Ended(AttemptResult end);

  uint32_t open() const { return open_; }
  // True if no target has run it or can still be running it.
  bool provably_not_run() const { return open_ == 0 && may_have_run_ == 0; }

 private:
  const LiveAttemptsOptions options_;
  uint32_t open_ = 0;
  uint32_t may_have_run_ = 0;  // Ended attempts that may have run.
  TimePoint last_sent_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_LIVE_ATTEMPTS_H_
