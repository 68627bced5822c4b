// When a request of a route is late: a quantile of the route's recent
// latencies, so that the delay follows the load and the kind of the requests.
#ifndef LIMPETHATCH_REQUEST_HEDGING_HEDGE_DELAY_H_
#define LIMPETHATCH_REQUEST_HEDGING_HEDGE_DELAY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Not thread-safe.
class HedgeDelay {
 public:
  // Later than this share of requests is late. A lower one asks for more hedges
  // than a limit of 2% grants; see docs/design/hedging.md.
  static constexpr double kQuantile = 0.98;
  static constexpr size_t kMaxSamples = 512;
  // Fewer recent samples do not determine the quantile.
  static constexpr size_t kMinSamples = 64;
  static constexpr Duration kMaxAge = std::chrono::seconds(30);

  struct Figures {
    Duration delay;
    Duration median;
  };

  // `latency` is that of a first attempt. For one that was cancelled because
  // its hedge was faster, it is the time until then; to omit these would lower
  // the delay with each hedge.
  void Add(Duration latency, TimePoint now);
  // nullopt while there are too few recent samples.
  std::optional<Figures> Get(TimePoint now);

 private:
  struct Sample {
    TimePoint at;
    Duration latency;
  };

  std::optional<Figures> Compute(TimePoint now) const;

  std::vector<Sample> samples_;  // A ring once it is full.
  size_t oldest_ = 0;
  // The figures are computed again after some new samples or some time, as each
  // computation sorts part of the samples.
  std::optional<Figures> figures_;
  size_t samples_since_ = kMaxSamples;
  TimePoint computed_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_HEDGING_HEDGE_DELAY_H_
