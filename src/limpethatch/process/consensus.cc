#include "limpethatch/process/consensus.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpethatch {
namespace {

// Limit of the messages that wait until the hard state is synced; further
// messages are dropped.
constexpr size_t kMaxOutbox = 1024;

}  // namespace

Consensus::Consensus(ConsensusOptions options,
                     DurableState state,
                     std::mt19937_64 generator,
                     TimePoint now)
    : options_(std::move(options)),
      generator_(generator),
      hard_state_(std::move(state.hard_state)),
      log_(state.snapshot, std::move(state.entries)) {
  commit_index_ = std::max(log_.snapshot_index(),
                           std::min(hard_state_.commit(), log_.last_index()));
  durable_index_ = log_.last_index();
  persist_from_ = durable_index_ + 1;
  snapshot_to_restore_ = log_.snapshot();
  // Before its restart this replica may have acknowledged a leader whose lease
  // is still running.
  refuse_votes_until_ = now + options_.election_timeout;
  next_heartbeat_at_ = now;
  ResetElectionTimer(now);
}

void Consensus::Tick(TimePoint now) {
  const bool heartbeat_due = now >= next_heartbeat_at_;
  if (heartbeat_due) {
    next_heartbeat_at_ = now + options_.heartbeat;
    FoundGroupIfAllBlank();
    SendGreetings(now);
    commit_sync_due_ =
        commit_index_ > hard_state_.commit() && in_flight_.empty();
  }
  if (!leading()) {
    TickElection(now);
  } else if (heartbeat_due) {
    TickLeader(now);
  }
}

void Consensus::Receive(const wire::ConsensusMessage& message, TimePoint now) {
  if (message.from() == options_.id || message.from().empty()) {
    return;
  }
  if (message.has_greeting()) {
    OnGreeting(message);
    return;
  }
  if (!IsSenderBootCurrent(message)) {
    return;
  }
  switch (message.kind_case()) {
    case wire::ConsensusMessage::kVoteRequest:
      return OnVoteRequest(message, now);
    case wire::ConsensusMessage::kVoteReply:
      return OnVoteReply(message, now);
    case wire::ConsensusMessage::kAppend:
      return OnAppend(message, now);
    case wire::ConsensusMessage::kAppendReply:
      return OnAppendReply(message, now);
    case wire::ConsensusMessage::kSnapshotChunk:
      return OnSnapshotChunk(message, now);
    case wire::ConsensusMessage::kSnapshotReply:
      return OnSnapshotReply(message, now);
    case wire::ConsensusMessage::kGreetingReply:
      return OnGreetingReply(message, now);
    case wire::ConsensusMessage::kTimeoutNow:
      if (message.term() == term() && !leading() && IsVoter()) {
        StartElection(true, now);
      }
      return;
    default:
      return;
  }
}

Result<uint64_t> Consensus::Propose(std::string command, TimePoint now) {
  if (!leading()) {
    return make_error_code(ConsensusError::kNotLeader);
  }
  if (command.size() > options_.max_command_bytes) {
    return make_error_code(ConsensusError::kCommandTooLarge);
  }
  if (!HoldsLease(now)) {
    return make_error_code(ConsensusError::kNoLease);
  }
  wire::LogEntry entry;
  entry.set_command(std::move(command));
  AppendAsLeader(std::move(entry));
  return log_.last_index();
}

void Consensus::OnPersisted(uint64_t sequence, TimePoint now) {
  persisted_sequence_ = std::max(persisted_sequence_, sequence);
  if (snapshot_sequence_ != 0 && sequence >= snapshot_sequence_) {
    snapshot_sequence_ = 0;
    log_.DropSnapshotState();
  }
  const uint64_t before = durable_index_;
  while (!in_flight_.empty() && in_flight_.front().sequence <= sequence) {
    durable_index_ = std::max(durable_index_, in_flight_.front().last_index);
    in_flight_.pop_front();
  }
  if (durable_index_ == before) {
    return;
  }
  if (leading()) {
    AdvanceCommit();
  } else if (!leader_.empty()) {
    ReplyToAppend(leader_, 0, now);
  }
}

void Consensus::Compact(uint64_t index, ByteRope state) {
  if (compacting() || index <= log_.snapshot_index() ||
      index > applied_index_) {
    return;
  }
  snapshot_to_install_ = MakeSnapshot(index, std::move(state));
}

void Consensus::ProvideState(uint64_t index, ByteRope state) {
  state_requested_ = false;
  if (!leading() || index != applied_index_ || index < log_.snapshot_index()) {
    return;
  }
  snapshot_to_send_ = MakeSnapshot(index, std::move(state));
  for (auto& [id, peer] : progress_) {
    peer.RestartSnapshot();
  }
}

SharedSnapshot Consensus::MakeSnapshot(uint64_t index, ByteRope state) const {
  auto snapshot = std::make_shared<StateSnapshot>();
  snapshot->index = index;
  snapshot->term = *log_.TermAt(index);
  // The latest members at `index`. Those of later entries are left out, since
  // the entries stay in the log.
  for (uint64_t i = log_.snapshot_index() + 1; i <= index; ++i) {
    if (log_.At(i).has_members()) {
      snapshot->members = log_.At(i).members();
    }
  }
  if (!snapshot->members && log_.snapshot()) {
    snapshot->members = log_.snapshot()->members;
  }
  snapshot->state = std::move(state);
  return snapshot;
}

void Consensus::InstallPendingSnapshot(TimePoint now) {
  if (!snapshot_to_install_) {
    return;
  }
  const uint64_t index = snapshot_to_install_->index;
  // Waits for active peers that lack only a few entries, or that will once they
  // have a snapshot: without these entries they would need another snapshot.
  const TimePoint active_since = now - options_.election_timeout;
  const bool may_wait =
      leading() && log_.command_bytes() < options_.max_retained_bytes;
  for (const auto& [id, peer] : progress_) {
    if (may_wait && peer.last_acked_sent_at > active_since &&
        (peer.match > 0 || peer.receives_snapshot()) && peer.match < index) {
      return;
    }
  }
  SharedSnapshot snapshot = std::exchange(snapshot_to_install_, nullptr);
  if (index <= log_.snapshot_index()) {
    return;
  }
  log_.Install(snapshot);
  snapshot_to_persist_ = std::move(snapshot);
  for (auto& [id, peer] : progress_) {
    peer.RestartSnapshot();
  }
}

std::vector<ConsensusAction> Consensus::TakeActions(TimePoint now) {
  if (leading()) {
    for (auto& [id, peer] : progress_) {
      if (peer.next <= log_.last_index() && !peer.chunk_sent_at) {
        SendAppend(id, now);
      }
    }
  }
  InstallPendingSnapshot(now);
  std::vector<ConsensusAction> actions = std::exchange(pending_actions_, {});
  CollectPersistAction(&actions);
  if (persisted_sequence_ >= hard_state_sequence_) {
    std::move(outbox_.begin(), outbox_.end(), std::back_inserter(actions));
    outbox_.clear();
  }
  CollectApplyActions(&actions);
  // After the ApplyActions, since the state must contain their effects.
  if (state_requested_ && leading()) {
    actions.push_back(RequestStateAction{});
  }
  return actions;
}

void Consensus::CollectPersistAction(std::vector<ConsensusAction>* actions) {
  const bool has_entries = persist_from_ <= log_.last_index();
  if (!hard_state_dirty_ && !has_entries && !snapshot_to_persist_ &&
      !commit_sync_due_) {
    return;
  }
  PersistAction persist;
  persist.sequence = ++last_sequence_;
  if (std::exchange(hard_state_dirty_, false)) {
    hard_state_sequence_ = persist.sequence;
  }
  commit_sync_due_ = false;
  hard_state_.set_commit(commit_index_);
  persist.hard_state = hard_state_;
  if (snapshot_to_persist_) {
    persist.snapshot = std::exchange(snapshot_to_persist_, nullptr);
    snapshot_sequence_ = persist.sequence;
    persist_from_ = log_.snapshot_index() + 1;
  }
  persist.entries = log_.Range(persist_from_, log_.last_index());
  persist_from_ = log_.last_index() + 1;
  in_flight_.push_back({persist.sequence, log_.last_index()});
  actions->push_back(std::move(persist));
}

void Consensus::CollectApplyActions(std::vector<ConsensusAction>* actions) {
  if (snapshot_to_restore_) {
    applied_index_ = snapshot_to_restore_->index;
    actions->push_back(
        RestoreAction{std::exchange(snapshot_to_restore_, nullptr)});
    if (snapshot_sequence_ == 0) {
      log_.DropSnapshotState();  // The state was read from the disk.
    }
  }
  const uint64_t until =
      leading() ? commit_index_ : std::min(commit_index_, durable_index_);
  while (applied_index_ < until) {
    ++applied_index_;
    actions->push_back(ApplyAction{log_.At(applied_index_)});
  }
  if (pending_confirmation_ && applied_index_ >= pending_confirmation_->index) {
    state_confirmed_at_ =
        std::max(state_confirmed_at_.value_or(TimePoint::min()),
                 pending_confirmation_->at);
    pending_confirmation_.reset();
  }
  if (log_.members_index() != reported_members_index_) {
    reported_members_index_ = log_.members_index();
    actions->push_back(MembersAction{members()});
  }
}

wire::ConsensusMessage Consensus::NewMessage() const {
  wire::ConsensusMessage message;
  message.set_from(options_.id);
  message.set_term(term());
  message.set_disk(hard_state_.disk());
  message.set_boot(hard_state_.boot());
  message.set_session(hard_state_.session());
  message.set_blank(IsBlank());
  return message;
}

void Consensus::Send(std::string to, wire::ConsensusMessage message) {
  if (outbox_.size() < kMaxOutbox) {
    outbox_.push_back({std::move(to), std::move(message)});
  }
}

}  // namespace limpethatch
