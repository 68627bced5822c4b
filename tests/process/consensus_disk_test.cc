// Behaviour of a replica whose disk is slow, full, lost, damaged or restored.
#include <chrono>
#include <random>
#include <string>
#include <variant>

#include "limpethatch/process/consensus.h"
#include "process/commit_commands.h"
#include "process/consensus_simulation.h"

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(consensus_disk, heartbeats_go_on_while_the_leaders_disk_is_slow) {
  ConsensusSimulation simulation(3, 4);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  simulation.SetSyncDelay(leader, seconds(4));
  cr_assert(simulation.Propose());
  const size_t before = simulation.acknowledged().size();
  simulation.Run(seconds(3));
  cr_assert_eq(*simulation.Leader(), leader);
  // The two followers committed the command.
  cr_assert_eq(simulation.acknowledged().size(), before + 1);
}

Test(consensus_disk, an_empty_disk_votes_only_after_it_has_caught_up) {
  ConsensusSimulation simulation(3, 5);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  const size_t lost = (leader + 1) % 3;
  const size_t lagging = (leader + 2) % 3;
  simulation.SetIsolated(lagging, true);
  cr_assert(simulation.Propose());  // Stored only by `leader` and `lost`.
  simulation.Run(milliseconds(100));
  simulation.Crash(lost);
  simulation.EraseDisk(lost);
  simulation.Crash(leader);
  simulation.SetIsolated(lagging, false);
  simulation.Start(lost);
  // The empty disk and the lagging one must not form a quorum.
  simulation.Run(seconds(20));
  cr_assert_not(simulation.Leader().has_value());
  simulation.Start(leader);
  CommitCommands(simulation);
  simulation.CheckNothingLost();
  cr_assert_str_empty(simulation.violation().c_str());
}

// Guards against a replica that serves an old configuration to gateways while
// it catches up after the loss of its disk.
Test(consensus_disk,
     a_replica_with_an_empty_disk_confirms_no_state_until_it_catches_up) {
  ConsensusSimulation simulation(3, 21);
  cr_assert(simulation.RunUntil(seconds(5),
                                [&] { return simulation.HasRecovered(); }));
  const size_t lost = (*simulation.Leader() + 1) % 3;
  const auto confirms_state = [&] {
    return simulation.at(lost)
        .StateConfirmedAt(simulation.now(lost))
        .has_value();
  };
  for (int i = 0; i < 50; ++i) {
    simulation.Propose();
    simulation.Run(milliseconds(20));
  }
  cr_assert(confirms_state());
  simulation.Crash(lost);
  simulation.EraseDisk(lost);
  simulation.Start(lost);
  cr_assert_not(confirms_state(), "no leader has been heard from yet");
  cr_assert(simulation.RunUntil(seconds(5), [&] {
    const bool has_all = simulation.applied(lost).size() ==
                         simulation.applied(*simulation.Leader()).size();
    cr_assert(has_all || !confirms_state());
    return confirms_state();
  }));
}

// Crashes the leader while a replica with an empty disk is still catching up:
// that replica and the lagging one must not form a quorum, or entries are lost.
Test(consensus_disk, a_partly_caught_up_disk_does_not_vote) {
  for (int steps = 2; steps < 40; steps += 2) {
    ConsensusSimulation simulation(3, 9);
    CommitCommands(simulation);
    const size_t leader = *simulation.Leader();
    const size_t lost = (leader + 1) % 3;
    const size_t lagging = (leader + 2) % 3;
    simulation.SetIsolated(lagging, true);
    for (int i = 0; i < 60; ++i) {
      simulation.Propose();
    }
    simulation.Run(milliseconds(200));
    simulation.Crash(lost);
    simulation.EraseDisk(lost);
    simulation.Start(lost);
    simulation.Run(milliseconds(5 * steps));
    simulation.Crash(leader);
    simulation.SetIsolated(lagging, false);
    simulation.Run(seconds(10));
    cr_assert_not(simulation.Leader().has_value());
    simulation.Start(leader);
    CommitCommands(simulation);
    simulation.CheckNothingLost();
    cr_assert_str_empty(simulation.violation().c_str());
  }
}

Test(consensus_disk, a_repaired_disk_is_no_member_while_it_is_behind) {
  ConsensusSimulation simulation(3, 10);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  const size_t lost = (leader + 1) % 3;
  simulation.Crash(lost);
  simulation.EraseDisk(lost);
  const auto counted = [&] {
    return simulation.at(leader)
        .members()
        .members(static_cast<int>(lost))
        .disk();
  };
  const uint64_t before = counted();
  simulation.SetSyncDelay(lost, seconds(1));
  simulation.Start(lost);
  cr_assert(
      simulation.RunUntil(seconds(9), [&] { return counted() != before; }));
  cr_assert_eq(counted(), 0);
  simulation.Run(milliseconds(500));
  cr_assert_eq(counted(), 0);
  simulation.SetSyncDelay(lost, {});
  CommitCommands(simulation);
}

Test(consensus_disk, a_peer_that_follows_closely_needs_no_snapshot) {
  ConsensusSimulation simulation(3, 12);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  for (int i = 0; i < 20; ++i) {
    simulation.Propose();
  }
  simulation.Run(milliseconds(10));
  simulation.Compact(leader);
  CommitCommands(simulation);
  cr_assert_gt(simulation.at(leader).log().snapshot_index(), 0);
  for (size_t replica = 0; replica < 3; ++replica) {
    cr_assert(replica == leader ||
              simulation.at(replica).log().snapshot_index() == 0);
  }
}

Test(consensus_disk, a_second_disk_lost_right_after_a_repair_loses_nothing) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConsensusSimulation simulation(3, seed);
    CommitCommands(simulation, 20);
    for (size_t replica = 0; replica < 3; ++replica) {
      simulation.Crash(replica);
      simulation.EraseDisk(replica);
      simulation.Start(replica);
      // The next disk is lost in the step in which this replica votes again.
      cr_assert(simulation.RunUntil(seconds(20),
                                    [&] { return simulation.HasRecovered(); }));
    }
    CommitCommands(simulation);
    simulation.CheckNothingLost();
    cr_assert_str_empty(simulation.violation().c_str());
  }
}

Test(consensus_disk, a_disk_restored_from_an_old_copy_takes_a_new_identity) {
  ConsensusSimulation simulation(3, 6);
  CommitCommands(simulation);
  const MemoryDisk copy = simulation.disk(0);
  simulation.Crash(0);
  simulation.Start(0);
  CommitCommands(simulation);
  const uint64_t disk = simulation.at(0).disk();
  simulation.Crash(0);
  simulation.disk(0) = copy;
  simulation.Start(0);
  // The copy lacks later terms and votes: the replica must not take part.
  cr_assert_not(simulation.at(0).IsVoter());
  CommitCommands(simulation);
  cr_assert_neq(simulation.at(0).disk(), disk);
  simulation.CheckNothingLost();
  cr_assert_str_empty(simulation.violation().c_str());
}

Test(consensus_disk, all_restart_in_any_order_with_one_torn_tail) {
  for (uint64_t seed = 0; seed < 12; ++seed) {
    ConsensusSimulation simulation(3, seed);
    CommitCommands(simulation);
    simulation.SetSyncDelay(seed % 3, milliseconds(20));
    simulation.Propose();
    simulation.Run(milliseconds(10));
    for (size_t replica = 0; replica < 3; ++replica) {
      simulation.Crash(replica);
    }
    std::string& log = simulation.disk(seed % 3).bytes("log");
    log += std::string(seed * 3, '\x4c');  // Start of a frame.
    for (size_t i = 0; i < 3; ++i) {
      simulation.Start((i + seed / 3) % 3);
      simulation.Run(milliseconds(700));
    }
    CommitCommands(simulation);
    simulation.CheckNothingLost();
    cr_assert_str_empty(simulation.violation().c_str());
  }
}

Test(consensus_disk, a_full_disk_stops_acknowledging_and_recovers_by_itself) {
  ConsensusSimulation simulation(3, 7);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  for (size_t replica = 0; replica < 3; ++replica) {
    simulation.disk(replica).full = replica != leader;
  }
  const size_t before = simulation.acknowledged().size();
  simulation.Propose();
  simulation.Run(seconds(5));
  cr_assert_eq(simulation.acknowledged().size(), before);
  for (size_t replica = 0; replica < 3; ++replica) {
    simulation.disk(replica).full = false;
    simulation.Start(replica);
  }
  CommitCommands(simulation);
  simulation.CheckNothingLost();
  cr_assert_str_empty(simulation.violation().c_str());
}

// Pattern: many instances have a disk and few are members. The others greeted
// everyone with each heartbeat, which cost the group messages that grew with
// the square of the instances.
Test(consensus_disk, a_blank_replica_outside_a_group_greets_rarely) {
  constexpr int kContacts = 19;
  ConsensusOptions options;
  options.id = "blank";
  DurableState state;
  state.hard_state.set_disk(7);
  state.hard_state.set_session(8);
  const TimePoint start{std::chrono::hours(1)};
  Consensus consensus(options, state, std::mt19937_64(1), start);
  for (int i = 0; i < kContacts; ++i) {
    consensus.AddContact("peer" + std::to_string(i));
  }
  const auto run = [&](TimePoint from, Duration time) {
    size_t greetings = 0;
    for (TimePoint now = from; now < from + time; now += milliseconds(10)) {
      consensus.Tick(now);
      for (const ConsensusAction& action : consensus.TakeActions(now)) {
        const auto* send = std::get_if<SendAction>(&action);
        greetings += send && send->message.has_greeting() ? 1 : 0;
        if (const auto* persist = std::get_if<PersistAction>(&action)) {
          consensus.OnPersisted(persist->sequence, now);
        }
      }
    }
    return greetings;
  };
  const size_t before = run(start, seconds(5));
  wire::ConsensusMessage known;
  wire::GreetingReply& reply = *known.mutable_greeting_reply();
  reply.set_disk(7);
  reply.set_session(8);
  reply.mutable_members()->add_members()->set_id("peer0");
  for (int i = 0; i < kContacts; ++i) {
    known.set_from("peer" + std::to_string(i));
    consensus.Receive(known, start + seconds(5));
  }
  const size_t after = run(start + seconds(5), seconds(5));
  cr_assert(after <= 11 * kContacts && after >= 5 * kContacts, "%zu", after);
  cr_assert(after * 5 <= before, "%zu greetings, %zu before", after, before);
}

}  // namespace limpethatch
