// Outcome counts over a short and a long window, aggregated over instances.
// Error-budget burn rates are computed from them.
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

// Outcome of a request or of the delivery of a sample.
enum class RequestOutcome {
  kGood,     // Complete, within the objective's latency.
  kLate,     // Complete, but later.
  kRefused,  // Refused without being run.
  kFailed,   // Everything else.
};

inline constexpr size_t kRequestOutcomeCount = 4;

// "good", "late", "refused" or "failed".
std::string_view RequestOutcomeName(RequestOutcome outcome);

// Indexed by RequestOutcome.
using OutcomeCounts = std::array<uint64_t, kRequestOutcomeCount>;

uint64_t GoodCount(const OutcomeCounts& counts);
uint64_t BadCount(const OutcomeCounts& counts);

// A state machine without I/O. Its counts cover one leader's term of office: a
// new leader starts from zero and reports how long it has counted.
class BurnMeter {
 public:
  static constexpr Duration kShortWindow = std::chrono::minutes(5);
  static constexpr Duration kLongWindow = std::chrono::hours(1);
  static constexpr Duration kBucket = std::chrono::seconds(10);
  // Number of buckets in a point of a series.
  static constexpr size_t kBucketsPerPoint = 6;
  // Limits on the series and open steps; further ones are not counted.
  static constexpr size_t kMaxSeries = 1'000;
  static constexpr size_t kMaxSteps = 10'000;

  struct Report {
    OutcomeCounts short_window{};
    OutcomeCounts long_window{};
    std::vector<OutcomeCounts> points;  // Of the long window, oldest first.
  };

  // Cumulative counts of one service in one incarnation of an instance.
  struct Tally {
    std::string instance;
    uint64_t incarnation = 0;
    std::string service;
    Duration age{};  // Time since the counts were zero.
    OutcomeCounts counts{};
  };

  // Clears all counts and starts counting at `now`.
  void Start(TimePoint now);
  Duration Covered(TimePoint now) const { return now - started_at_; }

  // Counts the increase since the last tally. Requests from before Start are
  // never counted. A tally of an older incarnation is ignored.
  void OnTally(const Tally& tally, TimePoint now);

  void OnStepOpened(const std::string& trainer,
                    const std::string& step,
                    TimePoint now);
  // Records that the samples up to `last_sequence` were delivered to the
  // trainer. Each sample is counted once. Samples of a step without a preceding
  // OnStepOpened are not counted.
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
    int64_t number = -1;  // Index of the time slice that it covers.
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
    uint64_t counted_up_to = 0;  // Last sample sequence counted.
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
