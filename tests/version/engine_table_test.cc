#include "limpethatch/version/engine_table.h"

#include "limpethatch/version/weight_rollout.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

const TimePoint kNow{std::chrono::seconds(100)};

void Announce(EngineTable& table, const std::string& id, uint64_t version) {
  wire::TargetRecord record;
  record.set_id(id);
  record.set_service("coach");
  record.set_address("127.0.0.1:1");
  record.set_slots(4);
  record.set_born_ms(1);
  wire::ModelWeights& weights = *record.add_weights();
  weights.set_model("model");
  weights.set_version(version);
  table.Announce(record);
}

uint64_t ServableVersion(EngineTable& table, const std::string& id) {
  return table.Find(id)->ServableVersion("model", kNow);
}

}  // namespace

// Guards against a spoiled answer: the engine was asked for that version from
// then on, and counted as one that has the newest.
Test(engine_table, a_version_that_was_never_put_into_force_is_not_believed) {
  EngineTable table;
  table.SetNewestVersions({{"model", 2}});
  Announce(table, "engine", 1);
  cr_assert_not(table.ConfirmVersion("engine", "model", 9));
  cr_assert_eq(ServableVersion(table, "engine"), 1);
  cr_assert(table.ConfirmVersion("engine", "model", 2));
  cr_assert_eq(ServableVersion(table, "engine"), 2);
}

// An engine that starts may have weights of which this process has not heard.
Test(engine_table, a_version_that_the_engine_announces_is_believed) {
  EngineTable table;
  table.SetNewestVersions({{"model", 2}});
  Announce(table, "engine", 3);
  cr_assert(table.ConfirmVersion("engine", "model", 3));
  cr_assert_eq(ServableVersion(table, "engine"), 3);
}

// Announcements come late, so that a newer version shows in answers first.
Test(engine_table, a_late_announcement_does_not_take_back_a_version) {
  EngineTable table;
  table.SetNewestVersions({{"model", 2}});
  Announce(table, "engine", 1);
  table.ConfirmVersion("engine", "model", 2);
  Announce(table, "engine", 1);
  cr_assert_eq(ServableVersion(table, "engine"), 2);
}

Test(engine_table, a_refused_version_is_not_believed_any_more) {
  EngineTable table;
  table.SetNewestVersions({{"model", 4}});
  Announce(table, "engine", 2);
  table.ConfirmVersion("engine", "model", 4);
  table.RefuteVersion("engine", "model", 3);  // Of an earlier request.
  cr_assert_eq(ServableVersion(table, "engine"), 4);
  table.RefuteVersion("engine", "model", 4);
  cr_assert_eq(ServableVersion(table, "engine"), 2);
}

// Guards against engines that never load a version which one of them was
// wrongly believed to have.
Test(engine_table, a_version_is_loaded_once_its_supposed_holder_refuses_it) {
  EngineTable table;
  WeightRollout rollout;
  table.SetNewestVersions({{"model", 4}});
  for (const char* id : {"engine0", "engine1"}) {
    Announce(table, id, 2);
  }
  table.ConfirmVersion("engine0", "model", 4);
  cr_assert(rollout.Plan({{"model", 4}}, table, kNow).empty());
  table.RefuteVersion("engine0", "model", 4);
  cr_assert_eq(rollout.Plan({{"model", 4}}, table, kNow).size(), 1);
}

}  // namespace limpethatch
