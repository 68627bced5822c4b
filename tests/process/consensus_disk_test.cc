// What a replica's disk forgets, keeps and takes in again.
#include <chrono>
#include <string>

#include "limpethatch/process/consensus.h"
#include "process/commit_commands.h"
#include "process/consensus_world.h"

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(consensus_disk, heartbeats_go_on_while_the_leaders_disk_is_slow) {
  ConsensusWorld world(3, 4);
  CommitCommands(world);
  const size_t leader = *world.Leader();
  world.SlowDisk(leader, seconds(4));
  cr_assert(world.Propose());
  const size_t before = world.acknowledged().size();
  world.Run(seconds(3));
  cr_assert_eq(*world.Leader(), leader);
  cr_assert_eq(world.acknowledged().size(), before + 1);  // By the others.
}

Test(consensus_disk, an_empty_disk_counts_only_after_it_has_caught_up) {
  ConsensusWorld world(3, 5);
  CommitCommands(world);
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
  CommitCommands(world);
  world.CheckNothingLost();
  cr_assert_str_empty(world.violation().c_str());
}

// Seen on a day: gateways were sent an old configuration by a replica that had
// lost its disk and was learning everything again.
Test(consensus_disk, a_replica_with_an_empty_disk_is_behind_until_it_has_all) {
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
Test(consensus_disk, a_disk_that_has_caught_up_in_part_does_not_count) {
  for (int steps = 2; steps < 40; steps += 2) {
    ConsensusWorld world(3, 9);
    CommitCommands(world);
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
    CommitCommands(world);
    world.CheckNothingLost();
    cr_assert_str_empty(world.violation().c_str());
  }
}

Test(consensus_disk, a_repaired_disk_is_no_member_while_it_is_behind) {
  ConsensusWorld world(3, 10);
  CommitCommands(world);
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
  CommitCommands(world);
}

Test(consensus_disk, a_peer_that_follows_closely_needs_no_snapshot) {
  ConsensusWorld world(3, 12);
  CommitCommands(world);
  const size_t leader = *world.Leader();
  for (int i = 0; i < 20; ++i) {
    world.Propose();
  }
  world.Run(milliseconds(10));
  world.Compact(leader);
  CommitCommands(world);
  cr_assert_gt(world.at(leader).log().snapshot_index(), 0);
  for (size_t replica = 0; replica < 3; ++replica) {
    cr_assert(replica == leader ||
              world.at(replica).log().snapshot_index() == 0);
  }
}

Test(consensus_disk, a_second_disk_lost_right_after_a_repair_loses_nothing) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConsensusWorld world(3, seed);
    CommitCommands(world, 20);
    for (size_t replica = 0; replica < 3; ++replica) {
      world.Crash(replica);
      world.LoseDisk(replica);
      world.Start(replica);
      // The next goes in the very step in which this one counts again.
      cr_assert(world.RunUntil(seconds(20), [&] { return world.Healed(); }));
    }
    CommitCommands(world);
    world.CheckNothingLost();
    cr_assert_str_empty(world.violation().c_str());
  }
}

Test(consensus_disk, a_disk_restored_from_an_old_copy_takes_a_new_identity) {
  ConsensusWorld world(3, 6);
  CommitCommands(world);
  const MemoryDisk copy = world.disk(0);
  world.Crash(0);
  world.Start(0);
  CommitCommands(world);
  const uint64_t disk = world.at(0).disk();
  world.Crash(0);
  world.disk(0) = copy;
  world.Start(0);
  // Its term is old and its votes are forgotten: it must not take part.
  cr_assert_not(world.at(0).Votes());
  CommitCommands(world);
  cr_assert_neq(world.at(0).disk(), disk);
  world.CheckNothingLost();
  cr_assert_str_empty(world.violation().c_str());
}

Test(consensus_disk, all_restart_in_any_order_with_one_torn_tail) {
  for (uint64_t seed = 0; seed < 12; ++seed) {
    ConsensusWorld world(3, seed);
    CommitCommands(world);
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
    CommitCommands(world);
    world.CheckNothingLost();
    cr_assert_str_empty(world.violation().c_str());
  }
}

Test(consensus_disk, a_full_disk_stops_acknowledging_and_mends_by_itself) {
  ConsensusWorld world(3, 7);
  CommitCommands(world);
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
  CommitCommands(world);
  world.CheckNothingLost();
  cr_assert_str_empty(world.violation().c_str());
}

}  // namespace limpethatch
