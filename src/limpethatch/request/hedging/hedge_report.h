// What a gateway has to report of one route with its next query for a hedge:
// target time that first attempts took, and that hedges took beyond what was
// expected of them.
#ifndef LIMPETHATCH_REQUEST_HEDGING_HEDGE_REPORT_H_
#define LIMPETHATCH_REQUEST_HEDGING_HEDGE_REPORT_H_

#include <cstdint>
#include <deque>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Not thread-safe.
class HedgeReport {
 public:
  // First attempts that ended earlier than this earn nothing. Otherwise a
  // gateway that asks rarely would report the time of hours at once.
  static constexpr Duration kSavingTime = std::chrono::seconds(4);

  struct Figures {
    std::chrono::milliseconds earned{};
    std::chrono::milliseconds overrun{};
  };

  void OnFirstAttemptEnded(Duration took, TimePoint now);
  void OnHedgeEnded(Duration took, Duration expected);

  // Returns what is to be reported, in whole milliseconds, and forgets it. What
  // was earned is never reported twice, even if the query gets lost.
  Figures Take(TimePoint now);
  // Overruns are reported again if it is not certain that a query was taken in:
  // to charge them twice keeps the limit, to lose them does not.
  void Restore(std::chrono::milliseconds overrun) { overrun_ += overrun; }

 private:
  struct Period {
    TimePoint start;
    Duration took{};
  };

  std::deque<Period> periods_;  // Oldest first.
  Duration overrun_{};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_HEDGING_HEDGE_REPORT_H_
