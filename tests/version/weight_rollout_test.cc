#include "limpethatch/version/weight_rollout.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLoadTime = milliseconds(900);

// Engines with several models. Loads take kLoadTime and are announced at once.
class FakeFleet {
 public:
  FakeFleet(int engines, int models) : engines_(engines), models_(models) {
    for (int i = 0; i < engines; ++i) {
      for (int m = 0; m < models; ++m) {
        versions_[{i, m}] = 1;
      }
      Announce(i);
    }
  }

  void Announce(int engine) {
    wire::TargetRecord record;
    record.set_id("engine" + std::to_string(engine));
    record.set_service("coach");
    record.set_address("127.0.0.1:1");
    record.set_slots(12);
    record.set_born_ms(1);
    for (int m = 0; m < models_; ++m) {
      wire::ModelWeights& weights = *record.add_weights();
      weights.set_model("model" + std::to_string(m));
      weights.set_version(versions_[{engine, m}]);
    }
    engine_table.Announce(record);
  }

  // Advances the clock by `time` while the engines perform their loads.
  void Run(Duration time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
      for (auto load = under_way_.begin(); load != under_way_.end();) {
        if (now < load->second) {
          ++load;
          continue;
        }
        const int engine = std::stoi(load->first.engine.substr(6));
        const int model = std::stoi(load->first.model.substr(5));
        versions_[{engine, model}] = load->first.version;
        load = under_way_.erase(load);
        Announce(engine);
      }
      FailRuns();
      for (const WeightLoad& load : rollout.Plan(newest, engine_table, now)) {
        if (unreachable.contains(load.engine)) {
          rollout.OnNotAccepted(load, engine_table, now);
          continue;
        }
        rollout.OnAccepted(load, engine_table, now);
        under_way_.emplace_back(load, now + kLoadTime);
        ++loads;
      }
      most_at_once = std::max(most_at_once, under_way_.size());
    }
  }

  int Usable(int model) const {
    int usable = 0;
    for (int i = 0; i < engines_; ++i) {
      usable += IsUsable(i, model) ? 1 : 0;
    }
    return usable;
  }

  bool IsUsable(int engine, int model) const {
    return versions_.at({engine, model}) + 1 >=
           newest.at("model" + std::to_string(model));
  }
  // Whether the engine has the newest version of the model.
  bool HasNewest(int engine, int model) const {
    return versions_.at({engine, model}) ==
           newest.at("model" + std::to_string(model));
  }

  EngineTable engine_table;
  WeightRollout rollout;
  // Engines that lose all orders and samples. They still announce themselves.
  std::set<std::string> unreachable;
  std::map<std::string, uint64_t> newest;
  TimePoint now{seconds(100)};
  int loads = 0;
  size_t most_at_once = 0;

 private:
  // Samples are tried at unreachable engines whenever their backoff allows.
  void FailRuns() {
    for (const std::string& id : unreachable) {
      if (engine_table.Find(id)->Usable(now)) {
        engine_table.RecordFailure(id, now);
      }
    }
  }

  const int engines_;
  const int models_;
  std::map<std::pair<int, int>, uint64_t> versions_;
  std::vector<std::pair<WeightLoad, TimePoint>> under_way_;
};

}  // namespace

// Three trainers on nine engines name a version every 4 s. The store supplies
// two engines at once, which allows eight complete loads of 0.9 s in 4 s. Of
// two successive versions, at most two loads of different models are missing.
Test(weight_rollout, three_models_always_keep_usable_engines) {
  FakeFleet fleet(9, 3);
  for (uint64_t version = 2; version <= 10; ++version) {
    for (int m = 0; m < 3; ++m) {
      fleet.newest["model" + std::to_string(m)] = version;
    }
    fleet.Run(seconds(4));
    for (int m = 0; m < 3; ++m) {
      cr_assert(fleet.Usable(m) >= 5, "model %d has %d at version %d", m,
                fleet.Usable(m), static_cast<int>(version));
    }
  }
  cr_assert(fleet.most_at_once <= 2);
  cr_assert(fleet.loads <= 9 * 9, "an equal share of loads for each version");
}

Test(weight_rollout, successive_versions_go_to_different_engines) {
  FakeFleet fleet(8, 1);
  for (uint64_t version = 2; version <= 6; ++version) {
    fleet.newest["model0"] = version;
    fleet.Run(seconds(4));
    cr_assert(fleet.Usable(0) == 8);
  }
  cr_assert(fleet.loads == 5 * 4);
}

Test(weight_rollout, a_superseded_version_is_not_loaded) {
  FakeFleet fleet(10, 1);
  fleet.newest["model0"] = 2;
  fleet.Run(milliseconds(100));
  fleet.newest["model0"] = 3;
  for (const WeightLoad& load :
       (fleet.now += kLoadTime,
        fleet.rollout.Plan(fleet.newest, fleet.engine_table, fleet.now))) {
    cr_assert(load.version == 3);
  }
}

Test(weight_rollout, after_a_lost_order_another_engine_is_chosen) {
  FakeFleet fleet(4, 1);
  fleet.newest["model0"] = 2;
  const auto first =
      fleet.rollout.Plan(fleet.newest, fleet.engine_table, fleet.now);
  cr_assert(first.size() == 1, "one in five, rounded up");
  fleet.rollout.OnNotAccepted(first[0], fleet.engine_table, fleet.now);
  const auto other =
      fleet.rollout.Plan(fleet.newest, fleet.engine_table, fleet.now);
  cr_assert(other.size() == 1 && other[0].engine != first[0].engine);
}

Test(weight_rollout, a_loading_engine_takes_no_new_samples_of_the_model) {
  FakeFleet fleet(4, 2);
  fleet.newest["model0"] = 2;
  const auto loads =
      fleet.rollout.Plan(fleet.newest, fleet.engine_table, fleet.now);
  const EngineState& engine = *fleet.engine_table.Find(loads[0].engine);
  cr_assert(engine.ServableVersion("model0", fleet.now) == 0);
  cr_assert(engine.ServableVersion("model1", fleet.now) == 1);
  cr_assert(engine.ServableVersion("model0", fleet.now + seconds(1)) == 2);
}

// Pattern: more models than an engine should have. All of them were loaded by
// the same engines, and the others had no usable version of any model.
Test(weight_rollout, models_are_spread_over_all_engines) {
  constexpr int kEngines = 24;
  constexpr int kModels = 8;
  FakeFleet fleet(kEngines, kModels);
  for (uint64_t version = 2; version <= 6; ++version) {
    for (int m = 0; m < kModels; ++m) {
      fleet.newest["model" + std::to_string(m)] = version;
    }
    fleet.Run(seconds(7));
  }
  for (int engine = 0; engine < kEngines; ++engine) {
    int usable = 0;
    for (int m = 0; m < kModels; ++m) {
      usable += fleet.IsUsable(engine, m) ? 1 : 0;
    }
    cr_assert(usable >= 1 && usable <= 3, "engine %d has %d models", engine,
              usable);
  }
}

// Pattern: a third of the engines is slow, and three models share them all.
// Engines were chosen whatever their pace, so that a third of each step ran on
// slow ones.
Test(weight_rollout, versions_go_to_fast_engines_while_there_are_enough) {
  constexpr int kEngines = 18;
  constexpr int kModels = 3;
  FakeFleet fleet(kEngines, kModels);
  for (int engine = 0; engine < kEngines; ++engine) {
    for (uint32_t i = 0; i < EngineTable::kMinObservedGaps; ++i) {
      fleet.engine_table.ObserveEventGap(
          "engine" + std::to_string(engine),
          milliseconds(engine % 3 == 0 ? 80 : 33));
    }
  }
  for (uint64_t version = 2; version <= 6; ++version) {
    for (int m = 0; m < kModels; ++m) {
      fleet.newest["model" + std::to_string(m)] = version;
    }
    fleet.Run(seconds(7));
    for (int m = 0; m < kModels; ++m) {
      int newest = 0;
      for (int engine = 0; engine < kEngines; ++engine) {
        newest += fleet.HasNewest(engine, m) ? 1 : 0;
        cr_assert(engine % 3 != 0 || !fleet.HasNewest(engine, m));
      }
      cr_assert_eq(newest, kEngines / kModels);
    }
  }
}

// A lost engine counted as holder of the newest version, so that no other one
// was ordered to load it and no sample could run.
Test(weight_rollout, a_lost_holder_of_the_newest_version_is_replaced) {
  FakeFleet fleet(3, 3);
  for (const char* model : {"model0", "model1", "model2"}) {
    fleet.newest[model] = 2;
  }
  fleet.Run(seconds(4));
  int holder = 0;
  while (!fleet.HasNewest(holder, 0)) {
    ++holder;
  }
  const std::string lost = "engine" + std::to_string(holder);
  fleet.unreachable.insert(lost);
  fleet.Run(EngineTable::kMinOutage + kLoadTime + milliseconds(200));
  int others = 0;
  for (int engine = 0; engine < 3; ++engine) {
    others += engine != holder && fleet.HasNewest(engine, 0) ? 1 : 0;
  }
  cr_assert(others == 1);
}

Test(weight_rollout, a_single_failure_does_not_replace_a_holder) {
  FakeFleet fleet(3, 3);
  for (const char* model : {"model0", "model1", "model2"}) {
    fleet.newest[model] = 2;
  }
  fleet.Run(seconds(4));
  const int loads = fleet.loads;
  for (int engine = 0; engine < 3; ++engine) {
    const std::string id = "engine" + std::to_string(engine);
    fleet.engine_table.RecordFailure(id, fleet.now);
    fleet.Run(EngineTable::kInitialBackoff);
    fleet.engine_table.RecordSuccess(id);
  }
  fleet.Run(seconds(4));
  cr_assert(fleet.loads == loads);
}

// No sample runs on an engine with old weights, so that only an order shows
// that it can be reached again.
Test(weight_rollout, an_engine_that_was_cut_off_loads_again) {
  FakeFleet fleet(4, 1);
  fleet.newest["model0"] = 2;
  fleet.Run(seconds(4));
  fleet.unreachable.insert("engine0");
  for (uint64_t version = 3; version <= 5; ++version) {
    fleet.newest["model0"] = version;
    fleet.Run(seconds(4));
  }
  cr_assert(fleet.Usable(0) == 3);
  fleet.unreachable.clear();
  fleet.Run(EngineTable::kMaxBackoff + kLoadTime + milliseconds(200));
  cr_assert(fleet.Usable(0) == 4);
}

// Pattern: all trainers name a version at the same moment. The time of a plan
// grew with the squares of engines and models; the limit is some hundred times
// what it takes now.
Test(weight_rollout,
     many_engines_and_models_are_planned_in_little_time,
     .timeout = 60) {
  constexpr int kEngines = 890;
  constexpr int kModels = 8;
  FakeFleet fleet(kEngines, kModels);
  for (int m = 0; m < kModels; ++m) {
    fleet.newest["model" + std::to_string(m)] = 2;
  }
  const std::vector<WeightLoad> loads =
      fleet.rollout.Plan(fleet.newest, fleet.engine_table, fleet.now);
  cr_assert(loads.size() == kEngines / 5);
}

}  // namespace limpethatch
