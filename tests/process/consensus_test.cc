#include "limpethatch/process/consensus.h"

#include <rapidcheck.h>

#include <chrono>
#include <vector>

#include "process/commit_commands.h"
#include "process/consensus_world.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHealLimit = seconds(60);

// All processes run and reach each other again.
void Heal(ConsensusWorld& world) {
  for (size_t i = 0; i < world.size(); ++i) {
    world.Freeze(i, false);
    world.Cut(i, false);
    world.SlowDisk(i, {});
    world.Start(i);
  }
}

// One fault or event, chosen by `choice`.
void Disturb(ConsensusWorld& world, uint32_t choice) {
  // Every other event meets the leader, if there is one.
  const size_t replica = (choice >> 12) % 2 == 0 ? world.Leader().value_or(0)
                                                 : (choice >> 8) % world.size();
  switch (choice % 24) {
    case 0:
      world.Crash(replica);
      break;
    case 1:
    case 2:
      world.Start(replica);
      break;
    case 3:
      world.Cut(replica, true);
      break;
    case 4:
    case 5:
      world.Cut(replica, false);
      break;
    case 6:
      world.Freeze(replica, true);
      break;
    case 7:
      world.Freeze(replica, false);
      break;
    case 8:
      world.SlowDisk(replica, milliseconds((choice >> 16) % 700));
      break;
    case 9:
      world.SlowDisk(replica, {});
      break;
    case 10:
      world.Compact(replica);
      break;
    case 11:
      if (const auto leader = world.Leader()) {
        world.at(*leader).HandOver(world.now(*leader));
      }
      break;
    case 12:
      // One disk may be lost whenever all the others are whole.
      if (world.Healed()) {
        world.Crash(replica);
        world.LoseDisk(replica);
        world.Start(replica);
      }
      break;
    case 13:
    case 14:
    case 15:
      Heal(world);
      world.Run(seconds(3));
      break;
    default:
      for (uint32_t i = 0; i < (choice >> 16) % 8; ++i) {
        world.Propose();
      }
  }
}

void CheckRandomRun(size_t replicas) {
  const auto number = rc::gen::resize(rc::kNominalSize,
                                      rc::gen::inRange<uint32_t>(0, 1u << 31));
  const uint64_t seed = *number;
  const auto choices =
      *rc::gen::resize(120, rc::gen::container<std::vector<uint32_t>>(number));
  ConsensusWorld world(replicas, seed);
  world.Run(milliseconds(seed % 1500));
  world.faults = {.loss = static_cast<double>(seed % 4) * 0.08,
                  .duplicate = 0.1,
                  .max_delay = milliseconds(1 + seed % 120)};
  for (const uint32_t choice : choices) {
    Disturb(world, choice);
    world.Run(milliseconds((choice >> 20) % 1200));
    RC_ASSERT(world.violation() == "");
  }
  world.CheckLogsMatch();
  world.faults = {};
  Heal(world);
  RC_ASSERT(world.RunUntil(kHealLimit, [&] { return world.Healed(); }));
  RC_ASSERT(world.Propose());
  RC_ASSERT(world.RunUntil(kHealLimit, [&] { return world.Healed(); }));
  world.CheckLogsMatch();
  world.CheckNothingLost();
  RC_ASSERT(world.violation() == "");
}

}  // namespace

Test(consensus, keeps_its_promises_with_three_replicas_under_random_faults) {
  cr_assert(rc::check([] { CheckRandomRun(3); }));
}

Test(consensus, keeps_its_promises_with_five_replicas_under_random_faults) {
  cr_assert(rc::check([] { CheckRandomRun(5); }));
}

Test(consensus, one_replica_alone_founds_leads_and_restarts) {
  ConsensusWorld world(1, 1);
  CommitCommands(world);
  world.Crash(0);
  world.Start(0);
  CommitCommands(world);
  world.CheckNothingLost();
  cr_assert_eq(world.acknowledged().size(), 6);
}

Test(consensus, a_leader_that_is_cut_off_neither_acknowledges_nor_leads_on) {
  ConsensusWorld world(3, 2);
  CommitCommands(world);
  const size_t old = *world.Leader();
  world.Cut(old, true);
  const size_t acknowledged = world.acknowledged().size();
  cr_assert(world.Propose());  // Its lease still stands: taken, not answered.
  cr_assert(world.RunUntil(
      seconds(5), [&] { return world.Leader() && *world.Leader() != old; }));
  cr_assert_not(world.at(old).HoldsLease(world.now(old)));
  cr_assert_not(world.at(old).Propose("late", world.now(old)));
  world.Run(seconds(30));
  cr_assert_eq(world.acknowledged().size(), acknowledged);
  cr_assert_not(world.at(old).leading());
  world.Cut(old, false);
  CommitCommands(world);
  cr_assert_str_empty(world.violation().c_str());
}

Test(consensus, an_instance_that_was_cut_off_does_not_disturb_the_leader) {
  ConsensusWorld world(3, 3);
  CommitCommands(world);
  const size_t leader = *world.Leader();
  const uint64_t term = world.at(leader).term();
  const size_t other = (leader + 1) % 3;
  world.Cut(other, true);
  world.Run(seconds(20));
  world.Cut(other, false);
  world.Run(seconds(5));
  cr_assert_eq(world.at(leader).term(), term);
  cr_assert_eq(*world.Leader(), leader);
}

Test(consensus, a_leader_that_was_replaced_never_confirms_a_later_read) {
  ConsensusWorld world(3, 22);
  cr_assert(world.RunUntil(seconds(5), [&] { return world.Healed(); }));
  const size_t old = *world.Leader();
  const TimePoint asked = world.now(old);
  cr_assert(world.RunUntil(seconds(1), [&] {
    return world.at(old).LedSince(asked, world.now(old));
  }));
  world.Freeze(old, true);
  cr_assert(world.RunUntil(seconds(5), [&] {
    const auto leader = world.Leader();
    return leader && *leader != old;
  }));
  world.Freeze(old, false);
  const TimePoint later = world.now(old);
  for (int i = 0; i < 100; ++i) {
    cr_assert(!world.at(old).LedSince(later, world.now(old)));
    world.Run(milliseconds(10));
  }
}

Test(consensus, replicas_join_one_at_a_time_and_others_may_leave) {
  ConsensusWorld world(5, 11, 3);
  cr_assert(world.RunUntil(seconds(10), [&] { return world.Propose(); }));
  world.Run(seconds(1));
  const size_t leader = *world.Leader();
  Consensus& consensus = world.at(leader);
  cr_assert_not(
      consensus.AddReplica(world.id(3), "127.0.0.1:1", world.now(leader)));
  cr_assert(
      consensus.AddReplica(world.id(4), "127.0.0.1:2", world.now(leader)) ==
      ConsensusError::kChangePending);
  cr_assert(world.RunUntil(seconds(5), [&] { return world.at(3).Votes(); }));
  world.Run(milliseconds(200));
  cr_assert_not(
      consensus.AddReplica(world.id(4), "127.0.0.1:2", world.now(leader)));
  CommitCommands(world);
  // The two that joined carry the group on with one that founded it.
  for (size_t replica = 0; replica < 2; ++replica) {
    world.Crash((leader + 1 + replica) % 3);
  }
  cr_assert(world.Propose());
  world.Run(seconds(1));
  for (size_t replica = 0; replica < 3; ++replica) {
    world.Start(replica);
  }
  CommitCommands(world);
  const size_t gone = (*world.Leader() + 1) % 5;
  const size_t remover = *world.Leader();
  cr_assert_not(
      world.at(remover).RemoveReplica(world.id(gone), world.now(remover)));
  world.Run(seconds(1));
  world.Crash(gone);
  world.Run(seconds(1));
  cr_assert_eq(world.at(remover).members().members_size(), 4);
  cr_assert(world.Propose());
  world.CheckLogsMatch();
  cr_assert_str_empty(world.violation().c_str());
}

Test(consensus, a_planned_stop_hands_over_without_an_election_timeout) {
  ConsensusWorld world(3, 8);
  CommitCommands(world);
  const size_t old = *world.Leader();
  world.at(old).HandOver(world.now(old));
  cr_assert(world.RunUntil(milliseconds(200), [&] {
    return world.Leader() && *world.Leader() != old;
  }));
}

}  // namespace limpethatch
