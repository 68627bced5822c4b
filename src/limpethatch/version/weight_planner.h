// Plans which engine loads which weights when. Loads are limited, so that never
// all engines of a pool stop at once and the weights store is not overloaded.
//
// A pure state machine: the caller reports events with their time, and Plan()
// returns the loads to order. The version stated in an engine's answers takes
// precedence over the version that the engine reports.
#ifndef LIMPETHATCH_VERSION_WEIGHT_PLANNER_H_
#define LIMPETHATCH_VERSION_WEIGHT_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct WeightPlannerOptions {
  // Concurrent loads that the store supports, over all pools.
  uint32_t store_loads = 160;
  // Time after which an unfinished load has failed; once load times are known,
  // at most kTimeoutFactor times their mean.
  Duration load_timeout = std::chrono::seconds(10);
  // Delay before a failed load is retried; doubled with each failure up to the
  // maximum.
  Duration min_retry_delay = std::chrono::milliseconds(250);
  Duration max_retry_delay = std::chrono::seconds(4);
};

struct EngineReport {
  std::string pool;
  uint64_t incarnation = 0;  // Increases when the engine restarts.
  uint64_t version = 0;      // Weights that it reports.
  double live_load = 0;      // Share of its slots that serve live requests.
};

struct LoadOrder {
  std::string engine;
  uint64_t version = 0;

  bool operator==(const LoadOrder&) const = default;
};

class WeightPlanner {
 public:
  static constexpr int kTimeoutFactor = 2;
  // Engines with more consecutive failures are ordered after all others.
  static constexpr uint32_t kDeprioritisingFailures = 3;
  explicit WeightPlanner(WeightPlannerOptions options = {});

  // Sets the version that a pool should run, which never decreases, and how
  // many of its engines may load at once. If the pool has several engines, at
  // most half of them load at once.
  void Declare(const std::string& pool,
               uint64_t version,
               uint32_t concurrent_loads);

  void Report(const std::string& engine,
              const EngineReport& report,
              TimePoint now);
  // An answer stated `version` for tokens generated at `generated_at`.
  void ObserveVersion(const std::string& engine,
                      uint64_t version,
                      TimePoint generated_at,
                      TimePoint now);
  // The engine refused the load or reported that it failed.
  void LoadFailed(const std::string& engine, TimePoint now);
  void Remove(const std::string& engine);

  // Returns the loads to order now and counts them as in progress.
  std::vector<LoadOrder> Plan(TimePoint now);

  // Engines of the pool that are not known to run its declared version.
  std::vector<std::string> OutdatedEngines(const std::string& pool) const;
  uint32_t CountLoading(const std::string& pool) const;

 private:
  struct Pool {
    uint64_t version = 0;
    uint32_t concurrent_loads = 1;
  };
  struct Engine {
    EngineReport report;
    TimePoint reported_since;   // When it first reported this version.
    bool contradicted = false;  // An answer stated another version.
    uint64_t loading = 0;       // Version ordered, not confirmed yet; 0: none.
    TimePoint ordered_at;
    uint32_t failures = 0;
    TimePoint retry_at;
  };

  bool IsOutdated(const Engine& engine) const;
  void FailLoad(Engine& engine, TimePoint now);
  void CompleteLoad(Engine& engine, TimePoint now);
  void ExpireLoads(TimePoint now);
  uint32_t MaxLoads(const std::string& pool) const;
  void PlanPool(const std::string& pool,
                TimePoint now,
                uint32_t& available_loads,
                std::vector<LoadOrder>& orders);

  WeightPlannerOptions options_;
  Duration mean_load_{};  // Of successful loads; 0: there was none.
  std::map<std::string, Pool> pools_;
  std::map<std::string, Engine> engines_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_WEIGHT_PLANNER_H_
