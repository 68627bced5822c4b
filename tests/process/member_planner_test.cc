#include "limpethatch/process/member_planner.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

KnownReplica ReplicaOf(const std::string& id,
                       const std::string& zone,
                       bool member) {
  KnownReplica replica;
  replica.id = id;
  replica.endpoint = id + ":1";
  replica.zone = zone;
  replica.alive = true;
  replica.member = member;
  replica.votes = member;
  return replica;
}

std::vector<KnownReplica> Three() {
  return {ReplicaOf("a", "z1", true), ReplicaOf("b", "z2", true),
          ReplicaOf("c", "z3", true)};
}

}  // namespace

Test(member_planner, a_group_of_the_wanted_size_is_left_alone) {
  std::vector<KnownReplica> replicas = Three();
  cr_assert(!PlanMembers(replicas, 3));
  replicas.push_back(ReplicaOf("d", "z1", false));
  cr_assert(!PlanMembers(replicas, 3), "a spare instance waits");
}

Test(member_planner, a_silent_voter_is_replaced_only_if_another_can_be_had) {
  std::vector<KnownReplica> replicas = Three();
  replicas[1].alive = false;
  replicas[1].silent = true;
  cr_assert(!PlanMembers(replicas, 3));
  replicas.push_back(ReplicaOf("d", "z2", false));
  const auto added = PlanMembers(replicas, 3);
  cr_assert(added->kind == MemberChange::Kind::kAdd && added->id == "d");
  replicas[3].member = true;
  cr_assert(!PlanMembers(replicas, 3), "the new one does not vote yet");
  replicas[3].votes = true;
  const auto removed = PlanMembers(replicas, 3);
  cr_assert(removed->kind == MemberChange::Kind::kRemove && removed->id == "b");
}

Test(member_planner,
     an_instance_to_be_emptied_leaves_after_its_successor_votes) {
  std::vector<KnownReplica> replicas = Three();
  replicas.push_back(ReplicaOf("d", "z1", false));
  replicas[0].retired = true;
  cr_assert(PlanMembers(replicas, 3)->id == "d");
  replicas[3].member = replicas[3].votes = true;
  cr_assert(PlanMembers(replicas, 3)->id == "a");
  replicas[0].member = replicas[0].votes = false;
  cr_assert(!PlanMembers(replicas, 3));
}

// Seen on a day: a frozen voter was replaced by the only spare instance, of
// another zone, and that zone was cut off after the frozen one had come back.
Test(member_planner, a_zone_with_two_voters_gives_one_up_for_a_zone_without) {
  std::vector<KnownReplica> replicas = {
      ReplicaOf("a", "z1", true), ReplicaOf("a2", "z1", true),
      ReplicaOf("b", "z2", false), ReplicaOf("c", "z3", true)};
  cr_assert(PlanMembers(replicas, 3)->id == "b");
  replicas[2].member = replicas[2].votes = true;
  const auto removed = PlanMembers(replicas, 3);
  cr_assert(removed->kind == MemberChange::Kind::kRemove);
  cr_assert(removed->id == "a" || removed->id == "a2");
}

Test(member_planner, voters_are_spread_over_zones) {
  std::vector<KnownReplica> replicas = Three();
  replicas.push_back(ReplicaOf("d", "z1", false));
  replicas.push_back(ReplicaOf("e", "z4", false));
  cr_assert(PlanMembers(replicas, 5)->id == "e");
  replicas[3].member = replicas[3].votes = true;
  replicas[4].member = replicas[4].votes = true;
  const auto removed = PlanMembers(replicas, 4);
  cr_assert(removed->id == "a" || removed->id == "d");
}

Test(member_planner, of_two_voters_of_a_zone_the_leader_stays) {
  std::vector<KnownReplica> replicas = Three();
  replicas.push_back(ReplicaOf("d", "z1", true));
  replicas[0].leads = true;
  cr_assert(PlanMembers(replicas, 3)->id == "d");
  replicas[0].leads = false;
  replicas[3].leads = true;
  cr_assert(PlanMembers(replicas, 3)->id == "a");
}

}  // namespace limpethatch
