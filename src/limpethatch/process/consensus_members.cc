// Members, their disk identities, and the founding of the group.
#include <algorithm>
#include <chrono>
#include <utility>

#include "limpethatch/process/consensus.h"

namespace limpethatch {
namespace {

// Time between the greetings of a blank replica outside a group. Once it is
// added, it learns so from an answer to one of them.
constexpr Duration kBlankGreetingInterval = std::chrono::milliseconds(500);

wire::Member* Find(wire::Members* members, const std::string& id) {
  for (wire::Member& member : *members->mutable_members()) {
    if (member.id() == id) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace

const wire::Members& Consensus::members() const {
  const wire::Members* known = log_.members();
  return known ? *known : hard_state_.founders();
}

bool Consensus::IsBlank() const {
  return !hard_state_.lost() && !hard_state_.has_founders() && !log_.members();
}

size_t Consensus::VoterCount() const {
  const auto& all = members().members();
  return static_cast<size_t>(
      std::count_if(all.begin(), all.end(),
                    [](const wire::Member& member) { return member.voter(); }));
}

bool Consensus::IsVotingDisk(const std::string& id, uint64_t disk) const {
  const auto& all = members().members();
  return disk != 0 &&
         std::any_of(all.begin(), all.end(), [&](const wire::Member& member) {
           return member.id() == id && member.voter() && member.disk() == disk;
         });
}

bool Consensus::IsVoter() const {
  return IsVotingDisk(options_.id, hard_state_.disk()) && IsBootKnownToQuorum();
}

bool Consensus::IsBootKnownToQuorum() const {
  const auto& all = members().members();
  const auto known =
      std::count_if(all.begin(), all.end(), [this](const wire::Member& member) {
        return member.voter() && peers_knowing_boot_.contains(member.id());
      });
  return static_cast<size_t>(known) >= VoterCount() / 2;
}

bool Consensus::IsQuorum(const std::set<std::string>& ids) const {
  return ids.size() >= VoterCount() / 2 + 1;
}

std::vector<std::string> Consensus::Peers() const {
  std::vector<std::string> peers;
  for (const wire::Member& member : members().members()) {
    if (member.id() != options_.id) {
      peers.push_back(member.id());
    }
  }
  return peers;
}

// ---- Membership changes, by the leader ----

bool Consensus::MembersSettled() const {
  return commit_index_ >= term_start_index_ &&
         log_.members_index() <= commit_index_;
}

void Consensus::ProposeMembers(wire::Members changed) {
  wire::LogEntry entry;
  *entry.mutable_members() = std::move(changed);
  AppendAsLeader(std::move(entry));
}

void Consensus::ReconcileMembers(TimePoint now) {
  if (!MembersSettled() || !HoldsLease(now)) {
    return;
  }
  if (!IsVotingDisk(options_.id, hard_state_.disk())) {
    TransferLeadership(now);
    return;
  }
  wire::Members changed = members();
  for (wire::Member& member : *changed.mutable_members()) {
    const auto found = progress_.find(member.id());
    if (found == progress_.end() || found->second.disk == 0 ||
        (found->second.disk == member.disk() && member.voter())) {
      continue;
    }
    const Progress& peer = found->second;
    if (member.disk() != 0) {
      member.set_disk(0);
    } else if (peer.match > 0 && peer.match >= commit_index_) {
      member.set_disk(peer.disk);
      member.set_voter(true);
    } else {
      continue;
    }
    ProposeMembers(std::move(changed));
    return;
  }
}

std::error_code Consensus::AddReplica(std::string id,
                                      std::string endpoint,
                                      TimePoint now) {
  if (!leading() || !HoldsLease(now)) {
    return ConsensusError::kNotLeader;
  }
  if (!MembersSettled()) {
    return ConsensusError::kMembershipChangePending;
  }
  wire::Members changed = members();
  if (Find(&changed, id)) {
    return {};
  }
  wire::Member& added = *changed.add_members();
  added.set_id(id);
  added.set_endpoint(std::move(endpoint));
  progress_[id].next = log_.last_index() + 1;
  ProposeMembers(std::move(changed));
  return {};
}

std::error_code Consensus::RemoveReplica(const std::string& id, TimePoint now) {
  if (!leading() || !HoldsLease(now)) {
    return ConsensusError::kNotLeader;
  }
  if (!MembersSettled()) {
    return ConsensusError::kMembershipChangePending;
  }
  wire::Members changed;
  for (const wire::Member& member : members().members()) {
    if (member.id() != id) {
      *changed.add_members() = member;
    }
  }
  if (changed.members_size() == members().members_size()) {
    return ConsensusError::kUnknownMember;
  }
  if (id != options_.id) {
    progress_.erase(id);
  }
  ProposeMembers(std::move(changed));
  return {};
}

// ---- Boots of disks ----

bool Consensus::IsSenderBootCurrent(
    const wire::ConsensusMessage& message) const {
  for (const wire::SeenBoot& seen : hard_state_.seen()) {
    if (seen.id() == message.from() && seen.disk() == message.disk()) {
      return message.boot() > seen.boot() ||
             (message.boot() == seen.boot() &&
              message.session() == seen.session());
    }
  }
  return true;
}

bool Consensus::RecordBoot(const wire::ConsensusMessage& message) {
  if (!IsSenderBootCurrent(message)) {
    return false;
  }
  wire::SeenBoot* seen = nullptr;
  for (wire::SeenBoot& known : *hard_state_.mutable_seen()) {
    // Earlier disks of the same replica are kept: they may be put back.
    if (known.id() == message.from() && known.disk() == message.disk()) {
      seen = &known;
    }
  }
  if (!seen) {
    seen = hard_state_.add_seen();
    seen->set_id(message.from());
    seen->set_disk(message.disk());
  }
  if (seen->session() != message.session()) {
    seen->set_boot(message.boot());
    seen->set_session(message.session());
    MarkHardStateDirty();
  }
  return true;
}

void Consensus::OnGreeting(const wire::ConsensusMessage& message) {
  const bool current = RecordBoot(message);
  if (current && message.blank()) {
    blank_peers_[message.from()] = message.disk();
  } else if (current) {
    blank_peers_.erase(message.from());
  }
  wire::ConsensusMessage reply = NewMessage();
  wire::GreetingReply& greeting = *reply.mutable_greeting_reply();
  greeting.set_refused(!current);
  greeting.set_disk(message.disk());
  greeting.set_session(message.session());
  *greeting.mutable_members() = members();
  Send(message.from(), std::move(reply));
}

void Consensus::OnGreetingReply(const wire::ConsensusMessage& message,
                                TimePoint now) {
  const wire::GreetingReply& reply = message.greeting_reply();
  if (reply.disk() != hard_state_.disk() ||
      reply.session() != hard_state_.session()) {
    return;
  }
  if (reply.refused()) {
    ReplaceDiskIdentity(now);
    return;
  }
  peers_knowing_boot_.insert(message.from());
  const auto& sender_members = reply.members().members();
  group_exists_ = group_exists_ || !sender_members.empty();
  const bool is_listed = std::any_of(
      sender_members.begin(), sender_members.end(), [&](const auto& member) {
        return member.id() == options_.id &&
               member.disk() == hard_state_.disk();
      });
  if (IsBlank() && is_listed) {
    *hard_state_.mutable_founders() = reply.members();
    MarkHardStateDirty();
  }
}

void Consensus::SendGreetings(TimePoint now) {
  // A blank replica outside a group only waits for the day when it is added.
  const bool greets_all =
      IsBlank() && (!group_exists_ || now >= next_blank_greeting_at_);
  if (greets_all) {
    next_blank_greeting_at_ = now + kBlankGreetingInterval;
  }
  std::set<std::string> to = contacts_;
  for (const wire::Member& replica : options_.replicas) {
    to.insert(replica.id());
  }
  for (const std::string& peer : Peers()) {
    to.insert(peer);
  }
  to.erase(options_.id);
  for (const std::string& peer : to) {
    if (greets_all || !peers_knowing_boot_.contains(peer)) {
      wire::ConsensusMessage message = NewMessage();
      message.mutable_greeting();
      Send(peer, std::move(message));
    }
  }
}

void Consensus::FoundGroupIfAllBlank() {
  if (!IsBlank()) {
    return;
  }
  wire::Members founders;
  bool listed = false;
  for (const wire::Member& replica : options_.replicas) {
    listed = listed || replica.id() == options_.id;
    wire::Member& founder = *founders.add_members();
    founder = replica;
    founder.set_voter(true);
    if (replica.id() == options_.id) {
      founder.set_disk(hard_state_.disk());
    } else if (const auto found = blank_peers_.find(replica.id());
               found != blank_peers_.end()) {
      founder.set_disk(found->second);
    } else {
      return;
    }
  }
  if (!listed) {
    return;
  }
  *hard_state_.mutable_founders() = std::move(founders);
  MarkHardStateDirty();
}

void Consensus::ReplaceDiskIdentity(TimePoint now) {
  if (hard_state_.disk() == options_.replacement_disk_id) {
    return;
  }
  BecomeFollower(term(), now);
  leader_.clear();
  peers_knowing_boot_.clear();
  hard_state_.set_disk(options_.replacement_disk_id);
  hard_state_.set_lost(true);
  MarkHardStateDirty();
}

}  // namespace limpethatch
