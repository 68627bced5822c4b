#include "limpethatch/process/consensus.h"

#include <rapidcheck.h>

#include <chrono>
#include <vector>

#include "process/commit_commands.h"
#include "process/consensus_simulation.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRecoveryLimit = seconds(60);

// Clears all faults and starts the replicas that are down.
void RestoreAll(ConsensusSimulation& simulation) {
  for (size_t i = 0; i < simulation.size(); ++i) {
    simulation.SetFrozen(i, false);
    simulation.SetIsolated(i, false);
    simulation.SetSyncDelay(i, {});
    simulation.Start(i);
  }
}

// Applies the fault or event that `choice` selects.
void InjectFault(ConsensusSimulation& simulation, uint32_t choice) {
  // Half of the events apply to the leader, if there is one.
  const size_t replica = (choice >> 12) % 2 == 0
                             ? simulation.Leader().value_or(0)
                             : (choice >> 8) % simulation.size();
  switch (choice % 24) {
    case 0:
      simulation.Crash(replica);
      break;
    case 1:
    case 2:
      simulation.Start(replica);
      break;
    case 3:
      simulation.SetIsolated(replica, true);
      break;
    case 4:
    case 5:
      simulation.SetIsolated(replica, false);
      break;
    case 6:
      simulation.SetFrozen(replica, true);
      break;
    case 7:
      simulation.SetFrozen(replica, false);
      break;
    case 8:
      simulation.SetSyncDelay(replica, milliseconds((choice >> 16) % 700));
      break;
    case 9:
      simulation.SetSyncDelay(replica, {});
      break;
    case 10:
      simulation.Compact(replica);
      break;
    case 11:
      if (const auto leader = simulation.Leader()) {
        simulation.at(*leader).TransferLeadership(simulation.now(*leader));
      }
      break;
    case 12:
      // A disk may be lost only while all others are intact.
      if (simulation.HasRecovered()) {
        simulation.Crash(replica);
        simulation.EraseDisk(replica);
        simulation.Start(replica);
      }
      break;
    case 13:
    case 14:
    case 15:
      RestoreAll(simulation);
      simulation.Run(seconds(3));
      break;
    default:
      for (uint32_t i = 0; i < (choice >> 16) % 8; ++i) {
        simulation.Propose();
      }
  }
}

void CheckRandomRun(size_t replicas) {
  const auto number = rc::gen::resize(rc::kNominalSize,
                                      rc::gen::inRange<uint32_t>(0, 1u << 31));
  const uint64_t seed = *number;
  const auto choices =
      *rc::gen::resize(120, rc::gen::container<std::vector<uint32_t>>(number));
  ConsensusSimulation simulation(replicas, seed);
  simulation.Run(milliseconds(seed % 1500));
  simulation.faults = {.loss = static_cast<double>(seed % 4) * 0.08,
                       .duplicate = 0.1,
                       .max_delay = milliseconds(1 + seed % 120)};
  for (const uint32_t choice : choices) {
    InjectFault(simulation, choice);
    simulation.Run(milliseconds((choice >> 20) % 1200));
    RC_ASSERT(simulation.violation() == "");
  }
  simulation.CheckLogsMatch();
  simulation.faults = {};
  RestoreAll(simulation);
  RC_ASSERT(simulation.RunUntil(kRecoveryLimit,
                                [&] { return simulation.HasRecovered(); }));
  RC_ASSERT(simulation.Propose());
  RC_ASSERT(simulation.RunUntil(kRecoveryLimit,
                                [&] { return simulation.HasRecovered(); }));
  simulation.CheckLogsMatch();
  simulation.CheckNothingLost();
  RC_ASSERT(simulation.violation() == "");
}

}  // namespace

Test(consensus, is_safe_and_recovers_with_three_replicas_under_random_faults) {
  cr_assert(rc::check([] { CheckRandomRun(3); }));
}

Test(consensus, is_safe_and_recovers_with_five_replicas_under_random_faults) {
  cr_assert(rc::check([] { CheckRandomRun(5); }));
}

Test(consensus, one_replica_alone_founds_leads_and_restarts) {
  ConsensusSimulation simulation(1, 1);
  CommitCommands(simulation);
  simulation.Crash(0);
  simulation.Start(0);
  CommitCommands(simulation);
  simulation.CheckNothingLost();
  cr_assert_eq(simulation.acknowledged().size(), 6);
}

Test(consensus, an_isolated_leader_neither_acknowledges_nor_keeps_leading) {
  ConsensusSimulation simulation(3, 2);
  CommitCommands(simulation);
  const size_t old = *simulation.Leader();
  simulation.SetIsolated(old, true);
  const size_t acknowledged = simulation.acknowledged().size();
  // Its lease is still valid: it accepts the command, but cannot commit it.
  cr_assert(simulation.Propose());
  cr_assert(simulation.RunUntil(seconds(5), [&] {
    return simulation.Leader() && *simulation.Leader() != old;
  }));
  cr_assert_not(simulation.at(old).HoldsLease(simulation.now(old)));
  cr_assert_not(simulation.at(old).Propose("late", simulation.now(old)));
  simulation.Run(seconds(30));
  cr_assert_eq(simulation.acknowledged().size(), acknowledged);
  cr_assert_not(simulation.at(old).leading());
  simulation.SetIsolated(old, false);
  CommitCommands(simulation);
  cr_assert_str_empty(simulation.violation().c_str());
}

Test(consensus, a_rejoining_instance_does_not_disturb_the_leader) {
  ConsensusSimulation simulation(3, 3);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  const uint64_t term = simulation.at(leader).term();
  const size_t other = (leader + 1) % 3;
  simulation.SetIsolated(other, true);
  simulation.Run(seconds(20));
  simulation.SetIsolated(other, false);
  simulation.Run(seconds(5));
  cr_assert_eq(simulation.at(leader).term(), term);
  cr_assert_eq(*simulation.Leader(), leader);
}

// A read must be answered from a state at least as recent as the request, also
// by a leader whose clock stood still in between.
Test(consensus, a_leader_that_was_replaced_never_confirms_a_later_read) {
  ConsensusSimulation simulation(3, 22);
  cr_assert(simulation.RunUntil(seconds(5),
                                [&] { return simulation.HasRecovered(); }));
  const size_t old = *simulation.Leader();
  const TimePoint asked = simulation.now(old);
  cr_assert(simulation.RunUntil(seconds(1), [&] {
    return simulation.at(old).ConfirmedLeaderSince(asked, simulation.now(old));
  }));
  simulation.SetFrozen(old, true);
  cr_assert(simulation.RunUntil(seconds(5), [&] {
    const auto leader = simulation.Leader();
    return leader && *leader != old;
  }));
  simulation.SetFrozen(old, false);
  const TimePoint later = simulation.now(old);
  for (int i = 0; i < 100; ++i) {
    cr_assert(
        !simulation.at(old).ConfirmedLeaderSince(later, simulation.now(old)));
    simulation.Run(milliseconds(10));
  }
}

Test(consensus, replicas_join_one_at_a_time_and_others_may_leave) {
  ConsensusSimulation simulation(5, 11, 3);
  cr_assert(
      simulation.RunUntil(seconds(10), [&] { return simulation.Propose(); }));
  simulation.Run(seconds(1));
  const size_t leader = *simulation.Leader();
  Consensus& consensus = simulation.at(leader);
  cr_assert_not(consensus.AddReplica(simulation.id(3), "127.0.0.1:1",
                                     simulation.now(leader)));
  cr_assert(consensus.AddReplica(simulation.id(4), "127.0.0.1:2",
                                 simulation.now(leader)) ==
            ConsensusError::kMembershipChangePending);
  cr_assert(simulation.RunUntil(seconds(5),
                                [&] { return simulation.at(3).IsVoter(); }));
  simulation.Run(milliseconds(200));
  cr_assert_not(consensus.AddReplica(simulation.id(4), "127.0.0.1:2",
                                     simulation.now(leader)));
  CommitCommands(simulation);
  // The two that joined and one founder form a quorum.
  for (size_t replica = 0; replica < 2; ++replica) {
    simulation.Crash((leader + 1 + replica) % 3);
  }
  cr_assert(simulation.Propose());
  simulation.Run(seconds(1));
  for (size_t replica = 0; replica < 3; ++replica) {
    simulation.Start(replica);
  }
  CommitCommands(simulation);
  const size_t gone = (*simulation.Leader() + 1) % 5;
  const size_t remover = *simulation.Leader();
  cr_assert_not(simulation.at(remover).RemoveReplica(simulation.id(gone),
                                                     simulation.now(remover)));
  simulation.Run(seconds(1));
  simulation.Crash(gone);
  simulation.Run(seconds(1));
  cr_assert_eq(simulation.at(remover).members().members_size(), 4);
  cr_assert(simulation.Propose());
  simulation.CheckLogsMatch();
  cr_assert_str_empty(simulation.violation().c_str());
}

Test(consensus, a_leadership_transfer_needs_no_election_timeout) {
  ConsensusSimulation simulation(3, 8);
  CommitCommands(simulation);
  const size_t old = *simulation.Leader();
  simulation.at(old).TransferLeadership(simulation.now(old));
  cr_assert(simulation.RunUntil(milliseconds(200), [&] {
    return simulation.Leader() && *simulation.Leader() != old;
  }));
}

// Gateways must not take the configuration of a replica that is told of no more
// changes.
Test(consensus, a_removed_replica_no_longer_confirms_its_state) {
  ConsensusSimulation simulation(4, 31);
  CommitCommands(simulation);
  const size_t leader = *simulation.Leader();
  const size_t removed = (leader + 1) % 4;
  cr_assert(!simulation.at(leader).RemoveReplica(simulation.id(removed),
                                                 simulation.now(leader)));
  simulation.Run(milliseconds(100));
  const TimePoint removed_at = simulation.now(removed);
  simulation.Run(seconds(5));
  cr_assert(simulation.Propose());
  simulation.Run(seconds(1));
  cr_assert_lt(simulation.applied(removed).size(),
               simulation.applied(leader).size());
  const auto confirmed_at =
      simulation.at(removed).StateConfirmedAt(simulation.now(removed));
  cr_assert(confirmed_at && *confirmed_at <= removed_at);
}

// The same for a replica whose addition was begun by a leader that was replaced
// before it could commit the change.
Test(consensus, a_replica_that_was_added_in_vain_does_not_confirm_its_state) {
  ConsensusSimulation simulation(4, 32, 3);
  cr_assert(simulation.RunUntil(
      seconds(5), [&] { return simulation.Leader().has_value(); }));
  simulation.Run(seconds(1));
  const size_t old = *simulation.Leader();
  const size_t added = 3;
  for (size_t i = 0; i < 3; ++i) {
    simulation.SetIsolated(i, i != old);
  }
  simulation.at(old).AddContact(simulation.id(added));
  cr_assert(!simulation.at(old).AddReplica(simulation.id(added), "",
                                           simulation.now(old)));
  simulation.Run(milliseconds(200));
  simulation.SetFrozen(old, true);
  for (size_t i = 0; i < 3; ++i) {
    simulation.SetIsolated(i, false);
  }
  cr_assert(simulation.RunUntil(
      seconds(5), [&] { return simulation.Leader().has_value(); }));
  const TimePoint replaced_at = simulation.now(added);
  simulation.SetFrozen(old, false);
  simulation.Run(seconds(5));
  cr_assert(simulation.Propose());
  simulation.Run(seconds(1));
  const auto confirmed_at =
      simulation.at(added).StateConfirmedAt(simulation.now(added));
  cr_assert(!confirmed_at || *confirmed_at <= replaced_at);
}

Test(consensus, followers_confirm_their_state_while_they_hear_the_leader) {
  ConsensusSimulation simulation(3, 33);
  CommitCommands(simulation);
  for (int i = 0; i < 50; ++i) {
    simulation.Propose();
    simulation.Run(milliseconds(37));
    for (size_t replica = 0; replica < 3; ++replica) {
      const TimePoint now = simulation.now(replica);
      const auto confirmed_at = simulation.at(replica).StateConfirmedAt(now);
      cr_assert(confirmed_at && now - *confirmed_at < milliseconds(200));
    }
  }
}

// Delays must not make an old state look recent.
Test(consensus, a_follower_with_late_messages_knows_how_old_its_state_is) {
  ConsensusSimulation simulation(3, 34);
  CommitCommands(simulation);
  simulation.faults.max_delay = milliseconds(400);
  for (int i = 0; i < 100; ++i) {
    simulation.Propose();
    simulation.Run(milliseconds(50));
  }
  cr_assert_str_empty(simulation.violation().c_str());
}

}  // namespace limpethatch
