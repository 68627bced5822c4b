// Which engine loads which weights when: in waves, so that the engines of a
// pool never all stop at once and the store's limit holds.
//
// A pure state machine: events come in with the time, orders come out of
// Plan(). What an engine reports is not believed against its answers.
#ifndef LIMPETHATCH_VERSION_WEIGHT_PLANNER_H_
#define LIMPETHATCH_VERSION_WEIGHT_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct WeightPlannerOptions {
  // Loads that the store serves at once, over all pools.
  uint32_t store_loads = 160;
  // A load not settled by then has failed; once load times are known, by
  // kTimeoutFactor times their mean already.
  Duration load_timeout = std::chrono::seconds(10);
  // Before a failed load is tried again: doubled each time up to the limit.
  Duration min_retry_delay = std::chrono::milliseconds(250);
  Duration max_retry_delay = std::chrono::seconds(4);
};

struct EngineReport {
  std::string pool;
  uint64_t incarnation = 0;  // Grows when the engine restarts.
  uint64_t version = 0;      // Weights that it says it has.
  double live_load = 0;      // Share of its slots that live requests take.
};

struct LoadOrder {
  std::string engine;
  uint64_t version = 0;

  bool operator==(const LoadOrder&) const = default;
};

class WeightPlanner {
 public:
  static constexpr int kTimeoutFactor = 2;
  // An engine that failed more often waits until the others are done.
  static constexpr uint32_t kDeprioritisingFailures = 3;
  explicit WeightPlanner(WeightPlannerOptions options = {});

  // The version a pool shall run, which never goes back, and how many of its
  // engines may load at once; of several engines half at most ever do.
  void Declare(const std::string& pool,
               uint64_t version,
               uint32_t concurrent_loads);

  void Report(const std::string& engine,
              const EngineReport& report,
              TimePoint now);
  // An answer stated `version` for tokens made at `made`.
  void ObserveVersion(const std::string& engine,
                      uint64_t version,
                      TimePoint made,
                      TimePoint now);
  // The engine refused the load or said that it failed.
  void LoadFailed(const std::string& engine, TimePoint now);
  void Remove(const std::string& engine);

  // The loads to order now.
  std::vector<LoadOrder> Plan(TimePoint now);

  // Engines of the pool that are not known to be on its version.
  std::vector<std::string> OutdatedEngines(const std::string& pool) const;
  uint32_t CountLoading(const std::string& pool) const;

 private:
  struct Pool {
    uint64_t version = 0;
    uint32_t concurrent_loads = 1;
  };
  struct Engine {
    EngineReport report;
    TimePoint reported_since;  // Since when it has reported this version.
    bool contradicted = false;
    uint64_t loading = 0;  // Version ordered and not yet reported; 0: none.
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
                uint32_t& store_left,
                std::vector<LoadOrder>& orders);

  WeightPlannerOptions options_;
  Duration mean_load_{};  // Of loads that succeeded; 0: none has.
  std::map<std::string, Pool> pools_;
  std::map<std::string, Engine> engines_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_WEIGHT_PLANNER_H_
