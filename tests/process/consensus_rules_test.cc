// Protocol rules of Consensus, tested on one replica by its messages.
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

#include "limpethatch/process/consensus.h"
#include "process/replica_harness.h"

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(consensus_rules, a_vote_is_on_the_disk_before_it_is_sent) {
  ReplicaHarness replica;
  const TimePoint now = kStart + seconds(1);
  replica.consensus.Receive(replica.VoteRequest("b"), now);
  replica.CollectActions(now);
  cr_assert(replica.sent.empty());
  const PersistAction persist = replica.persisted.back();
  cr_assert_str_eq(persist.hard_state.vote().c_str(), "b");
  cr_assert_eq(persist.hard_state.term(), kTerm + 1);
  replica.consensus.OnPersisted(persist.sequence, now);
  replica.CollectActions(now);
  cr_assert(replica.VoteGranted());
  replica.consensus.Receive(replica.VoteRequest("c"), now);
  replica.CollectActions(now);
  cr_assert_not(replica.VoteGranted());
}

Test(consensus_rules, a_replica_refuses_votes_for_a_while_after_its_start) {
  ReplicaHarness replica;
  const TimePoint early = kStart + milliseconds(499);
  replica.consensus.Receive(replica.VoteRequest("b"), early);
  replica.CollectActions(early);
  cr_assert_not(replica.sent.empty());
  cr_assert_not(replica.VoteGranted());
  cr_assert_eq(replica.consensus.term(), kTerm);
}

Test(consensus_rules, a_replica_refuses_votes_after_hearing_from_a_leader) {
  ReplicaHarness replica;
  const TimePoint heard = kStart + seconds(1);
  wire::ConsensusMessage append = ReplicaHarness::MessageFrom("c", kTerm);
  append.mutable_append()->set_previous_index(1);
  append.mutable_append()->set_previous_term(2);
  replica.consensus.Receive(append, heard);
  replica.consensus.Receive(replica.VoteRequest("b"),
                            heard + milliseconds(499));
  replica.CollectAndSync(heard);
  cr_assert_not(replica.VoteGranted());
  cr_assert_eq(replica.consensus.term(), kTerm);
  replica.consensus.Receive(replica.VoteRequest("b"),
                            heard + milliseconds(500));
  replica.CollectAndSync(heard);
  replica.CollectActions(heard);
  cr_assert(replica.VoteGranted());
}

Test(consensus_rules, an_entry_of_an_older_term_is_committed_with_a_newer_one) {
  ReplicaHarness replica;
  const TimePoint now = replica.BecomeLeader();
  replica.ReceiveAppendReply(1, now);
  cr_assert_eq(replica.consensus.commit_index(), 0);
  replica.ReceiveAppendReply(replica.consensus.log().last_index(), now);
  cr_assert_eq(replica.consensus.commit_index(),
               replica.consensus.log().last_index());
}

Test(consensus_rules, the_lease_ends_a_tenth_before_followers_grant_votes) {
  ReplicaHarness replica;
  const TimePoint now = replica.BecomeLeader();
  replica.ReceiveAppendReply(replica.consensus.log().last_index(), now);
  cr_assert(replica.consensus.LeaseEnd(now) == now + milliseconds(450));
  const TimePoint end = now + milliseconds(450);
  cr_assert_not(replica.consensus.HoldsLease(end));
  cr_assert(replica.consensus.Propose("late", end).error() ==
            ConsensusError::kNoLease);
}

Test(consensus_rules, another_disk_neither_votes_nor_acknowledges) {
  ReplicaHarness replica;
  const TimePoint now = replica.BecomeLeader();
  wire::ConsensusMessage reply =
      ReplicaHarness::MessageFrom("b", replica.consensus.term());
  reply.set_disk(77);
  reply.mutable_append_reply()->set_matched(true);
  reply.mutable_append_reply()->set_match(replica.consensus.log().last_index());
  reply.mutable_append_reply()->set_sent_at(now.time_since_epoch().count());
  replica.consensus.Receive(reply, now);
  cr_assert_eq(replica.consensus.commit_index(), 0);
  cr_assert_not(replica.consensus.HoldsLease(now));
}

// Guards against a lease that a wrong number of a peer extends without end.
Test(consensus_rules, an_acknowledgement_from_the_future_counts_from_now) {
  ReplicaHarness replica;
  const TimePoint now = replica.BecomeLeader();
  wire::ConsensusMessage reply =
      ReplicaHarness::MessageFrom("b", replica.consensus.term());
  reply.mutable_append_reply()->set_matched(true);
  reply.mutable_append_reply()->set_match(replica.consensus.log().last_index());
  reply.mutable_append_reply()->set_sent_at(
      std::numeric_limits<int64_t>::max());
  replica.consensus.Receive(reply, now);
  reply.mutable_append_reply()->set_sent_at(
      std::numeric_limits<int64_t>::min());
  replica.consensus.Receive(reply, now);
  cr_assert(replica.consensus.HoldsLease(now));
  cr_assert_not(replica.consensus.HoldsLease(now + seconds(10)));
}

}  // namespace limpethatch
