// What a run of the hedging model simulates and measures.
#ifndef LIMPETHATCH_TESTS_REQUEST_HEDGING_SCENARIO_H_
#define LIMPETHATCH_TESTS_REQUEST_HEDGING_SCENARIO_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace limpethatch {

enum class HedgingPolicy { kNone, kFixedDelay, kQuantile, kTied };

struct HedgingScenario {
  HedgingPolicy policy = HedgingPolicy::kNone;
  size_t gateways = 4;
  // Times that work takes at each target, relative to a usual one.
  std::vector<double> slowness{1, 1, 1};
  // Each target is 2.5 times as slow for 600 ms at a time, 15% of the time.
  bool neighbours = false;
  double load = 0.3;  // Of the capacity.
  double extra_work = 0.02;
  bool repeatable = true;
  double seconds = 30;
  uint64_t seed = 1;
};

struct HedgingFigures {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t asked = 0;
  uint64_t hedges = 0;
  uint64_t hedges_won = 0;
  // Slot time of the first run of each request and of all further ones, each to
  // its end: targets do not notice that a connection was closed while they
  // work.
  double first_work_s = 0;
  double extra_work_s = 0;
  // Time at targets as gateways measure it, which the budget limits.
  double first_time_s = 0;
  double hedge_time_s = 0;
  std::vector<double> latencies_s;  // Sorted; the deadline if unanswered.

  double Quantile(double quantile) const {
    const auto rank =
        static_cast<size_t>(quantile * static_cast<double>(latencies_s.size()));
    return latencies_s[std::min(rank, latencies_s.size() - 1)];
  }
  double extra_work() const { return extra_work_s / first_work_s; }
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_REQUEST_HEDGING_SCENARIO_H_
