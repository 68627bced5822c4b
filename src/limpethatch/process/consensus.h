// Consensus among the control instances on one replicated log of commands.
//
// The protocol is Raft with pre-vote, leader leases and disk identities. A
// quorum of the members elects a leader for a term. The leader appends commands
// to its log and replicates them; an entry is committed once a quorum has
// synced it to disk. A pre-vote, which binds nobody, precedes each election, so
// that an instance that rejoins after a partition does not depose the leader.
//
// Lease. A follower that has heard from a leader refuses every vote for one
// election timeout by its own monotonic clock. A replica that has just started
// refuses votes for as long. The leader's lease starts when it sent the
// messages that a quorum has answered, and lasts nine tenths of the election
// timeout. The lease is valid as long as the clock rates of any two replicas
// differ by less than a tenth and no clock stops while processes run elsewhere
// (a suspended virtual machine breaks this). If this assumption is violated, an
// old leader may serve a stale read or issue an order concurrently with the new
// leader. Acknowledged commands are safe even then, since they need a quorum.
//
// Disks. Each disk has a random identity and a counter of its boots, the starts
// of a replica from it. A vote or an acknowledgement counts only if it comes
// from the disk that the member's entry names. An empty, repaired or replaced
// disk has another identity: the leader first clears the old identity from the
// members, and enters the new one after the replica has caught up. Each step is
// one committed change, so that any two quorums intersect. A replica takes part
// only after enough peers to form a quorum with it have recorded its boot on
// their disks. A peer refuses a boot if it has recorded a later boot of the
// same disk, or another session with the same boot number; the replica then
// takes a new disk identity. This check does not detect a copy of a disk that
// was made and restored within one boot.
//
// The group is founded once all configured replicas have contacted one another
// with blank disks.
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

// A state machine without I/O or clock: the caller feeds it events and then
// carries out the actions that TakeActions() returns.
class Consensus {
 public:
  // The leader's view of a peer.
  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    uint64_t disk = 0;
    // Bytes of the snapshot that the peer has, and that were sent to it.
    uint64_t snapshot_offset = 0;
    uint64_t snapshot_sent = 0;
    // Number of chunks that may be in flight. Grows with each answer.
    size_t snapshot_window = 1;
    // When the latest of the chunks in flight was sent; nullopt if none is.
    std::optional<TimePoint> chunk_sent_at = std::nullopt;
    // When the latest of the messages that the peer has answered was sent.
    TimePoint last_acked_sent_at{};
    // When the peer sent its latest append reply, by its own clock, and its
    // session then; 0 if there was none.
    int64_t replied_at = 0;
    uint64_t session = 0;

    bool receives_snapshot() const { return snapshot_offset > 0; }
    // The snapshot is sent from its first byte on.
    void RestartSnapshot();
  };

  Consensus(ConsensusOptions options,
            DurableState state,
            std::mt19937_64 generator,
            TimePoint now);

  // Must be called several times per heartbeat interval.
  void Tick(TimePoint now);
  void Receive(const wire::ConsensusMessage& message, TimePoint now);
  // Appends a command if this replica is the leader and holds its lease.
  // Returns the index of the log entry. The command has taken effect only if
  // the ApplyAction for that index carries the term in which it was proposed.
  // Errors: kNotLeader, kNoLease, kCommandTooLarge.
  Result<uint64_t> Propose(std::string command, TimePoint now);
  // Reports that all PersistActions up to `sequence` are synced.
  void OnPersisted(uint64_t sequence, TimePoint now);
  // Replaces the log up to `index`, which must have been applied, by `state`,
  // the state machine's state after that entry. The log is truncated only once
  // the peers that follow closely or receive a snapshot have the entries, or
  // once it has max_retained_bytes.
  void Compact(uint64_t index, ByteRope state);
  // Answers a RequestStateAction with the state after `index`, the last
  // applied entry.
  void ProvideState(uint64_t index, ByteRope state);
  // True while a state passed to Compact is not installed yet; further calls
  // of Compact are ignored until then.
  bool compacting() const { return snapshot_to_install_ != nullptr; }

  // Membership changes; only one may be in progress at a time. An added
  // replica becomes a voter once it has caught up. Errors: kNotLeader (also
  // without a lease), kMembershipChangePending, and for RemoveReplica
  // kUnknownMember.
  std::error_code AddReplica(std::string id,
                             std::string endpoint,
                             TimePoint now);
  std::error_code RemoveReplica(const std::string& id, TimePoint now);

  // Asks a fully caught-up voter to start an election at once, and again with
  // each heartbeat for one election timeout; then steps down. This replica
  // holds no lease from the call on.
  void TransferLeadership(TimePoint now);

  // The actions that have become due since the last call, in the order in
  // which they must be carried out.
  std::vector<ConsensusAction> TakeActions(TimePoint now);

  bool leading() const { return role_ == Role::kLeader; }
  // True while no other replica can be leader. The entries of all earlier terms
  // are then committed, and applied with the next TakeActions() at the latest.
  bool HoldsLease(TimePoint now) const;
  // When the lease ends; TimePoint::min() if there is none.
  TimePoint LeaseEnd(TimePoint now) const;
  // True if this replica was still the leader at `since`: a quorum has answered
  // a message sent at that time or later. The applied state is then at least as
  // recent as what was committed at `since`. Needs no assumption on clocks.
  bool ConfirmedLeaderSince(TimePoint since, TimePoint now) const;
  // The latest time known at which the applied state contained everything that
  // had been committed; nullopt if there is none since the start. A follower
  // derives it from a leader's message that echoes one of its own replies:
  // whatever the delays, the leader was confirmed by a quorum after that reply.
  std::optional<TimePoint> StateConfirmedAt(TimePoint now) const;
  // True if the latest known members are committed, not only proposed.
  bool MembersCommitted() const {
    return log_.members_index() <= commit_index_;
  }
  // Adds a replica that is sent greetings in addition to the configured
  // replicas and the members.
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
  // True if this replica's votes and acknowledgements count.
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
  // `trial`: sends requests for pre-votes, which carry this flag.
  void SendVoteRequests(bool trial, uint64_t term, bool transfer);
  void ResetElectionTimer(TimePoint now);
  bool WouldGrant(const wire::ConsensusMessage& message, TimePoint now) const;
  void OnVoteRequest(const wire::ConsensusMessage& message, TimePoint now);
  void OnVoteReply(const wire::ConsensusMessage& message, TimePoint now);
  void TickElection(TimePoint now);
  void SendTimeoutNow();
  // The latest time such that a quorum has answered messages sent then or
  // later; the default TimePoint if there is none.
  TimePoint QuorumAckTime(TimePoint now) const;

  // Replication (consensus_replication.cc).
  void AppendAsLeader(wire::LogEntry entry);
  void SendAppend(const std::string& to, TimePoint now);
  void SendHeartbeat(const std::string& to, TimePoint now);
  // Adds what lets the receiver compute StateConfirmedAt().
  void AddConfirmation(const Progress& peer,
                       TimePoint now,
                       wire::Append* append) const;
  void RecordConfirmation(const wire::Append& append, TimePoint now);
  // Sends the chunks that are due. Those in flight count as lost.
  void ResumeSnapshot(const std::string& to, TimePoint now);
  void SendSnapshotChunks(const std::string& to, TimePoint now);
  SharedSnapshot MakeSnapshot(uint64_t index, ByteRope state) const;
  void OnAppend(const wire::ConsensusMessage& message, TimePoint now);
  void StoreEntries(const wire::Append& append);
  void OnAppendReply(const wire::ConsensusMessage& message, TimePoint now);
  void OnSnapshotChunk(const wire::ConsensusMessage& message, TimePoint now);
  void OnSnapshotReply(const wire::ConsensusMessage& message, TimePoint now);
  void FinishSnapshot(const wire::SnapshotChunk& chunk);
  void ReplyToAppend(const std::string& to, int64_t sent_at, TimePoint now);
  void AdvanceCommit();
  void TickLeader(TimePoint now);
  Progress* FindProgress(const wire::ConsensusMessage& message);

  // Members and disks (consensus_members.cc).
  bool IsVotingDisk(const std::string& id, uint64_t disk) const;
  // True if enough peers to form a quorum have recorded this boot on disk.
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
  void SendGreetings(TimePoint now);
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
  // The state after `index` is confirmed as of `at`.
  struct Confirmation {
    uint64_t index = 0;
    TimePoint at;
  };
  // As announced by a leader; waits until the index is applied.
  std::optional<Confirmation> pending_confirmation_;
  std::optional<TimePoint> state_confirmed_at_;
  // The log is known to equal the present leader's log up to this index.
  uint64_t verified_index_ = 0;
  TimePoint refuse_votes_until_;
  TimePoint election_deadline_;
  TimePoint next_heartbeat_at_;
  std::set<std::string> votes_;

  std::map<std::string, Progress> progress_;
  TimePoint leading_since_;
  uint64_t term_start_index_ = 0;
  TimePoint transfer_deadline_;
  bool transferring_leadership_ = false;

  // Disk identities of the peers that reported a blank disk, by replica.
  std::map<std::string, uint64_t> blank_peers_;
  // Peers that have recorded this replica's boot on their disks.
  std::set<std::string> peers_knowing_boot_;
  std::set<std::string> contacts_;
  // A peer has reported the members of a group, so that none is to be founded.
  bool group_exists_ = false;
  TimePoint next_blank_greeting_at_;
  uint64_t reported_members_index_ = 0;

  // Index of the snapshot that is being received; 0 if none is.
  uint64_t incoming_snapshot_index_ = 0;
  ByteRope incoming_snapshot_state_;

  bool hard_state_dirty_ = false;
  // The commit index is to be persisted even if nothing else has changed.
  bool commit_sync_due_ = false;
  uint64_t persist_from_ = 1;   // First entry not yet in a PersistAction.
  uint64_t durable_index_ = 0;  // Last entry known to be synced.
  uint64_t last_sequence_ = 0;
  uint64_t hard_state_sequence_ = 0;
  uint64_t persisted_sequence_ = 0;
  SharedSnapshot snapshot_to_install_;
  // For peers whose next entry was compacted; released once none needs it.
  SharedSnapshot snapshot_to_send_;
  // A RequestStateAction is due or has not been answered yet.
  bool state_requested_ = false;
  // Sequence of the PersistAction that writes the snapshot; 0 if none is
  // pending.
  uint64_t snapshot_sequence_ = 0;
  SharedSnapshot snapshot_to_persist_;
  SharedSnapshot snapshot_to_restore_;
  std::deque<PersistInFlight> in_flight_;
  std::vector<SendAction> outbox_;
  std::vector<ConsensusAction> pending_actions_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_CONSENSUS_H_
