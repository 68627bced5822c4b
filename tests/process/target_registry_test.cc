#include "limpethatch/process/target_registry.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::seconds;

wire::TargetRecord MakeRecord(const std::string& id,
                              uint64_t born,
                              uint64_t sequence,
                              const std::string& address = "10.0.0.1:80") {
  wire::TargetRecord record;
  record.set_id(id);
  record.set_service("desk");
  record.set_address(address);
  record.set_slots(6);
  record.set_born_ms(born);
  record.set_sequence(sequence);
  return record;
}

const TimePoint kNow{seconds(100)};

}  // namespace

Test(target_registry, an_announcement_that_comes_late_changes_nothing) {
  TargetRegistry registry;
  wire::TargetRecord draining = MakeRecord("a", 1, 5);
  draining.set_draining(true);
  cr_assert(registry.Merge(draining, kNow) == TargetChange::kChanged);
  cr_assert(registry.Merge(MakeRecord("a", 1, 4), kNow) ==
            TargetChange::kStale);
  cr_assert(registry.entries().at("a").record.draining());
}

Test(target_registry, draining_is_final_within_an_incarnation) {
  TargetRegistry registry;
  wire::TargetRecord draining = MakeRecord("a", 1, 5);
  draining.set_draining(true);
  registry.Merge(draining, kNow);
  registry.Merge(MakeRecord("a", 1, 6), kNow);
  cr_assert(registry.entries().at("a").record.draining());
  registry.Merge(MakeRecord("a", 2, 0), kNow);
  cr_assert(!registry.entries().at("a").record.draining());
}

// Guards against losing what a target said in an answer: other control
// instances hear of it with the announcement that they have already.
Test(target_registry, a_target_that_drains_by_its_answers_stays_so) {
  TargetRegistry registry;
  TargetRegistry peer;
  for (TargetRegistry* each : {&registry, &peer}) {
    each->Merge(MakeRecord("a", 1, 5), kNow);
  }
  cr_assert(registry.MarkDraining("a", 2) == TargetChange::kStale);
  cr_assert(registry.MarkDraining("a", 1) == TargetChange::kChanged);
  cr_assert(registry.MarkDraining("a", 1) == TargetChange::kStale);
  cr_assert(peer.Merge(registry.entries().at("a").record, kNow) ==
            TargetChange::kChanged);
  for (TargetRegistry* each : {&registry, &peer}) {
    each->Merge(MakeRecord("a", 1, 6), kNow);
    cr_assert(each->entries().at("a").record.draining());
    each->Merge(MakeRecord("a", 2, 1), kNow);
    cr_assert(!each->entries().at("a").record.draining());
  }
}

Test(target_registry, a_restart_under_the_same_id_restarts_its_sequence) {
  TargetRegistry registry;
  registry.Merge(MakeRecord("a", 1, 900), kNow);
  cr_assert(registry.Merge(MakeRecord("a", 2, 0), kNow) ==
            TargetChange::kChanged);
  cr_assert(registry.Merge(MakeRecord("a", 1, 901), kNow) ==
            TargetChange::kStale);
}

Test(target_registry, the_later_incarnation_at_an_address_wins) {
  TargetRegistry registry;
  registry.Merge(MakeRecord("old", 1, 1), kNow);
  registry.Merge(MakeRecord("new", 2, 1), kNow);
  cr_assert(registry.entries().at("old").record.gone());
  cr_assert(!registry.entries().at("new").record.gone());
  cr_assert(registry.Merge(MakeRecord("ghost", 1, 7), kNow) ==
            TargetChange::kChanged);
  cr_assert(registry.entries().at("ghost").record.gone());
  cr_assert(!registry.entries().at("new").record.gone());
}

Test(target_registry, a_target_that_left_returns_only_with_a_new_incarnation) {
  TargetRegistry registry;
  registry.Merge(MakeRecord("a", 5, 3), kNow);
  cr_assert(registry.Leave("a", std::nullopt, kNow) == TargetChange::kChanged);
  cr_assert(registry.Merge(MakeRecord("a", 5, 4), kNow) ==
            TargetChange::kStale);
  cr_assert(registry.Leave("a", 4, kNow) == TargetChange::kStale);
  cr_assert(registry.Merge(MakeRecord("a", 6, 0), kNow) ==
            TargetChange::kChanged);
}

Test(target_registry, a_silent_target_is_removed_only_after_its_timeout) {
  TargetRegistry registry;
  registry.Merge(MakeRecord("a", 1, 1), kNow);
  registry.Expire(kNow + seconds(30));
  cr_assert(!registry.entries().at("a").record.gone());
  registry.Expire(kNow + seconds(61));
  cr_assert(registry.entries().at("a").record.gone());
  registry.Expire(kNow + seconds(300));
  cr_assert(registry.entries().empty());
}

Test(target_registry,
     changes_since_a_revision_bring_another_registry_up_to_date) {
  TargetRegistry registry;
  registry.Merge(MakeRecord("a", 1, 1, "10.0.0.1:80"), kNow);
  const uint64_t seen = registry.revision();
  registry.Merge(MakeRecord("b", 1, 1, "10.0.0.2:80"), kNow);
  registry.Merge(MakeRecord("a", 1, 2, "10.0.0.1:80"), kNow);
  const auto changed = registry.ChangedSince(seen, kNow + seconds(2));
  cr_assert(changed.size() == 1 && changed[0].id() == "b");
  cr_assert(changed[0].age_ms() == 2000);
}

// The result must not depend on the order in which announcements arrive.
Test(target_registry, the_order_of_arrival_does_not_matter) {
  cr_assert(rc::check("order does not matter", [] {
    auto records =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
            rc::gen::pair(rc::gen::arbitrary<uint8_t>(),
                          rc::gen::arbitrary<uint8_t>()));
    const auto run = [](const auto& order) {
      TargetRegistry registry;
      for (const auto& [incarnation, sequence] : order) {
        registry.Merge(MakeRecord("a", incarnation % 4, sequence), kNow);
      }
      return order.empty()
                 ? std::string()
                 : registry.entries().at("a").record.SerializeAsString();
    };
    const std::string forward = run(records);
    std::reverse(records.begin(), records.end());
    RC_ASSERT(run(records) == forward);
  }));
}

}  // namespace limpethatch
