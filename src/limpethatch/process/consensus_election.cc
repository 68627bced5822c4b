// Elections, pre-votes (`trial` in the messages) and the leader's lease.
#include <algorithm>
#include <utility>

#include "limpethatch/process/consensus.h"

namespace limpethatch {

void Consensus::BecomeFollower(uint64_t new_term, TimePoint now) {
  if (leading()) {
    pending_actions_.push_back(LeadershipAction{false, term()});
  }
  role_ = Role::kFollower;
  transferring_leadership_ = false;
  votes_.clear();
  if (new_term > term()) {
    hard_state_.set_term(new_term);
    hard_state_.clear_vote();
    MarkHardStateDirty();
    leader_.clear();
    verified_index_ = 0;
  }
  ResetElectionTimer(now);
}

void Consensus::BecomeLeader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = options_.id;
  leading_since_ = now;
  progress_.clear();
  snapshot_to_send_.reset();
  state_requested_ = false;
  for (const std::string& peer : Peers()) {
    progress_[peer].next = log_.last_index() + 1;
  }
  wire::LogEntry entry;
  if (!log_.members()) {
    *entry.mutable_members() = members();
  }
  AppendAsLeader(std::move(entry));
  term_start_index_ = log_.last_index();
  next_heartbeat_at_ = now;
  pending_actions_.push_back(LeadershipAction{true, term()});
}

void Consensus::ResetElectionTimer(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> jitter(
      0, options_.election_timeout.count());
  election_deadline_ =
      now + options_.election_timeout + Duration(jitter(generator_));
}

void Consensus::TickElection(TimePoint now) {
  if (now < election_deadline_) {
    return;
  }
  ResetElectionTimer(now);
  if (IsVoter() && now >= refuse_votes_until_) {
    StartPreVote(now);
  }
}

void Consensus::StartPreVote(TimePoint now) {
  role_ = Role::kPreCandidate;
  leader_.clear();
  votes_ = {options_.id};
  SendVoteRequests(true, term() + 1, false);
  if (IsQuorum(votes_)) {
    StartElection(false, now);
  }
}

void Consensus::StartElection(bool transfer, TimePoint now) {
  role_ = Role::kCandidate;
  leader_.clear();
  hard_state_.set_term(term() + 1);
  hard_state_.set_vote(options_.id);
  MarkHardStateDirty();
  verified_index_ = 0;
  votes_ = {options_.id};
  ResetElectionTimer(now);
  SendVoteRequests(false, term(), transfer);
  if (IsQuorum(votes_)) {
    BecomeLeader(now);
  }
}

void Consensus::SendVoteRequests(bool trial,
                                 uint64_t requested_term,
                                 bool transfer) {
  wire::ConsensusMessage message = NewMessage();
  wire::VoteRequest& request = *message.mutable_vote_request();
  request.set_trial(trial);
  request.set_term(requested_term);
  request.set_last_index(log_.last_index());
  request.set_last_term(log_.last_term());
  request.set_transfer(transfer);
  for (const std::string& peer : Peers()) {
    Send(peer, message);
  }
}

bool Consensus::WouldGrant(const wire::ConsensusMessage& message,
                           TimePoint now) const {
  const wire::VoteRequest& request = message.vote_request();
  // The candidate checks whether the vote counts, since it has the more recent
  // members of the two.
  if (IsBlank() || !IsBootKnownToQuorum()) {
    return false;
  }
  // A transfer overrides the refusal, since the leader has given up its lease.
  if (!request.transfer() && (leading() || now < refuse_votes_until_)) {
    return false;
  }
  const auto candidate_log =
      std::pair(request.last_term(), request.last_index());
  const auto own_log = std::pair(log_.last_term(), log_.last_index());
  return request.term() >= term() && candidate_log >= own_log;
}

void Consensus::OnVoteRequest(const wire::ConsensusMessage& message,
                              TimePoint now) {
  const wire::VoteRequest& request = message.vote_request();
  bool granted = WouldGrant(message, now);
  const bool may_adopt_term =
      request.transfer() || (!leading() && now >= refuse_votes_until_);
  if (!request.trial() && may_adopt_term && request.term() > term()) {
    BecomeFollower(request.term(), now);
  }
  if (request.trial()) {
    granted = granted && request.term() > term();
  } else if (granted) {
    const std::string& vote = hard_state_.vote();
    granted = vote.empty() || vote == message.from();
  }
  if (granted && !request.trial()) {
    if (hard_state_.vote().empty()) {
      hard_state_.set_vote(message.from());
      MarkHardStateDirty();
    }
    ResetElectionTimer(now);
  }
  wire::ConsensusMessage reply = NewMessage();
  reply.mutable_vote_reply()->set_trial(request.trial());
  reply.mutable_vote_reply()->set_term(request.term());
  reply.mutable_vote_reply()->set_granted(granted);
  Send(message.from(), std::move(reply));
}

void Consensus::OnVoteReply(const wire::ConsensusMessage& message,
                            TimePoint now) {
  const wire::VoteReply& reply = message.vote_reply();
  if (message.term() > term()) {
    BecomeFollower(message.term(), now);
    return;
  }
  const bool expected =
      reply.trial() ? role_ == Role::kPreCandidate && reply.term() == term() + 1
                    : role_ == Role::kCandidate && reply.term() == term();
  if (!expected || !reply.granted() ||
      !IsVotingDisk(message.from(), message.disk())) {
    return;
  }
  votes_.insert(message.from());
  if (!IsQuorum(votes_)) {
    return;
  }
  if (reply.trial()) {
    StartElection(false, now);
  } else {
    BecomeLeader(now);
  }
}

TimePoint Consensus::QuorumAckTime(TimePoint now) const {
  std::vector<TimePoint> ack_times;
  for (const wire::Member& member : members().members()) {
    if (!member.voter()) {
      continue;
    }
    const auto found = progress_.find(member.id());
    if (member.id() == options_.id) {
      ack_times.push_back(now);
    } else if (found != progress_.end() &&
               IsVotingDisk(member.id(), found->second.disk)) {
      ack_times.push_back(found->second.last_acked_sent_at);
    } else {
      ack_times.push_back(TimePoint());
    }
  }
  std::sort(ack_times.begin(), ack_times.end(), std::greater<>());
  return ack_times.empty() ? TimePoint() : ack_times[ack_times.size() / 2];
}

TimePoint Consensus::LeaseEnd(TimePoint now) const {
  if (!leading() || transferring_leadership_ ||
      commit_index_ < term_start_index_) {
    return TimePoint::min();
  }
  const TimePoint from = QuorumAckTime(now);
  return from == TimePoint() ? TimePoint::min()
                             : from + options_.election_timeout * 9 / 10;
}

bool Consensus::ConfirmedLeaderSince(TimePoint since, TimePoint now) const {
  return leading() && commit_index_ >= term_start_index_ &&
         applied_index_ == commit_index_ && QuorumAckTime(now) >= since;
}

bool Consensus::HoldsLease(TimePoint now) const {
  return now < LeaseEnd(now);
}

void Consensus::TransferLeadership(TimePoint now) {
  if (!leading() || transferring_leadership_) {
    return;
  }
  transferring_leadership_ = true;
  transfer_deadline_ = now + options_.election_timeout;
  SendTimeoutNow();
}

void Consensus::SendTimeoutNow() {
  for (const auto& [id, peer] : progress_) {
    if (peer.match == log_.last_index() && IsVotingDisk(id, peer.disk)) {
      wire::ConsensusMessage message = NewMessage();
      message.mutable_timeout_now();
      Send(id, std::move(message));
      return;
    }
  }
}

}  // namespace limpethatch
