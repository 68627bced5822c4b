#include "limpethatch/version/weight_planner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Engines that take 1 s for a load. Some loads fail, and after some of them the
// engine reports the new version although it still runs the old one.
class FakeEngines {
 public:
  FakeEngines(size_t engines, uint32_t concurrent_loads)
      : concurrent_loads_(concurrent_loads) {
    planner_.Declare("pool", 1, concurrent_loads);
    for (size_t index = 0; index < engines; ++index) {
      engines_["engine-" + std::to_string(index)] = {};
    }
  }

  // Runs until every engine really has `version`, at most 300 s, and returns
  // the time that passed. Every `fail_every`-th load fails and every
  // `lie_every`-th is reported wrongly; 0 for none.
  Duration Swap(uint64_t version, uint32_t fail_every, uint32_t lie_every) {
    planner_.Declare("pool", version, concurrent_loads_);
    const auto start = now_;
    while (!AllOn(version) && now_ - start < seconds(300)) {
      Tick(fail_every, lie_every);
    }
    return now_ - start;
  }

  void Restart(const std::string& name, uint64_t version) {
    auto& engine = engines_.at(name);
    engine = {engine.incarnation + 1, version, version, 0, {}};
  }

  uint32_t most_loading() const { return most_loading_; }
  TimePoint now() const { return now_; }
  WeightPlanner& planner() { return planner_; }

 private:
  struct Engine {
    uint64_t incarnation = 1;
    uint64_t reported = 1;
    uint64_t real = 1;
    uint64_t loading = 0;
    TimePoint done;
  };

  bool AllOn(uint64_t version) const {
    return std::all_of(
        engines_.begin(), engines_.end(),
        [&](const auto& entry) { return entry.second.real == version; });
  }

  void Tick(uint32_t fail_every, uint32_t lie_every) {
    now_ += milliseconds(100);
    uint32_t loading = 0;
    for (auto& [name, engine] : engines_) {
      if (engine.loading != 0 && now_ >= engine.done) {
        ++loads_;
        const bool fails = fail_every > 0 && loads_ % fail_every == 0;
        const bool lies = lie_every > 0 && loads_ % lie_every == 0;
        engine.reported = fails ? engine.reported : engine.loading;
        engine.real = fails || lies ? engine.real : engine.loading;
        engine.loading = 0;
      }
      loading += engine.loading != 0 ? 1 : 0;
      planner_.Report(name, {"pool", engine.incarnation, engine.reported, 0},
                      now_);
      planner_.ObserveVersion(name, engine.real, now_, now_);
    }
    for (const auto& order : planner_.Plan(now_)) {
      auto& engine = engines_.at(order.engine);
      engine.loading = order.version;
      engine.done = now_ + seconds(1);
      ++loading;
    }
    most_loading_ = std::max(most_loading_, loading);
  }

  WeightPlanner planner_;
  uint32_t concurrent_loads_;
  std::map<std::string, Engine> engines_;
  TimePoint now_;
  uint32_t loads_ = 0;
  uint32_t most_loading_ = 0;
};

}  // namespace

Test(weight_planner, all_engines_load_in_time_when_a_tenth_of_loads_fail) {
  FakeEngines engines(890, 160);
  cr_assert(engines.Swap(2, 10, 0) <= seconds(13));
  cr_assert(engines.most_loading() <= 160);
}

Test(weight_planner, an_engine_whose_answers_contradict_its_report_reloads) {
  FakeEngines engines(9, 2);
  cr_assert(engines.Swap(2, 0, 4) < seconds(300));
}

Test(weight_planner, the_engines_of_a_pool_never_all_load_at_once) {
  for (const size_t count : {2, 3, 9}) {
    FakeEngines engines(count, 100);
    cr_assert(engines.Swap(2, 0, 0) < seconds(20));
    cr_assert(engines.most_loading() <= count / 2);
  }
}

Test(weight_planner, an_engine_restarted_with_old_weights_is_updated) {
  FakeEngines engines(9, 2);
  engines.Swap(2, 0, 0);
  engines.Restart("engine-4", 1);
  cr_assert(engines.Swap(2, 0, 0) <= seconds(2));
}

Test(weight_planner, a_declared_version_never_decreases) {
  WeightPlanner planner;
  planner.Declare("pool", 5, 1);
  planner.Declare("pool", 4, 1);
  planner.Report("engine", {"pool", 1, 4, 0}, TimePoint());
  const std::vector<LoadOrder> expected{{"engine", 5}};
  cr_assert(planner.Plan(TimePoint()) == expected);
}

Test(weight_planner, an_answer_older_than_the_report_is_ignored) {
  WeightPlanner planner;
  planner.Declare("pool", 5, 1);
  planner.Report("engine", {"pool", 1, 5, 0}, TimePoint(seconds(10)));
  planner.ObserveVersion("engine", 4, TimePoint(seconds(9)),
                         TimePoint(seconds(10)));
  cr_assert(planner.OutdatedEngines("pool").empty());
  planner.ObserveVersion("engine", 4, TimePoint(seconds(11)),
                         TimePoint(seconds(11)));
  cr_assert(planner.OutdatedEngines("pool").size() == 1);
}

Test(weight_planner, every_engine_ends_on_the_version_within_the_limits) {
  cr_assert(rc::check("under failed loads, false reports and restarts", [] {
    const auto count = *rc::gen::inRange<size_t>(1, 24);
    const auto width = *rc::gen::inRange<uint32_t>(1, 12);
    FakeEngines engines(count, width);
    uint64_t version = 1;
    for (const auto fail : *rc::gen::container<std::vector<uint32_t>>(
             rc::gen::inRange<uint32_t>(2, 6))) {
      engines.Restart("engine-" + std::to_string(fail % count), version);
      RC_ASSERT(engines.Swap(++version, fail, fail + 1) < seconds(300));
    }
    RC_ASSERT(engines.most_loading() <=
              std::min<size_t>(width, std::max<size_t>(count / 2, 1)));
  }));
}

}  // namespace limpethatch
