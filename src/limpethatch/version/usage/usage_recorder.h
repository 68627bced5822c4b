// Collects the usage counts of gateways at the leader and decides which window
// is recorded next, and when.
#ifndef LIMPETHATCH_VERSION_USAGE_USAGE_RECORDER_H_
#define LIMPETHATCH_VERSION_USAGE_USAGE_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fleet.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/wall_clock.h"
#include "limpethatch/version/usage/usage_ledger.h"

namespace limpethatch {

struct UsageRecorderOptions {
  Duration window = std::chrono::seconds(5);
  // From the end of a window to its record: gateways need this time to send
  // their counts, and the report the rest of the time until it is due.
  Duration record_delay = std::chrono::seconds(4);
  // A new leader waits this long before its first record. Gateways repeat their
  // counts every 2 s.
  Duration collect_time = std::chrono::milliseconds(2500);
  // Windows that ended longer ago are neither recorded nor reported any more.
  Duration max_age = std::chrono::seconds(60);
};

enum class UsageCountsOutcome {
  kCollected,
  kRecorded,   // The window is already on record, or will never be.
  kLate,       // It was recorded here without these counts.
  kNotStored,  // The window is in the future, or too much is stored.
};

class UsageRecorder {
 public:
  // Maximum size of the counts that are collected, in bytes.
  static constexpr size_t kMaxBytes = 16UL * 1024 * 1024;

  explicit UsageRecorder(UsageRecorderOptions options) : options_(options) {}

  // Discards the counts; called when the leader changes.
  void Reset();
  UsageCountsOutcome Collect(const wire::UsageCounts& counts,
                             const UsageLedger& ledger,
                             WallTime now);
  // The command that is due; nullopt if none is. It is the same until the
  // ledger has applied it. `organisations` tells whether the configuration in
  // force has organisations, `leading_for` how long this instance has led.
  std::optional<wire::UsageRecord> Plan(const UsageLedger& ledger,
                                        bool organisations,
                                        WallTime now,
                                        Duration leading_for);

  // Number of gateways, by incarnation, whose counts are collected.
  size_t CountInstances(uint64_t window) const;
  const UsageRecorderOptions& options() const { return options_; }

 private:
  // A gateway and its incarnation.
  using Sender = std::pair<std::string, uint64_t>;

  struct Window {
    bool planned = false;  // The record was planned: counts are late now.
    // Serialised wire::UsageWindow messages, which take less memory.
    std::map<Sender, std::string> counts;
  };

  bool IsTooOld(uint64_t window, WallTime now) const;
  void RemoveOldWindows(WallTime now);
  wire::UsageWindow Sum(uint64_t number) const;

  const UsageRecorderOptions options_;
  std::map<uint64_t, Window> windows_;
  size_t bytes_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_USAGE_USAGE_RECORDER_H_
