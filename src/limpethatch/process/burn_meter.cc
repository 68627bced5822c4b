#include "limpethatch/process/burn_meter.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr const char* kServiceKind = "service";
constexpr const char* kTrainerKind = "trainer";

constexpr std::array<std::string_view, kRequestOutcomeCount> kOutcomeNames{
    "good", "late", "refused", "failed"};

void AddCounts(OutcomeCounts* sum, const OutcomeCounts& counts) {
  for (size_t i = 0; i < counts.size(); ++i) {
    (*sum)[i] += counts[i];
  }
}

// Returns the increase from `before` to `now`, or `now` if a counter was reset.
OutcomeCounts CounterIncrease(const OutcomeCounts& before,
                              const OutcomeCounts& now) {
  OutcomeCounts growth{};
  for (size_t i = 0; i < now.size(); ++i) {
    if (now[i] < before[i]) {
      return now;
    }
    growth[i] = now[i] - before[i];
  }
  return growth;
}

}  // namespace

std::string_view RequestOutcomeName(RequestOutcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

uint64_t GoodCount(const OutcomeCounts& counts) {
  return counts[static_cast<size_t>(RequestOutcome::kGood)];
}

uint64_t BadCount(const OutcomeCounts& counts) {
  uint64_t all = 0;
  for (const uint64_t count : counts) {
    all += count;
  }
  return all - GoodCount(counts);
}

void BurnMeter::Start(TimePoint now) {
  started_at_ = now;
  series_.clear();
  instances_.clear();
  steps_.clear();
}

void BurnMeter::OnTally(const Tally& tally, TimePoint now) {
  DropStaleInstances(now);
  Instance& instance = instances_[tally.instance];
  if (tally.incarnation < instance.incarnation) {
    return;
  }
  if (tally.incarnation > instance.incarnation) {
    instance.incarnation = tally.incarnation;
    instance.last_counts.clear();
  }
  instance.heard_at = now;
  const auto [last_counts, first] =
      instance.last_counts.emplace(tally.service, tally.counts);
  if (!first) {
    Add({kServiceKind, tally.service},
        CounterIncrease(last_counts->second, tally.counts), now);
    last_counts->second = tally.counts;
    return;
  }
  if (tally.age < Covered(now)) {
    Add({kServiceKind, tally.service}, tally.counts, now);
  }
}

void BurnMeter::OnStepOpened(const std::string& trainer,
                             const std::string& step,
                             TimePoint now) {
  if (steps_.size() < kMaxSteps) {
    steps_.emplace(SeriesKey{trainer, step}, Step{now});
  }
}

void BurnMeter::OnDelivered(const std::string& trainer,
                            const std::string& step,
                            uint64_t last_sequence,
                            Duration latency,
                            TimePoint now) {
  const auto found = steps_.find({trainer, step});
  if (found == steps_.end() || last_sequence <= found->second.counted_up_to) {
    return;
  }
  Step& open = found->second;
  const RequestOutcome outcome = now - open.opened_at <= latency
                                     ? RequestOutcome::kGood
                                     : RequestOutcome::kLate;
  OutcomeCounts counts{};
  counts[static_cast<size_t>(outcome)] = last_sequence - open.counted_up_to;
  open.counted_up_to = last_sequence;
  Add({kTrainerKind, trainer}, counts, now);
}

void BurnMeter::OnStepComplete(const std::string& trainer,
                               const std::string& step) {
  steps_.erase({trainer, step});
}

BurnMeter::Report BurnMeter::ReportForService(const std::string& service,
                                              TimePoint now) const {
  return ReportForSeries({kServiceKind, service}, now);
}

BurnMeter::Report BurnMeter::ReportForTrainer(const std::string& trainer,
                                              TimePoint now) const {
  return ReportForSeries({kTrainerKind, trainer}, now);
}

int64_t BurnMeter::BucketNumber(TimePoint now) {
  return now.time_since_epoch() / kBucket;
}

void BurnMeter::Add(const SeriesKey& name,
                    const OutcomeCounts& counts,
                    TimePoint now) {
  if (!series_.contains(name) && series_.size() >= kMaxSeries) {
    return;
  }
  const int64_t number = BucketNumber(now);
  Bucket& bucket = series_[name][static_cast<size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = {number, {}};
  }
  AddCounts(&bucket.counts, counts);
}

BurnMeter::Report BurnMeter::ReportForSeries(const SeriesKey& name,
                                             TimePoint now) const {
  Report report;
  report.points.resize(kBuckets / kBucketsPerPoint);
  const auto found = series_.find(name);
  if (found == series_.end()) {
    return report;
  }
  const int64_t newest = BucketNumber(now);
  for (const Bucket& bucket : found->second) {
    const int64_t age = newest - bucket.number;
    if (bucket.number < 0 || age < 0 || age >= int64_t{kBuckets}) {
      continue;
    }
    AddCounts(&report.long_window, bucket.counts);
    if (age < kShortWindow / kBucket) {
      AddCounts(&report.short_window, bucket.counts);
    }
    const size_t from_end = static_cast<size_t>(age) / kBucketsPerPoint;
    AddCounts(&report.points[report.points.size() - 1 - from_end],
              bucket.counts);
  }
  return report;
}

void BurnMeter::DropStaleInstances(TimePoint now) {
  std::erase_if(instances_, [now](const auto& instance) {
    return now - instance.second.heard_at > kLongWindow;
  });
}

}  // namespace limpethatch
