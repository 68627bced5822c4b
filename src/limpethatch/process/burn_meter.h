// Counts good and bad outcomes over a short and a long window, merged over the
// instances that report them.
#ifndef LIMPETHATCH_PROCESS_BURN_METER_H_
#define LIMPETHATCH_PROCESS_BURN_METER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// How a request, or the delivery of a sample, ended.
enum class RequestOutcome {
  kGood,     // Whole, within the objective's latency.
  kLate,     // Whole, later than that.
  kRefused,  // Refused, and not run.
  kFailed,   // Everything else.
};

inline constexpr size_t kRequestOutcomeCount = 4;

// "good", "late", "refused" or "failed".
std::string_view RequestOutcomeName(RequestOutcome outcome);

// By RequestOutcome.
using OutcomeCounts = std::array<uint64_t, kRequestOutcomeCount>;

uint64_t GoodCount(const OutcomeCounts& counts);
uint64_t BadCount(const OutcomeCounts& counts);

// A pure state machine. What it holds belongs to one leader's time: a new
// leader starts with nothing, and says since when it has counted.
class BurnMeter {
 public:
  static constexpr Duration kShortWindow = std::chrono::minutes(5);
  static constexpr Duration kLongWindow = std::chrono::hours(1);
  static constexpr Duration kBucket = std::chrono::seconds(10);
  // A point of a series holds this many buckets.
  static constexpr size_t kBucketsPerPoint = 6;
  // Series and open steps that are kept; more are not counted.
  static constexpr size_t kMaxSeries = 1'000;
  static constexpr size_t kMaxSteps = 10'000;

  struct Report {
    OutcomeCounts short_window{};
    OutcomeCounts long_window{};
    std::vector<OutcomeCounts> points;  // Of the long window, oldest first.
  };

  // Cumulative counts of one service at one start of an instance.
  struct Tally {
    std::string instance;
    uint64_t incarnation = 0;
    std::string service;
    Duration age{};  // Since these counts were zero.
    OutcomeCounts counts{};
  };

  // Forgets everything and counts from now on.
  void Start(TimePoint now);
  Duration Covered(TimePoint now) const { return now - started_at_; }

  // Counts what is new in `tally`. What ran before Start is never counted;
  // a tally of an earlier incarnation than the latest is void.
  void OnTally(const Tally& tally, TimePoint now);

  void OnStepOpened(const std::string& trainer,
                    const std::string& step,
                    TimePoint now);
  // The samples up to `last_sequence` have been handed to the trainer. Each is
  // counted once; those of a step whose opening was not seen are not counted.
  void OnDelivered(const std::string& trainer,
                   const std::string& step,
                   uint64_t last_sequence,
                   Duration latency,
                   TimePoint now);
  void OnStepComplete(const std::string& trainer, const std::string& step);

  Report ReportForService(const std::string& service, TimePoint now) const;
  Report ReportForTrainer(const std::string& trainer, TimePoint now) const;

 private:
  static constexpr size_t kBuckets = kLongWindow / kBucket;

  struct Bucket {
    int64_t number = -1;  // Of the time slice that it holds.
    OutcomeCounts counts{};
  };
  using Ring = std::array<Bucket, kBuckets>;

  struct Instance {
    uint64_t incarnation = 0;
    TimePoint heard_at;
    std::map<std::string, OutcomeCounts> last_counts;  // By service.
  };
  struct Step {
    TimePoint opened_at;
    uint64_t counted_up_to = 0;  // Sequence up to which samples are counted.
  };
  using SeriesKey =
      std::pair<std::string, std::string>;  // Kind or trainer, name.

  static int64_t BucketNumber(TimePoint now);
  void Add(const SeriesKey& name, const OutcomeCounts& counts, TimePoint now);
  Report ReportForSeries(const SeriesKey& name, TimePoint now) const;
  void DropStaleInstances(TimePoint now);

  TimePoint started_at_;
  std::map<SeriesKey, Ring> series_;
  std::map<std::string, Instance> instances_;
  std::map<SeriesKey, Step> steps_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_BURN_METER_H_
