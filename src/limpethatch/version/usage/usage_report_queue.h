// Decides which recorded window the holder of the duty reports next, and when a
// report that failed is repeated.
#ifndef LIMPETHATCH_VERSION_USAGE_USAGE_REPORT_QUEUE_H_
#define LIMPETHATCH_VERSION_USAGE_USAGE_REPORT_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/version/usage/usage_ledger.h"

namespace limpethatch {

enum class UsageReportOutcome {
  kAcknowledged,
  kRefused,      // The platform does not accept this report now.
  kUnavailable,  // No answer, or too many calls; it may have taken effect.
};

class UsageReportQueue {
 public:
  // Minimum time between two calls, as the platform limits their rate.
  static constexpr Duration kCallSpacing = std::chrono::milliseconds(200);
  // Time before a call is repeated: doubles with each failure in a row.
  static constexpr Duration kFirstBackOff = std::chrono::milliseconds(250);
  static constexpr Duration kMaxBackOff = std::chrono::seconds(2);

  // Forgets what was acknowledged and what failed; called when the leader
  // changes.
  void Reset() { *this = UsageReportQueue(); }
  // The oldest window that may be reported now; null if there is none.
  const wire::UsageWindow* Next(const UsageLedger& ledger, TimePoint now) const;
  void OnAnswer(uint64_t window, UsageReportOutcome outcome, TimePoint now);
  // The windows that the platform has acknowledged and the ledger still has.
  std::vector<uint64_t> AcknowledgedIn(const UsageLedger& ledger);

 private:
  struct Retry {
    uint32_t failures = 0;
    TimePoint at;
  };

  static void BackOff(Retry& retry, TimePoint now);

  std::set<uint64_t> acknowledged_;
  std::map<uint64_t, Retry> refused_;  // By window.
  Retry next_call_;                    // For all windows.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_USAGE_USAGE_REPORT_QUEUE_H_
