#include "limpethatch/process/member_planner.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

ReplicaView ReplicaOf(const std::string& id,
                      const std::string& zone,
                      bool is_member) {
  ReplicaView replica;
  replica.id = id;
  replica.endpoint = id + ":1";
  replica.zone = zone;
  replica.alive = true;
  replica.is_member = is_member;
  replica.is_voter = is_member;
  return replica;
}

std::vector<ReplicaView> Three() {
  return {ReplicaOf("a", "z1", true), ReplicaOf("b", "z2", true),
          ReplicaOf("c", "z3", true)};
}

}  // namespace

Test(member_planner, a_group_of_the_wanted_size_is_not_changed) {
  std::vector<ReplicaView> replicas = Three();
  cr_assert(!PlanMemberChange(replicas, 3));
  replicas.push_back(ReplicaOf("d", "z1", false));
  cr_assert(!PlanMemberChange(replicas, 3),
            "a spare instance must not be added");
}

Test(member_planner,
     an_unresponsive_voter_is_replaced_only_by_a_live_candidate) {
  std::vector<ReplicaView> replicas = Three();
  replicas[1].alive = false;
  replicas[1].unresponsive = true;
  cr_assert(!PlanMemberChange(replicas, 3));
  replicas.push_back(ReplicaOf("d", "z2", false));
  const auto added = PlanMemberChange(replicas, 3);
  cr_assert(added->kind == MemberChange::Kind::kAdd && added->id == "d");
  replicas[3].is_member = true;
  cr_assert(!PlanMemberChange(replicas, 3), "the new member does not vote yet");
  replicas[3].is_voter = true;
  const auto removed = PlanMemberChange(replicas, 3);
  cr_assert(removed->kind == MemberChange::Kind::kRemove && removed->id == "b");
}

Test(member_planner,
     a_retired_instance_is_removed_after_its_replacement_votes) {
  std::vector<ReplicaView> replicas = Three();
  replicas.push_back(ReplicaOf("d", "z1", false));
  replicas[0].retired = true;
  cr_assert(PlanMemberChange(replicas, 3)->id == "d");
  replicas[3].is_member = replicas[3].is_voter = true;
  cr_assert(PlanMemberChange(replicas, 3)->id == "a");
  replicas[0].is_member = replicas[0].is_voter = false;
  cr_assert(!PlanMemberChange(replicas, 3));
}

// A frozen voter may be replaced by the only spare instance, in another zone.
// After the frozen one has resumed, the loss of that zone would cost the
// quorum.
// A member of an earlier build would ignore commands and its state differ.
Test(member_planner, an_instance_that_does_not_know_all_commands_is_not_added) {
  std::vector<ReplicaView> replicas = Three();
  replicas[1].alive = false;
  replicas[1].unresponsive = true;
  replicas.push_back(ReplicaOf("d", "z2", false));
  replicas[3].applies_log = false;
  cr_assert(!PlanMemberChange(replicas, 3));
  replicas.push_back(ReplicaOf("e", "z2", false));
  cr_assert(PlanMemberChange(replicas, 3)->id == "e");
}

Test(member_planner, a_zone_with_two_voters_loses_one_to_a_zone_without) {
  std::vector<ReplicaView> replicas = {
      ReplicaOf("a", "z1", true), ReplicaOf("a2", "z1", true),
      ReplicaOf("b", "z2", false), ReplicaOf("c", "z3", true)};
  cr_assert(PlanMemberChange(replicas, 3)->id == "b");
  replicas[2].is_member = replicas[2].is_voter = true;
  const auto removed = PlanMemberChange(replicas, 3);
  cr_assert(removed->kind == MemberChange::Kind::kRemove);
  cr_assert(removed->id == "a" || removed->id == "a2");
}

Test(member_planner, voters_are_spread_over_zones) {
  std::vector<ReplicaView> replicas = Three();
  replicas.push_back(ReplicaOf("d", "z1", false));
  replicas.push_back(ReplicaOf("e", "z4", false));
  cr_assert(PlanMemberChange(replicas, 5)->id == "e");
  replicas[3].is_member = replicas[3].is_voter = true;
  replicas[4].is_member = replicas[4].is_voter = true;
  const auto removed = PlanMemberChange(replicas, 4);
  cr_assert(removed->id == "a" || removed->id == "d");
}

Test(member_planner, of_two_voters_of_a_zone_the_leader_stays) {
  std::vector<ReplicaView> replicas = Three();
  replicas.push_back(ReplicaOf("d", "z1", true));
  replicas[0].is_leader = true;
  cr_assert(PlanMemberChange(replicas, 3)->id == "d");
  replicas[0].is_leader = false;
  replicas[3].is_leader = true;
  cr_assert(PlanMemberChange(replicas, 3)->id == "a");
}

}  // namespace limpethatch
