// Counts the requests of organisations that targets began to run, by window, at
// a gateway, and decides when the counts of a window are sent to the leader.
#ifndef LIMPETHATCH_REQUEST_USAGE_USAGE_COUNTER_H_
#define LIMPETHATCH_REQUEST_USAGE_USAGE_COUNTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/wall_clock.h"

namespace limpethatch {

class UsageCounter {
 public:
  // Counts are sent this long after the end of a window, so that attempts that
  // turn out not to have run are mostly subtracted.
  static constexpr Duration kSendDelay = std::chrono::milliseconds(300);
  // Counts are repeated until the window is recorded, since a new leader does
  // not know them.
  static constexpr Duration kRepeatPeriod = std::chrono::seconds(2);
  // Time before a message that got no answer is repeated.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
  // Windows that ended longer ago are not reported any more.
  static constexpr Duration kMaxAge = std::chrono::seconds(60);

  // Sets the length of a window; zero, as at first, counts nothing. A change
  // discards all counts.
  void SetWindowLength(Duration length);
  bool enabled() const { return length_ > Duration::zero(); }

  // The window in which a request sent at `time` counts; nullopt if nothing is
  // counted.
  std::optional<uint64_t> WindowAt(WallTime time) const;
  void Add(const std::string& organisation, uint64_t window);
  // Takes back a request that was added to the window.
  void Subtract(const std::string& organisation, uint64_t window);

  // The counts of the oldest ended window that is to be sent now; nullopt if
  // there is none. They are next due after kRepeatPeriod.
  std::optional<wire::UsageWindow> NextReport(WallTime wall_now, TimePoint now);
  // All counts, those of the window that has not ended included.
  std::vector<wire::UsageWindow> AllCounts() const;
  // The message with the counts of the window got no answer.
  void OnUnanswered(uint64_t window, TimePoint now);
  // All windows before `next_window` are recorded.
  void OnRecorded(uint64_t next_window);

  // Requests whose counts were dropped unrecorded.
  uint64_t dropped() const { return dropped_; }

 private:
  struct Window {
    std::map<std::string, uint64_t> requests;  // By organisation; never 0.
    bool sent = false;
    TimePoint next_send;
  };

  void DropOldWindows(WallTime wall_now);
  static wire::UsageWindow Encode(uint64_t number, const Window& window);

  Duration length_{};
  std::map<uint64_t, Window> windows_;
  // Windows before this one take no more counts.
  uint64_t next_window_ = 0;
  uint64_t dropped_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_USAGE_USAGE_COUNTER_H_
