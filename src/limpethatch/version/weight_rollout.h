// Which engine loads which weights when, over all models.
//
// Pattern answered: several trainers name a version each few seconds, faster
// than the store can serve all engines, and a step may still be made by the
// version before its own. So each version goes to an equal share of the
// engines, half of them at most: engines that hold nothing usable for the model
// come first, so that those of two successive versions are different ones and
// serve together, and the zones take turns, so that the loss of one leaves
// some; the model with the fewest engines that serve it goes first. Loads
// always fetch the newest version, and no more run at once than the store
// serves at full speed.
#ifndef LIMPETHATCH_VERSION_WEIGHT_ROLLOUT_H_
#define LIMPETHATCH_VERSION_WEIGHT_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/version/engine_table.h"

namespace limpethatch {

struct WeightRolloutOptions {
  // Engines that may load at once, as a share of a service's engines; rounded
  // up. The deployments' stores serve one in five at full speed.
  double load_share = 0.2;
  // Versions behind the newest that the next step still takes.
  uint64_t usable_lag = 1;
  // Largest share of the engines that is brought to each version.
  double max_newest_share = 0.5;
  // Until a load is settled by an announcement; then it is ordered again.
  Duration load_timeout = std::chrono::seconds(4);
  // What a load is expected to take before the first one was seen.
  Duration expected_load_time = std::chrono::milliseconds(950);
  // Before an engine that refused or lost an order gets another one.
  Duration retry_delay = std::chrono::milliseconds(400);
};

struct WeightLoad {
  std::string engine;
  std::string model;
  uint64_t version = 0;
};

class WeightRollout {
 public:
  explicit WeightRollout(WeightRolloutOptions options = {})
      : options_(options) {}

  // The loads to order now. They count as under way from here on, and their
  // engines take no new samples of the model until they are expected to end.
  std::vector<WeightLoad> Plan(const std::map<std::string, uint64_t>& newest,
                               EngineTable& engine_table,
                               TimePoint now);
  // The engine took the order, or had the version already.
  void OnAccepted(const WeightLoad& load,
                  EngineTable& engine_table,
                  TimePoint now);
  // The engine did not take it, or it is unknown whether it did.
  void OnNotAccepted(const WeightLoad& load,
                     EngineTable& engine_table,
                     TimePoint now);
  void Reset() { retry_at_.clear(); }

 private:
  struct LoadCandidate {
    bool stale = false;  // The engine can't serve the model as it is.
    size_t in_zone = 0;  // Engines of its zone that have the newest version.
    uint32_t running = 0;
    EngineState* engine = nullptr;
    std::string model;
    uint64_t version = 0;
    size_t usable = 0;  // Engines that serve the model, or will soon.
  };

  // The engine that the model is best loaded on next, if any.
  std::optional<LoadCandidate> FindBestLoad(const std::string& model,
                                            uint64_t newest,
                                            size_t models,
                                            EngineTable& engine_table,
                                            TimePoint now) const;
  bool MayLoad(const EngineState& engine,
               const EngineTable& engine_table,
               TimePoint now) const;
  void ExpireLoads(EngineTable& engine_table, TimePoint now);

  const WeightRolloutOptions options_;
  std::map<std::string, TimePoint, std::less<>> retry_at_;  // By engine.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_WEIGHT_ROLLOUT_H_
