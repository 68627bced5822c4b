// Agreement among control instances on one log of commands.
//
// A leader is elected for a term by a quorum of the members, appends commands
// to its log and copies them to the others; an entry is committed once a
// quorum holds it on synced disks. Elections are preceded by a trial vote that
// binds nobody, so that an instance that was cut off does not disturb.
//
// Lease. A follower that has heard from a leader refuses every vote for one
// election timeout by its own monotonic clock, and a replica that has just
// started refuses them for as long. The leader counts its lease from the time
// it sent the messages that a quorum has answered, and only for nine tenths of
// that timeout. The lease holds as long as the clocks of any two replicas run
// at rates that differ by less than a tenth and do not stop while a process
// runs elsewhere (a suspended virtual machine breaks this). If that is false,
// an old leader may serve a stale read or give an order beside the new one;
// acknowledged commands are safe even then, since they need a quorum.
//
// Disks. Each disk has a random identity and counts its starts. A vote or a
// copy counts only if it comes from the disk that the members entry names. An
// empty, repaired or replaced disk has another identity: the leader first
// strikes the old one from the members, then enters the new one after it has
// caught up, each as one committed change, so that any two quorums meet. A
// replica takes part only after as many peers as make a quorum with it have
// its start on their disks; a peer that knows a later start of the same disk,
// or another one of the same number, refuses it, and the replica then takes a
// new identity. A copy of a disk made and put back within one start is beyond
// that check.
//
// The group is founded once all configured replicas have met with blank disks.
#ifndef LIMPETHATCH_PROCESS_CONSENSUS_H_
#define LIMPETHATCH_PROCESS_CONSENSUS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/consensus_types.h"
#include "limpethatch/process/replicated_log.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

// A pure state machine: feed it events, then carry out TakeActions().
class Consensus {
 public:
  // What the leader knows of a peer.
  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    uint64_t disk = 0;
    uint64_t snapshot_offset = 0;
    // When the chunk that is on its way was sent; nothing if none is.
    std::optional<TimePoint> chunk_sent_at = std::nullopt;
    TimePoint
        last_acked_sent_at{};  // When the latest answered message was sent.
  };

  Consensus(ConsensusOptions options,
            DurableState state,
            std::mt19937_64 generator,
            TimePoint now);

  // Call several times within each heartbeat.
  void Tick(TimePoint now);
  void Receive(const wire::ConsensusMessage& message, TimePoint now);
  // Appends a command if this replica leads and holds its lease. The index
  // names it in ApplyAction; it took effect only if that carries this term.
  Result<uint64_t> Propose(std::string command, TimePoint now);
  // All PersistActions up to `sequence` are synced.
  void OnPersisted(uint64_t sequence, TimePoint now);
  // The state machine's state after `index`, which must have been applied.
  // Peers that follow closely are waited for before the log is cut.
  void Compact(uint64_t index, ByteRope state);
  // Answers a RequestStateAction with the state after `index`, the last that
  // was applied.
  void ProvideState(uint64_t index, ByteRope state);
  // A state handed to Compact is not in place yet; another would be ignored.
  bool compacting() const { return snapshot_to_install_ != nullptr; }

  // Membership changes, one at a time. A replica that is added gets a vote
  // once it has caught up.
  std::error_code AddReplica(std::string id,
                             std::string endpoint,
                             TimePoint now);
  std::error_code RemoveReplica(const std::string& id, TimePoint now);

  // Hands leadership to the replica that is best caught up, if any. No lease
  // is held from here on.
  void TransferLeadership(TimePoint now);

  // What has to be done since the last call, in order.
  std::vector<ConsensusAction> TakeActions(TimePoint now);

  bool leading() const { return role_ == Role::kLeader; }
  // True while no other leader can exist and all earlier entries are applied.
  bool HoldsLease(TimePoint now) const;
  // The end of the lease; in the past if there is none.
  TimePoint LeaseEnd(TimePoint now) const;
  // True if this replica still led at `since`: a quorum has answered a message
  // that was sent no earlier. Holds without any assumption on clocks, and
  // what is applied then is no older than what was committed at `since`.
  bool ConfirmedLeaderSince(TimePoint since, TimePoint now) const;
  // True if the leader, as far as it was heard, has committed more than is
  // applied here, or if none was heard since the start.
  bool IsBehindLeader() const {
    return !leading() &&
           (leader_commit_index_ == 0 || applied_index_ < leader_commit_index_);
  }
  // The known members are committed, not only proposed.
  bool MembersCommitted() const {
    return log_.members_index() <= commit_index_;
  }
  // Another replica to greet, beside the founders and the members.
  void AddContact(const std::string& id) { contacts_.insert(id); }
  TimePoint leading_since() const { return leading_since_; }
  const std::string& id() const { return options_.id; }
  const std::string& leader() const { return leader_; }
  uint64_t term() const { return hard_state_.term(); }
  uint64_t commit_index() const { return commit_index_; }
  uint64_t applied_index() const { return applied_index_; }
  uint64_t disk() const { return hard_state_.disk(); }
  const ReplicatedLog& log() const { return log_; }
  const std::map<std::string, Progress>& progress() const { return progress_; }
  const wire::Members& members() const;
  // True if this replica's vote and copies count.
  bool IsVoter() const;

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

  struct PersistInFlight {
    uint64_t sequence;
    uint64_t last_index;
  };

  // Elections (consensus_election.cc).
  void BecomeFollower(uint64_t term, TimePoint now);
  void BecomeLeader(TimePoint now);
  void StartPreVote(TimePoint now);
  void StartElection(bool transfer, TimePoint now);
  void SendVoteRequests(bool trial, uint64_t term, bool transfer);
  void ResetElectionTimer(TimePoint now);
  bool WouldGrant(const wire::ConsensusMessage& message, TimePoint now) const;
  void OnVoteRequest(const wire::ConsensusMessage& message, TimePoint now);
  void OnVoteReply(const wire::ConsensusMessage& message, TimePoint now);
  void TickElection(TimePoint now);
  void SendTimeoutNow();
  // When the messages were sent that a quorum has answered; the default
  // TimePoint if there are none.
  TimePoint QuorumAckTime(TimePoint now) const;

  // Replication (consensus_replication.cc).
  void AppendAsLeader(wire::LogEntry entry);
  void SendAppend(const std::string& to, TimePoint now);
  void SendHeartbeat(const std::string& to, TimePoint now);
  void SendSnapshotChunk(const std::string& to, TimePoint now);
  SharedSnapshot MakeSnapshot(uint64_t index, ByteRope state) const;
  void OnAppend(const wire::ConsensusMessage& message, TimePoint now);
  void StoreEntries(const wire::Append& append);
  void OnAppendReply(const wire::ConsensusMessage& message, TimePoint now);
  void OnSnapshotChunk(const wire::ConsensusMessage& message, TimePoint now);
  void OnSnapshotReply(const wire::ConsensusMessage& message, TimePoint now);
  void FinishSnapshot(const wire::SnapshotChunk& chunk);
  void ReplyToAppend(const std::string& to, int64_t sent_at);
  void AdvanceCommit();
  void TickLeader(TimePoint now);
  Progress* FindProgress(const wire::ConsensusMessage& message);

  // Members and disks (consensus_members.cc).
  bool IsVotingDisk(const std::string& id, uint64_t disk) const;
  // True if enough peers have this start on their disks.
  bool IsBootKnownToQuorum() const;
  bool IsQuorum(const std::set<std::string>& ids) const;
  size_t VoterCount() const;
  void ReconcileMembers(TimePoint now);
  void ProposeMembers(wire::Members members);
  bool MembersSettled() const;
  std::vector<std::string> Peers() const;
  bool IsSenderBootCurrent(const wire::ConsensusMessage& message) const;
  bool RecordBoot(const wire::ConsensusMessage& message);
  void OnGreeting(const wire::ConsensusMessage& message);
  void OnGreetingReply(const wire::ConsensusMessage& message, TimePoint now);
  void SendGreetings();
  void FoundGroupIfAllBlank();
  void ReplaceDiskIdentity(TimePoint now);
  bool IsBlank() const;

  void MarkHardStateDirty() { hard_state_dirty_ = true; }
  wire::ConsensusMessage NewMessage() const;
  void Send(std::string to, wire::ConsensusMessage message);
  void InstallPendingSnapshot(TimePoint now);
  void CollectPersistAction(std::vector<ConsensusAction>* actions);
  void CollectApplyActions(std::vector<ConsensusAction>* actions);

  const ConsensusOptions options_;
  std::mt19937_64 generator_;
  wire::HardState hard_state_;
  ReplicatedLog log_;

  Role role_ = Role::kFollower;
  std::string leader_;
  uint64_t commit_index_ = 0;
  uint64_t applied_index_ = 0;
  uint64_t leader_commit_index_ =
      0;  // As the last leader said; 0: none was heard.
  uint64_t verified_index_ =
      0;  // Equal to the present leader's log up to here.
  TimePoint refuse_votes_until_;
  TimePoint election_deadline_;
  TimePoint next_heartbeat_at_;
  std::set<std::string> votes_;

  std::map<std::string, Progress> progress_;
  TimePoint leading_since_;
  uint64_t term_start_index_ = 0;
  TimePoint transfer_deadline_;
  bool transferring_leadership_ = false;

  std::map<std::string, uint64_t> blank_peers_;  // To their disks.
  std::set<std::string> peers_knowing_boot_;  // Have this start on their disks.
  std::set<std::string> contacts_;
  uint64_t reported_members_index_ = 0;

  uint64_t incoming_snapshot_index_ = 0;  // Of the snapshot being received.
  ByteRope incoming_snapshot_state_;

  bool hard_state_dirty_ = false;
  bool commit_sync_due_ = false;  // Only the commit index is worth a sync.
  uint64_t persist_from_ = 1;     // The first entry not yet handed out.
  uint64_t durable_index_ = 0;    // The last entry known to be synced.
  uint64_t last_sequence_ = 0;
  uint64_t hard_state_sequence_ = 0;
  uint64_t persisted_sequence_ = 0;
  SharedSnapshot snapshot_to_install_;
  // Sent to peers that are too far behind for entries; held only meanwhile.
  SharedSnapshot snapshot_to_send_;
  bool state_requested_ = false;  // A RequestStateAction is due or unanswered.
  uint64_t snapshot_sequence_ = 0;  // Of its persisting; 0: none under way.
  SharedSnapshot snapshot_to_persist_;
  SharedSnapshot snapshot_to_restore_;
  std::deque<PersistInFlight> in_flight_;
  std::vector<SendAction> outbox_;
  std::vector<ConsensusAction> pending_actions_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_CONSENSUS_H_
