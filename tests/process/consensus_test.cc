#include "limpethatch/process/consensus.h"

#include <rapidcheck.h>

#include <chrono>
#include <vector>

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

// A world whose replicas have all taken up `commands` commands.
void Settle(ConsensusWorld& world, int commands = 3) {
  cr_assert(world.RunUntil(seconds(10), [&] { return world.Healed(); }));
  for (int i = 0; i < commands; ++i) {
    cr_assert(world.Propose());
  }
  cr_assert(world.RunUntil(seconds(10), [&] { return world.Healed(); }));
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
  Settle(world);
  world.Crash(0);
  world.Start(0);
  Settle(world);
  world.CheckNothingLost();
  cr_assert_eq(world.acknowledged().size(), 6);
}

Test(consensus, a_leader_that_is_cut_off_neither_acknowledges_nor_leads_on) {
  ConsensusWorld world(3, 2);
  Settle(world);
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
  Settle(world);
  cr_assert_str_empty(world.violation().c_str());
}

Test(consensus, an_instance_that_was_cut_off_does_not_disturb_the_leader) {
  ConsensusWorld world(3, 3);
  Settle(world);
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

Test(consensus, heartbeats_go_on_while_the_leaders_disk_is_slow) {
  ConsensusWorld world(3, 4);
  Settle(world);
  const size_t leader = *world.Leader();
  world.SlowDisk(leader, seconds(4));
  cr_assert(world.Propose());
  const size_t before = world.acknowledged().size();
  world.Run(seconds(3));
  cr_assert_eq(*world.Leader(), leader);
  cr_assert_eq(world.acknowledged().size(), before + 1);  // By the others.
}

Test(consensus, an_empty_disk_counts_only_after_it_has_caught_up) {
  ConsensusWorld world(3, 5);
  Settle(world);
  const size_t leader = *world.Leader();
  const size_t lost = (leader + 1) % 3;
  const size_t lagging = (leader + 2) % 3;
  world.Cut(lagging, true);
  cr_assert(world.Propose());  // Held by the leader and the one to be lost.
  world.Run(milliseconds(100));
  world.Crash(lost);
  world.LoseDisk(lost);
  world.Crash(leader);
  world.Cut(lagging, false);
  world.Start(lost);
  // The empty disk and the lagging one must not make a quorum.
  world.Run(seconds(20));
  cr_assert_not(world.Leader().has_value());
  world.Start(leader);
  Settle(world);
  world.CheckNothingLost();
  cr_assert_str_empty(world.violation().c_str());
}

// Seen on a day: gateways were sent an old configuration by a replica that had
// lost its disk and was learning everything again.
Test(consensus, a_replica_with_an_empty_disk_is_behind_until_it_has_all) {
  ConsensusWorld world(3, 21);
  cr_assert(world.RunUntil(seconds(5), [&] { return world.Healed(); }));
  const size_t lost = (*world.Leader() + 1) % 3;
  for (int i = 0; i < 50; ++i) {
    world.Propose();
    world.Run(milliseconds(20));
  }
  cr_assert(!world.at(lost).Behind());
  world.Crash(lost);
  world.LoseDisk(lost);
  world.Start(lost);
  cr_assert(world.at(lost).Behind(), "no leader was heard yet");
  cr_assert(world.RunUntil(seconds(5), [&] {
    const bool has_all =
        world.applied(lost).size() == world.applied(*world.Leader()).size();
    cr_assert(has_all || world.at(lost).Behind());
    return !world.at(lost).Behind();
  }));
}

// A read is answered from a state no older than what stood when it was asked,
// also by a leader whose clock stood still meanwhile.
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

Test(consensus, a_disk_that_has_caught_up_in_part_does_not_count) {
  for (int steps = 2; steps < 40; steps += 2) {
    ConsensusWorld world(3, 9);
    Settle(world);
    const size_t leader = *world.Leader();
    const size_t lost = (leader + 1) % 3;
    const size_t lagging = (leader + 2) % 3;
    world.Cut(lagging, true);
    for (int i = 0; i < 60; ++i) {
      world.Propose();
    }
    world.Run(milliseconds(200));
    world.Crash(lost);
    world.LoseDisk(lost);
    world.Start(lost);
    world.Run(milliseconds(5 * steps));
    world.Crash(leader);
    world.Cut(lagging, false);
    world.Run(seconds(10));
    cr_assert_not(world.Leader().has_value());
    world.Start(leader);
    Settle(world);
    world.CheckNothingLost();
    cr_assert_str_empty(world.violation().c_str());
  }
}

Test(consensus, a_repaired_disk_is_no_member_while_it_is_behind) {
  ConsensusWorld world(3, 10);
  Settle(world);
  const size_t leader = *world.Leader();
  const size_t lost = (leader + 1) % 3;
  world.Crash(lost);
  world.LoseDisk(lost);
  const auto counted = [&] {
    return world.at(leader).members().members(static_cast<int>(lost)).disk();
  };
  const uint64_t before = counted();
  world.SlowDisk(lost, seconds(1));
  world.Start(lost);
  cr_assert(world.RunUntil(seconds(9), [&] { return counted() != before; }));
  cr_assert_eq(counted(), 0);
  world.Run(milliseconds(500));
  cr_assert_eq(counted(), 0);
  world.SlowDisk(lost, {});
  Settle(world);
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
  Settle(world);
  // The two that joined carry the group on with one that founded it.
  for (size_t replica = 0; replica < 2; ++replica) {
    world.Crash((leader + 1 + replica) % 3);
  }
  cr_assert(world.Propose());
  world.Run(seconds(1));
  for (size_t replica = 0; replica < 3; ++replica) {
    world.Start(replica);
  }
  Settle(world);
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

Test(consensus, a_peer_that_follows_closely_needs_no_snapshot) {
  ConsensusWorld world(3, 12);
  Settle(world);
  const size_t leader = *world.Leader();
  for (int i = 0; i < 20; ++i) {
    world.Propose();
  }
  world.Run(milliseconds(10));
  world.Compact(leader);
  Settle(world);
  cr_assert_gt(world.at(leader).log().snapshot_index(), 0);
  for (size_t replica = 0; replica < 3; ++replica) {
    cr_assert(replica == leader ||
              world.at(replica).log().snapshot_index() == 0);
  }
}

Test(consensus, a_second_disk_lost_right_after_a_repair_loses_nothing) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConsensusWorld world(3, seed);
    Settle(world, 20);
    for (size_t replica = 0; replica < 3; ++replica) {
      world.Crash(replica);
      world.LoseDisk(replica);
      world.Start(replica);
      // The next goes in the very step in which this one counts again.
      cr_assert(world.RunUntil(seconds(20), [&] { return world.Healed(); }));
    }
    Settle(world);
    world.CheckNothingLost();
    cr_assert_str_empty(world.violation().c_str());
  }
}

Test(consensus, a_disk_restored_from_an_old_copy_takes_a_new_identity) {
  ConsensusWorld world(3, 6);
  Settle(world);
  const MemoryDisk copy = world.disk(0);
  world.Crash(0);
  world.Start(0);
  Settle(world);
  const uint64_t disk = world.at(0).disk();
  world.Crash(0);
  world.disk(0) = copy;
  world.Start(0);
  // Its term is old and its votes are forgotten: it must not take part.
  cr_assert_not(world.at(0).Votes());
  Settle(world);
  cr_assert_neq(world.at(0).disk(), disk);
  world.CheckNothingLost();
  cr_assert_str_empty(world.violation().c_str());
}

Test(consensus, all_restart_in_any_order_with_one_torn_tail) {
  for (uint64_t seed = 0; seed < 12; ++seed) {
    ConsensusWorld world(3, seed);
    Settle(world);
    world.SlowDisk(seed % 3, milliseconds(20));
    world.Propose();
    world.Run(milliseconds(10));
    for (size_t replica = 0; replica < 3; ++replica) {
      world.Crash(replica);
    }
    std::string& log = world.disk(seed % 3).bytes("log");
    log += std::string(seed * 3, '\x4c');  // The beginning of a frame.
    for (size_t i = 0; i < 3; ++i) {
      world.Start((i + seed / 3) % 3);
      world.Run(milliseconds(700));
    }
    Settle(world);
    world.CheckNothingLost();
    cr_assert_str_empty(world.violation().c_str());
  }
}

Test(consensus, a_full_disk_stops_acknowledging_and_mends_by_itself) {
  ConsensusWorld world(3, 7);
  Settle(world);
  const size_t leader = *world.Leader();
  for (size_t replica = 0; replica < 3; ++replica) {
    world.disk(replica).full = replica != leader;
  }
  const size_t before = world.acknowledged().size();
  world.Propose();
  world.Run(seconds(5));
  cr_assert_eq(world.acknowledged().size(), before);
  for (size_t replica = 0; replica < 3; ++replica) {
    world.disk(replica).full = false;
    world.Start(replica);
  }
  Settle(world);
  world.CheckNothingLost();
  cr_assert_str_empty(world.violation().c_str());
}

Test(consensus, a_planned_stop_hands_over_without_an_election_timeout) {
  ConsensusWorld world(3, 8);
  Settle(world);
  const size_t old = *world.Leader();
  world.at(old).HandOver(world.now(old));
  cr_assert(world.RunUntil(milliseconds(200), [&] {
    return world.Leader() && *world.Leader() != old;
  }));
}

}  // namespace limpethatch
