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

// Makes the replica leader with a state of several chunks; "c" has an empty
// disk and needs the snapshot.
TimePoint LeadWithLargeState(ReplicaHarness& replica) {
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
  const size_t chunk = ReplicaHarness::Options().snapshot_chunk_bytes;
  replica.consensus.ProvideState(applied, std::string(3 * chunk, 's'));
  return now;
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

Test(consensus_snapshot, the_next_chunk_follows_the_answer_at_once) {
  ReplicaHarness replica;
  const TimePoint now = LeadWithLargeState(replica);
  SentToSlowPeer(replica, now, milliseconds(50));
  wire::ConsensusMessage reply =
      ReplicaHarness::MessageFrom("c", replica.consensus.term());
  reply.mutable_snapshot_reply()->set_index(replica.consensus.applied_index());
  reply.mutable_snapshot_reply()->set_next_offset(
      ReplicaHarness::Options().snapshot_chunk_bytes);
  replica.consensus.Receive(reply, now + milliseconds(50));
  replica.CollectActions(now + milliseconds(50));
  cr_assert(std::any_of(
      replica.sent.begin(), replica.sent.end(), [](const SendAction& send) {
        return send.message.has_snapshot_chunk() &&
               send.message.snapshot_chunk().offset() ==
                   ReplicaHarness::Options().snapshot_chunk_bytes;
      }));
}

}  // namespace limpethatch
