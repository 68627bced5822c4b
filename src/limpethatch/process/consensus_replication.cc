// Replication of the log and its snapshot from the leader to its peers.
#include <algorithm>
#include <chrono>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/consensus.h"

namespace limpethatch {
namespace {

// Limit of the entries sent to one peer that it has not acknowledged.
constexpr uint64_t kMaxInFlightEntries = 8192;

int64_t ToWireTime(TimePoint time) {
  return time.time_since_epoch().count();
}

// A time that a peer echoes, which is in the past: a later one would extend a
// lease without end.
TimePoint FromWireTime(int64_t time, TimePoint now) {
  return std::clamp(TimePoint(Duration(time)), now - kMaxBoundedTime, now);
}

}  // namespace

void Consensus::Progress::RestartSnapshot() {
  snapshot_offset = 0;
  snapshot_sent = 0;
  snapshot_window = 1;
  chunk_sent_at.reset();
}

void Consensus::AppendAsLeader(wire::LogEntry entry) {
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  log_.Append(std::move(entry));
}

void Consensus::TickLeader(TimePoint now) {
  const TimePoint last_quorum_ack =
      std::max(QuorumAckTime(now), leading_since_);
  const bool transfer_timed_out =
      transferring_leadership_ && now >= transfer_deadline_;
  if (transfer_timed_out ||
      now >= last_quorum_ack + 2 * options_.election_timeout) {
    leader_.clear();
    BecomeFollower(term(), now);
    return;
  }
  if (transferring_leadership_) {
    SendTimeoutNow();
  }
  ReconcileMembers(now);
  bool state_needed = false;
  for (const std::string& id : Peers()) {
    Progress& peer = progress_[id];
    if (log_.TermAt(peer.next - 1)) {
      peer.chunk_sent_at.reset();
    } else {
      state_needed = true;
    }
    // A chunk that is not answered within an election timeout counts as lost.
    if (peer.chunk_sent_at &&
        now - *peer.chunk_sent_at < options_.election_timeout) {
      SendHeartbeat(id, now);
    } else {
      SendAppend(id, now);
    }
  }
  if (!state_needed) {
    snapshot_to_send_.reset();
  }
}

void Consensus::SendAppend(const std::string& to, TimePoint now) {
  Progress& peer = progress_[to];
  const std::optional<uint64_t> previous_term = log_.TermAt(peer.next - 1);
  if (!previous_term) {
    ResumeSnapshot(to, now);
    return;
  }
  wire::ConsensusMessage message = NewMessage();
  wire::Append& append = *message.mutable_append();
  append.set_previous_index(peer.next - 1);
  append.set_previous_term(*previous_term);
  append.set_commit(commit_index_);
  append.set_sent_at(ToWireTime(now));
  AddConfirmation(peer, now, &append);
  size_t bytes = 0;
  const uint64_t limit =
      std::min(log_.last_index(), peer.match + kMaxInFlightEntries);
  while (peer.next <= limit && bytes < options_.max_append_bytes) {
    const wire::LogEntry& entry = log_.At(peer.next++);
    bytes += entry.ByteSizeLong();
    *append.add_entries() = entry;
  }
  Send(to, std::move(message));
}

// Has no previous entry, so that it is accepted whatever the peer's log holds.
void Consensus::SendHeartbeat(const std::string& to, TimePoint now) {
  wire::ConsensusMessage message = NewMessage();
  message.mutable_append()->set_commit(commit_index_);
  message.mutable_append()->set_sent_at(ToWireTime(now));
  AddConfirmation(progress_[to], now, message.mutable_append());
  Send(to, std::move(message));
}

void Consensus::AddConfirmation(const Progress& peer,
                                TimePoint now,
                                wire::Append* append) const {
  const TimePoint confirmed_at = QuorumAckTime(now);
  if (commit_index_ < term_start_index_ || confirmed_at == TimePoint()) {
    return;
  }
  append->set_quorum_age_ms(static_cast<uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(now - confirmed_at)
          .count()));
  append->set_echoed_reply_at(peer.replied_at);
  append->set_echoed_session(peer.session);
}

void Consensus::RecordConfirmation(const wire::Append& append, TimePoint now) {
  const TimePoint echoed(Duration(append.echoed_reply_at()));
  if (pending_confirmation_ || !append.has_quorum_age_ms() ||
      append.echoed_session() != hard_state_.session() || echoed > now ||
      echoed < now - kMaxBoundedTime) {
    return;
  }
  // Rounded up, as the rates of two clocks may differ by a tenth.
  const Duration quorum_age =
      BoundedTime<std::chrono::milliseconds>(append.quorum_age_ms()) * 10 / 9;
  pending_confirmation_ = {append.commit(), echoed - quorum_age};
}

std::optional<TimePoint> Consensus::StateConfirmedAt(TimePoint now) const {
  if (!leading()) {
    return state_confirmed_at_;
  }
  const TimePoint confirmed_at = QuorumAckTime(now);
  const bool complete =
      commit_index_ >= term_start_index_ && applied_index_ == commit_index_;
  return complete && confirmed_at != TimePoint() ? std::optional(confirmed_at)
                                                 : std::nullopt;
}

void Consensus::ResumeSnapshot(const std::string& to, TimePoint now) {
  if (!snapshot_to_send_ || snapshot_to_send_->index < log_.snapshot_index()) {
    state_requested_ = true;
    return;
  }
  Progress& peer = progress_[to];
  peer.snapshot_offset =
      std::min<uint64_t>(peer.snapshot_offset, snapshot_to_send_->state.size());
  peer.snapshot_sent = peer.snapshot_offset;
  peer.snapshot_window = 1;
  SendSnapshotChunks(to, now);
}

void Consensus::SendSnapshotChunks(const std::string& to, TimePoint now) {
  Progress& peer = progress_[to];
  const StateSnapshot& snapshot = *snapshot_to_send_;
  const uint64_t limit = std::min<uint64_t>(
      snapshot.state.size(),
      peer.snapshot_offset +
          peer.snapshot_window * options_.snapshot_chunk_bytes);
  // An empty state takes one chunk, too.
  do {
    wire::ConsensusMessage message = NewMessage();
    wire::SnapshotChunk& chunk = *message.mutable_snapshot_chunk();
    chunk.set_index(snapshot.index);
    chunk.set_term(snapshot.term);
    *chunk.mutable_members() = snapshot.members.value_or(wire::Members());
    chunk.set_offset(peer.snapshot_sent);
    chunk.set_total(snapshot.state.size());
    chunk.set_data(snapshot.state.Substr(peer.snapshot_sent,
                                         options_.snapshot_chunk_bytes));
    chunk.set_sent_at(ToWireTime(now));
    peer.snapshot_sent += chunk.data().size();
    peer.chunk_sent_at = now;
    Send(to, std::move(message));
  } while (peer.snapshot_sent < limit);
}

void Consensus::OnAppend(const wire::ConsensusMessage& message, TimePoint now) {
  const wire::Append& append = message.append();
  if (message.term() < term()) {
    wire::ConsensusMessage reply = NewMessage();
    reply.mutable_append_reply()->set_hint(log_.last_index());
    Send(message.from(), std::move(reply));
    return;
  }
  BecomeFollower(message.term(), now);
  leader_ = message.from();
  refuse_votes_until_ = now + options_.election_timeout;
  RecordConfirmation(append, now);
  const uint64_t previous = append.previous_index();
  const std::optional<uint64_t> own_term = log_.TermAt(previous);
  if (previous >= log_.snapshot_index() && own_term != append.previous_term()) {
    wire::ConsensusMessage reply = NewMessage();
    reply.mutable_append_reply()->set_sent_at(append.sent_at());
    reply.mutable_append_reply()->set_replied_at(ToWireTime(now));
    uint64_t hint = std::min(log_.last_index(), previous - 1);
    while (own_term && hint > commit_index_ && log_.TermAt(hint) == own_term) {
      --hint;
    }
    reply.mutable_append_reply()->set_hint(hint);
    Send(message.from(), std::move(reply));
    return;
  }
  StoreEntries(append);
  commit_index_ =
      std::max(commit_index_, std::min(append.commit(), verified_index_));
  ReplyToAppend(message.from(), append.sent_at(), now);
}

void Consensus::StoreEntries(const wire::Append& append) {
  for (const wire::LogEntry& entry : append.entries()) {
    const uint64_t index = entry.index();
    if (index <= log_.snapshot_index() || log_.TermAt(index) == entry.term()) {
      continue;
    }
    if (index <= log_.last_index()) {
      log_.TruncateFrom(index);
      persist_from_ = std::min(persist_from_, index);
      durable_index_ = std::min(durable_index_, index - 1);
      for (PersistInFlight& persist : in_flight_) {
        persist.last_index = std::min(persist.last_index, index - 1);
      }
    }
    log_.Append(entry);
  }
  const uint64_t end =
      append.previous_index() + static_cast<uint64_t>(append.entries_size());
  verified_index_ = std::max({verified_index_, end, log_.snapshot_index()});
}

void Consensus::ReplyToAppend(const std::string& to,
                              int64_t sent_at,
                              TimePoint now) {
  wire::ConsensusMessage reply = NewMessage();
  reply.mutable_append_reply()->set_matched(true);
  reply.mutable_append_reply()->set_match(
      std::min(verified_index_, durable_index_));
  reply.mutable_append_reply()->set_sent_at(sent_at);
  reply.mutable_append_reply()->set_replied_at(ToWireTime(now));
  Send(to, std::move(reply));
}

Consensus::Progress* Consensus::FindProgress(
    const wire::ConsensusMessage& message) {
  const auto found = progress_.find(message.from());
  if (!leading() || message.term() != term() || found == progress_.end()) {
    return nullptr;
  }
  Progress& peer = found->second;
  if (peer.disk != message.disk()) {
    peer = Progress{.next = log_.last_index() + 1, .disk = message.disk()};
  }
  return &peer;
}

void Consensus::OnAppendReply(const wire::ConsensusMessage& message,
                              TimePoint now) {
  if (message.term() > term()) {
    BecomeFollower(message.term(), now);
    return;
  }
  Progress* peer = FindProgress(message);
  if (!peer) {
    return;
  }
  const wire::AppendReply& reply = message.append_reply();
  peer->last_acked_sent_at =
      std::max(peer->last_acked_sent_at, FromWireTime(reply.sent_at(), now));
  if (peer->session != message.session() ||
      peer->replied_at < reply.replied_at()) {
    peer->session = message.session();
    peer->replied_at = reply.replied_at();
  }
  if (!reply.matched()) {
    peer->next =
        std::max(peer->match + 1, std::min(peer->next, reply.hint() + 1));
    return;
  }
  peer->match = std::max(peer->match, reply.match());
  peer->next = std::max(peer->next, peer->match + 1);
  AdvanceCommit();
}

void Consensus::AdvanceCommit() {
  std::vector<uint64_t> matches;
  for (const wire::Member& member : members().members()) {
    if (!member.voter()) {
      continue;
    }
    const auto found = progress_.find(member.id());
    if (member.id() == options_.id) {
      matches.push_back(durable_index_);
    } else if (found != progress_.end() &&
               IsVotingDisk(member.id(), found->second.disk)) {
      matches.push_back(found->second.match);
    } else {
      matches.push_back(0);
    }
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t quorum_match =
      matches.empty() ? 0 : matches[matches.size() / 2];
  if (quorum_match > commit_index_ && log_.TermAt(quorum_match) == term()) {
    commit_index_ = quorum_match;
  }
}

void Consensus::OnSnapshotChunk(const wire::ConsensusMessage& message,
                                TimePoint now) {
  const wire::SnapshotChunk& chunk = message.snapshot_chunk();
  if (message.term() < term()) {
    return;
  }
  BecomeFollower(message.term(), now);
  leader_ = message.from();
  refuse_votes_until_ = now + options_.election_timeout;
  if (chunk.index() <= commit_index_) {
    verified_index_ = std::max(verified_index_, chunk.index());
    ReplyToAppend(message.from(), chunk.sent_at(), now);
    return;
  }
  if (incoming_snapshot_index_ != chunk.index()) {
    incoming_snapshot_index_ = chunk.index();
    incoming_snapshot_state_ = {};
  }
  if (chunk.offset() == incoming_snapshot_state_.size()) {
    incoming_snapshot_state_.Append(chunk.data());
  }
  wire::ConsensusMessage reply = NewMessage();
  reply.mutable_snapshot_reply()->set_index(chunk.index());
  reply.mutable_snapshot_reply()->set_next_offset(
      incoming_snapshot_state_.size());
  reply.mutable_snapshot_reply()->set_sent_at(chunk.sent_at());
  Send(message.from(), std::move(reply));
  if (incoming_snapshot_state_.size() == chunk.total()) {
    FinishSnapshot(chunk);
  }
}

void Consensus::FinishSnapshot(const wire::SnapshotChunk& chunk) {
  auto snapshot = std::make_shared<StateSnapshot>(
      StateSnapshot{chunk.index(), chunk.term(), chunk.members(),
                    std::exchange(incoming_snapshot_state_, {})});
  incoming_snapshot_index_ = 0;
  const bool log_matches = log_.TermAt(chunk.index()) == chunk.term();
  log_.Install(snapshot);
  if (!log_matches) {
    // The disk holds entries of the replaced log until the next sync.
    durable_index_ = 0;
    in_flight_.clear();
  }
  commit_index_ = chunk.index();
  verified_index_ = std::max(verified_index_, chunk.index());
  snapshot_to_persist_ = snapshot;
  snapshot_to_restore_ = std::move(snapshot);
}

void Consensus::OnSnapshotReply(const wire::ConsensusMessage& message,
                                TimePoint now) {
  Progress* peer = FindProgress(message);
  if (!peer || !snapshot_to_send_) {
    return;
  }
  const wire::SnapshotReply& reply = message.snapshot_reply();
  peer->last_acked_sent_at =
      std::max(peer->last_acked_sent_at, FromWireTime(reply.sent_at(), now));
  if (reply.index() != snapshot_to_send_->index) {
    return;
  }
  peer->snapshot_offset = reply.next_offset();
  if (reply.next_offset() >= snapshot_to_send_->state.size()) {
    peer->next = std::max(peer->next, reply.index() + 1);
    peer->chunk_sent_at.reset();
    return;
  }
  peer->snapshot_window =
      std::min(peer->snapshot_window + 1, options_.snapshot_window);
  peer->snapshot_sent = std::max(peer->snapshot_sent, peer->snapshot_offset);
  const uint64_t in_flight = peer->snapshot_sent - peer->snapshot_offset;
  const bool all_sent = peer->snapshot_sent >= snapshot_to_send_->state.size();
  if (!all_sent &&
      in_flight < peer->snapshot_window * options_.snapshot_chunk_bytes) {
    SendSnapshotChunks(message.from(), now);
  }
}

}  // namespace limpethatch
