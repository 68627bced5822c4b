// Snapshot transfer from the leader to a slow peer.
#include <algorithm>
#include <chrono>
#include <string>

#include "limpethatch/process/consensus.h"
#include "process/replica_harness.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Makes the replica leader with a state of `bytes`, by default several chunks;
// "c" has an empty disk and needs the snapshot.
TimePoint LeadWithLargeState(
    ReplicaHarness& replica,
    size_t bytes = 3 * ReplicaHarness::Options().snapshot_chunk_bytes) {
  const TimePoint now = replica.BecomeLeader();
  replica.ReceiveAppendReply(replica.consensus.log().last_index(), now);
  replica.CollectAndSync(now);
  const uint64_t applied = replica.consensus.applied_index();
  replica.consensus.Compact(applied, "state");
  replica.CollectAndSync(now);
  replica.CollectAndSync(now);
  wire::ConsensusMessage behind =
      ReplicaHarness::MessageFrom("c", replica.consensus.term());
  behind.mutable_append_reply()->set_hint(0);
  replica.consensus.Receive(behind, now);
  replica.CollectAndSync(now);
  replica.consensus.ProvideState(applied, std::string(bytes, 's'));
  return now;
}

// "c" answers that it has the snapshot up to `next_offset`.
void ReceiveSnapshotReply(ReplicaHarness& replica,
                          uint64_t index,
                          uint64_t next_offset,
                          TimePoint now) {
  wire::ConsensusMessage reply =
      ReplicaHarness::MessageFrom("c", replica.consensus.term());
  reply.mutable_snapshot_reply()->set_index(index);
  reply.mutable_snapshot_reply()->set_next_offset(next_offset);
  reply.mutable_snapshot_reply()->set_sent_at(now.time_since_epoch().count());
  replica.consensus.Receive(reply, now);
}

struct Sent {
  int chunks = 0;
  int messages = 0;
};

// Counts the messages sent to "c", which does not answer, within `time`.
Sent SentToSlowPeer(ReplicaHarness& replica, TimePoint from, Duration time) {
  Sent counts;
  for (TimePoint now = from; now < from + time; now += milliseconds(10)) {
    replica.consensus.Tick(now);
    replica.ReceiveAppendReply(replica.consensus.log().last_index(), now);
    replica.CollectAndSync(now);
    for (const SendAction& send : replica.sent) {
      counts.messages += send.to == "c" ? 1 : 0;
      counts.chunks +=
          send.to == "c" && send.message.has_snapshot_chunk() ? 1 : 0;
    }
  }
  return counts;
}

}  // namespace

Test(consensus_snapshot, a_chunk_on_its_way_is_not_sent_with_every_heartbeat) {
  ReplicaHarness replica;
  const TimePoint now = LeadWithLargeState(replica);
  const Sent sent = SentToSlowPeer(replica, now, seconds(1));
  // The first chunk, and a retransmission for each election timeout.
  cr_assert_geq(sent.chunks, 1);
  cr_assert_leq(sent.chunks, 3);
}

Test(consensus_snapshot, heartbeats_go_on_while_a_chunk_is_on_its_way) {
  ReplicaHarness replica;
  const TimePoint now = LeadWithLargeState(replica);
  const Sent sent = SentToSlowPeer(replica, now, seconds(1));
  const auto heartbeats = seconds(1) / ReplicaHarness::Options().heartbeat;
  cr_assert_geq(sent.messages, heartbeats);
}

// Pattern: a large state is sent while the log is compacted every few seconds.
// Each compaction began the transfer anew with a larger state, and the replica
// never caught up.
Test(consensus_snapshot, a_compaction_waits_for_a_snapshot_in_transfer) {
  ReplicaHarness replica;
  const TimePoint now = LeadWithLargeState(replica);
  const uint64_t index = replica.consensus.applied_index();
  const uint64_t chunk = ReplicaHarness::Options().snapshot_chunk_bytes;
  SentToSlowPeer(replica, now, milliseconds(50));
  const TimePoint later = now + milliseconds(50);
  ReceiveSnapshotReply(replica, index, chunk, later);
  cr_assert(replica.consensus.Propose("command", later));
  replica.CollectAndSync(later);
  replica.ReceiveAppendReply(replica.consensus.log().last_index(), later);
  replica.CollectAndSync(later);
  cr_assert(replica.consensus.applied_index() > index);
  replica.consensus.Compact(replica.consensus.applied_index(), "state");
  replica.CollectAndSync(later);
  cr_assert(replica.consensus.log().snapshot_index() == index);
  ReceiveSnapshotReply(replica, index, 3 * chunk, later);
  replica.CollectActions(later);
  cr_assert(std::any_of(
      replica.sent.begin(), replica.sent.end(), [&](const SendAction& send) {
        return send.to == "c" && send.message.has_append() &&
               send.message.append().previous_index() == index;
      }));
}

// The peer that receives the snapshot has gone silent.
Test(consensus_snapshot, a_compaction_does_not_wait_for_a_silent_peer) {
  ReplicaHarness replica;
  const TimePoint now = LeadWithLargeState(replica);
  const uint64_t index = replica.consensus.applied_index();
  SentToSlowPeer(replica, now, milliseconds(50));
  ReceiveSnapshotReply(replica, index,
                       ReplicaHarness::Options().snapshot_chunk_bytes,
                       now + milliseconds(50));
  cr_assert(replica.consensus.Propose("command", now + milliseconds(50)));
  const TimePoint later = now + seconds(2);
  SentToSlowPeer(replica, now + milliseconds(60), seconds(2));
  replica.consensus.Compact(replica.consensus.applied_index(), "state");
  replica.CollectAndSync(later);
  cr_assert(replica.consensus.log().snapshot_index() > index);
}

// Pattern: a large state and busy event loops. With one chunk at a time, a
// transfer took a turn of both loops for each.
Test(consensus_snapshot, several_chunks_are_in_flight_once_the_peer_answers) {
  ReplicaHarness replica;
  const size_t chunk = ReplicaHarness::Options().snapshot_chunk_bytes;
  const TimePoint now = LeadWithLargeState(replica, 20 * chunk);
  const uint64_t index = replica.consensus.applied_index();
  SentToSlowPeer(replica, now, milliseconds(50));
  const size_t window = ReplicaHarness::Options().snapshot_window;
  uint64_t sent = chunk;
  for (uint64_t answered = 1; answered <= 8; ++answered) {
    replica.sent.clear();
    ReceiveSnapshotReply(replica, index, answered * chunk,
                         now + milliseconds(50));
    replica.CollectActions(now + milliseconds(50));
    for (const SendAction& send : replica.sent) {
      if (send.message.has_snapshot_chunk()) {
        cr_assert(send.message.snapshot_chunk().offset() == sent);
        sent += chunk;
      }
    }
    cr_assert(sent <= (answered + window) * chunk);
  }
  cr_assert(sent == (8 + window) * chunk);
}

Test(consensus_snapshot, the_next_chunk_follows_the_answer_at_once) {
  ReplicaHarness replica;
  const TimePoint now = LeadWithLargeState(replica);
  SentToSlowPeer(replica, now, milliseconds(50));
  ReceiveSnapshotReply(replica, replica.consensus.applied_index(),
                       ReplicaHarness::Options().snapshot_chunk_bytes,
                       now + milliseconds(50));
  replica.CollectActions(now + milliseconds(50));
  cr_assert(std::any_of(
      replica.sent.begin(), replica.sent.end(), [](const SendAction& send) {
        return send.message.has_snapshot_chunk() &&
               send.message.snapshot_chunk().offset() ==
                   ReplicaHarness::Options().snapshot_chunk_bytes;
      }));
}

}  // namespace limpethatch
