// Control instances: liveness, voting membership and retirement.
#include <algorithm>
#include <chrono>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// A voter that was silent for this long is replaced if a live instance is
// available. Longer than a machine takes to restart, since a replacement has to
// receive the whole state.
constexpr Duration kReplacementTimeout = std::chrono::seconds(4);
// Of the periods of digests, one in this many includes the instances that do
// not serve gateways and targets. Half of the time after which an instance
// counts as silent.
constexpr uint64_t kPeriodsPerSignOfLife = 2;

}  // namespace

wire::ControlDigest FleetService::MakeDigest(TimePoint now) const {
  wire::ControlDigest digest;
  wire::ControlInstanceRecord& self = *digest.mutable_sender();
  self.set_id(settings_.process.id);
  self.set_endpoint(settings_.peers.ToString());
  self.set_name(settings_.name);
  self.set_zone(settings_.process.zone);
  self.set_stores(true);
  self.set_log_format(static_cast<uint32_t>(kNewestLogFormat));
  self.set_serving(HasQuorumContact(now));
  if (IsActiveLeader(now)) {
    *digest.mutable_target_rates() = EncodeRateLimits();
  }
  for (const auto& [id, peer] : peers_) {
    if (now - peer.last_contact_at < kAliveTimeout) {
      wire::ControlInstanceRecord& known = *digest.add_known();
      known = peer.record;
      known.set_age_ms(static_cast<uint64_t>(
          std::chrono::duration_cast<milliseconds>(now - peer.last_contact_at)
              .count()));
    }
  }
  return digest;
}

void FleetService::SendDigests(TimePoint now) {
  client_.RecordContact(settings_.peers, now);
  wire::ControlDigest digest = MakeDigest(now);
  wire::ControlDigest sign_of_life = digest;
  for (const std::string& id : std::exchange(pending_digest_targets_, {})) {
    const auto found = targets_.entries().find(id);
    if (found != targets_.entries().end()) {
      *digest.add_targets() = TargetRegistry::WithAge(found->second, now);
    }
  }
  for (wire::StreamOrigin& origin :
       std::exchange(pending_digest_origins_, {})) {
    *digest.add_stream_origins() = std::move(origin);
  }
  *digest.mutable_relays() = RelaysForPeers();
  const bool sign_of_life_due = digests_++ % kPeriodsPerSignOfLife == 0;
  if (!digest.sender().serving() && KnowsServingPeer(now) &&
      !sign_of_life_due) {
    return;
  }
  Broadcast(digest);
  if (!digest.sender().serving() || !sign_of_life_due) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_control_digest() = std::move(sign_of_life);
  const std::string bytes = envelope.SerializeAsString();
  for (const auto& [id, peer] : peers_) {
    if (!MayServe(peer)) {
      SendTo(peer, bytes);
    }
  }
}

void FleetService::MarkSilentPeers(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (peer.alive && now - peer.last_contact_at > kAliveTimeout) {
      peer.alive = false;
      Log(LogLevel::kWarning, "control_instance_unresponsive",
          {{"id", id}, {"name", peer.record.name()}});
    }
  }
}

bool FleetService::MayServe(const Peer& peer) {
  return !peer.record.has_serving() || peer.record.serving();
}

bool FleetService::KnowsServingPeer(TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.record.serving() &&
           now - entry.second.last_contact_at < kAliveTimeout;
  });
}

void FleetService::SendTo(const Peer& peer, const std::string& bytes) {
  Endpoint endpoint;
  if (ParseEndpoint(peer.record.endpoint(), &endpoint)) {
    messenger_.Send(endpoint, bytes);
  }
}

void FleetService::Broadcast(const wire::ControlDigest& digest) {
  wire::Envelope envelope;
  *envelope.mutable_control_digest() = digest;
  const std::string bytes = envelope.SerializeAsString();
  const bool to_all =
      !digest.sender().serving() && !KnowsServingPeer(Clock::now());
  for (const auto& [id, peer] : peers_) {
    if (to_all || MayServe(peer)) {
      SendTo(peer, bytes);
    }
  }
}

std::optional<Endpoint> FleetService::BetterInstance() const {
  const TimePoint now = Clock::now();
  if (HasQuorumContact(now)) {
    return std::nullopt;
  }
  std::vector<const Peer*> serving;
  for (const auto& [id, peer] : peers_) {
    if (peer.record.serving() && now - peer.last_contact_at < kAliveTimeout) {
      serving.push_back(&peer);
    }
  }
  Endpoint messenger;
  if (serving.empty() ||
      !ParseEndpoint(serving[redirects_++ % serving.size()]->record.endpoint(),
                     &messenger)) {
    return std::nullopt;
  }
  // All instances of a deployment take calls at the same port.
  return Endpoint{messenger.host, settings_.api.port};
}

std::optional<Endpoint> FleetService::InstanceBeyondPartition() const {
  const TimePoint now = Clock::now();
  const Consensus* consensus = replica_.consensus();
  if (!consensus || HasQuorumContact(now) ||
      now - started_at_ < kAliveTimeout) {
    return std::nullopt;
  }
  size_t voters = 0;
  std::vector<const wire::Member*> silent;
  for (const wire::Member& member : consensus->members().members()) {
    voters += member.voter() ? 1 : 0;
    if (member.voter() && member.id() != settings_.process.id &&
        now - LastContactAt(member.id()) > kAliveTimeout) {
      silent.push_back(&member);
    }
  }
  const size_t in_contact = voters - silent.size();
  Endpoint messenger;
  if (silent.empty() || in_contact > voters / 2 ||
      !ParseEndpoint(silent[redirects_++ % silent.size()]->endpoint(),
                     &messenger)) {
    return std::nullopt;
  }
  return Endpoint{messenger.host, settings_.api.port};
}

TimePoint FleetService::LastContactAt(const std::string& id) const {
  const auto peer = peers_.find(id);
  return std::max(
      replica_.LastContactAt(id),
      peer == peers_.end() ? TimePoint() : peer->second.last_contact_at);
}

void FleetService::Receive(const wire::ControlDigest& digest) {
  const TimePoint now = Clock::now();
  for (const wire::StreamOrigin& origin : digest.stream_origins()) {
    stream_origins_.OnBegun(origin.attempt(), origin.software_version());
  }
  const auto known = peers_.find(digest.sender().id());
  const bool was_silent = known == peers_.end() ||
                          now - known->second.last_contact_at > kAliveTimeout;
  // It needs all targets now.
  const bool starts_to_serve = known != peers_.end() &&
                               digest.sender().serving() &&
                               !known->second.record.serving();
  if (starts_to_serve && !was_silent) {
    for (const auto& [id, entry] : targets_.entries()) {
      pending_digest_targets_.insert(id);
    }
  }
  if (was_silent) {
    Log(LogLevel::kInfo, "control_instance_reachable",
        {{"id", digest.sender().id()}, {"name", digest.sender().name()}});
    for (const auto& [id, entry] : targets_.entries()) {
      pending_digest_targets_.insert(id);
    }
  }
  UpdatePeer(digest.sender(), now);
  if (Endpoint sender; ParseEndpoint(digest.sender().endpoint(), &sender)) {
    client_.RecordContact(sender, now);
  }
  if (digest.has_relays()) {
    peers_[digest.sender().id()].relays = digest.relays();
  }
  replica_.RecordContact(digest.sender().id(), now);
  for (const wire::ControlInstanceRecord& record : digest.known()) {
    if (!peers_.contains(record.id())) {
      UpdatePeer(record, TimePoint::min());
    }
  }
  if (digest.has_target_rates() && !IsActiveLeader(now)) {
    Receive(digest.target_rates());
  }
  bool changed = false;
  for (const wire::TargetRecord& target : digest.targets()) {
    changed |=
        MergeTarget(target, now - BoundedTime<milliseconds>(target.age_ms()));
  }
  if (changed) {
    ScheduleNewsPush();
  }
}

void FleetService::UpdatePeer(const wire::ControlInstanceRecord& record,
                              TimePoint last_contact_at) {
  Endpoint endpoint;
  if (record.id() == settings_.process.id || record.id().empty() ||
      !ParseEndpoint(record.endpoint(), &endpoint)) {
    return;
  }
  Peer& peer = peers_[record.id()];
  peer.record = record;
  if (last_contact_at != TimePoint::min()) {
    peer.last_contact_at = last_contact_at;
    peer.alive = true;
  }
  client_.AddReplica(endpoint);
  replica_.AddContact(record.id(), endpoint);
}

void FleetService::ReconcileMembers(TimePoint now) {
  const Consensus* consensus = replica_.consensus();
  if (!consensus || !IsActiveLeader(now) || !consensus->MembersCommitted()) {
    return;
  }
  RaiseLogFormat();
  std::vector<ReplicaView> replicas;
  const auto add_view = [&](const std::string& id, const std::string& endpoint,
                            const std::string& zone, bool applies_log,
                            TimePoint last_contact_at) {
    ReplicaView& replica = replicas.emplace_back();
    replica.id = id;
    replica.endpoint = endpoint;
    replica.zone = zone;
    replica.alive = now - last_contact_at < kAliveTimeout;
    replica.unresponsive =
        now - std::max(last_contact_at, consensus->leading_since()) >
        kReplacementTimeout;
    replica.retired = ledger().retired().contains(id);
    replica.is_leader = id == settings_.process.id;
    replica.applies_log = applies_log;
    for (const wire::Member& member : consensus->members().members()) {
      if (member.id() == id) {
        replica.is_member = true;
        replica.is_voter = member.voter() && member.disk() != 0;
      }
    }
  };
  add_view(settings_.process.id, settings_.peers.ToString(),
           settings_.process.zone, true, now);
  for (const auto& [id, peer] : peers_) {
    // A replica that receives a snapshot sends no digests to a leader that
    // does not serve, but answers each chunk.
    add_view(id, peer.record.endpoint(), peer.record.zone(),
             Applies(peer.record), LastContactAt(id));
  }
  const size_t replica_count = 2 * settings_.tolerated_losses + 1;
  const std::optional<MemberChange> change =
      limpethatch::PlanMemberChange(replicas, replica_count);
  if (!change) {
    return;
  }
  wire::MembersChange message;
  if (change->kind == MemberChange::Kind::kAdd) {
    message.mutable_add()->set_id(change->id);
    message.mutable_add()->set_endpoint(change->endpoint);
  } else {
    message.set_remove(change->id);
  }
  const std::error_code error = replica_.ChangeMembers(message);
  Log(LogLevel::kInfo, "members_change",
      {{"change", change->kind == MemberChange::Kind::kAdd ? "add" : "remove"},
       {"replica", change->id},
       {"outcome", error ? error.message() : "proposed"}});
}

bool FleetService::Applies(const wire::ControlInstanceRecord& record) const {
  const LogFormat needed =
      log_format_proposed_ ? kNewestLogFormat : ledger().log_format();
  return LogFormat{record.log_format()} >= needed;
}

void FleetService::RaiseLogFormat() {
  if (ledger().log_format() >= kNewestLogFormat) {
    return;
  }
  const auto& members = replica_.consensus()->members().members();
  const bool all_apply_it = std::all_of(
      members.begin(), members.end(), [this](const wire::Member& member) {
        const auto peer = peers_.find(member.id());
        return member.id() == settings_.process.id ||
               (peer != peers_.end() &&
                LogFormat{peer->second.record.log_format()} >=
                    kNewestLogFormat);
      });
  if (!all_apply_it) {
    return;
  }
  wire::Command command;
  command.mutable_log_format_raise()->set_format(
      static_cast<uint32_t>(kNewestLogFormat));
  const Result<uint64_t> index = replica_.Propose(command.SerializeAsString());
  log_format_proposed_ = log_format_proposed_ || index;
  Log(LogLevel::kInfo, "log_format_raise",
      {{"from", static_cast<uint32_t>(ledger().log_format())},
       {"to", static_cast<uint32_t>(kNewestLogFormat)},
       {"outcome", index ? "proposed" : index.error().message()}});
}

const FleetService::Peer* FleetService::FindPeerByName(
    const std::string& name) const {
  for (const auto& [id, peer] : peers_) {
    if (peer.record.name() == name) {
      return &peer;
    }
  }
  return nullptr;
}

size_t FleetService::CountRemainingInstances(const std::string& id,
                                             TimePoint now) const {
  const auto remains = [&](const std::string& other) {
    return other != id && !ledger().retired().contains(other);
  };
  size_t remaining = remains(settings_.process.id) ? 1 : 0;
  for (const auto& [other, peer] : peers_) {
    remaining +=
        remains(other) && now - peer.last_contact_at < kReplacementTimeout ? 1
                                                                           : 0;
  }
  return remaining;
}

std::optional<RetirementState> FleetService::Retire(Yield yield,
                                                    const std::string& name) {
  const TimePoint now = Clock::now();
  const Peer* peer = FindPeerByName(name);
  if (!peer && name != settings_.name) {
    return HasQuorumContact(now)
               ? std::optional(RetirementState::kUnknownInstance)
               : std::nullopt;
  }
  const std::string id = peer ? peer->record.id() : settings_.process.id;
  if (!ledger().retired().contains(id)) {
    if (CountRemainingInstances(id, now) < 2 * settings_.tolerated_losses + 1) {
      return RetirementState::kTooFewRemaining;
    }
    wire::Command command;
    command.mutable_instance_retire()->set_id(id);
    if (SubmitCommand(yield, std::move(command)) != ChangeOutcome::kDone) {
      return std::nullopt;
    }
    Log(LogLevel::kInfo, "retiring", {{"name", name}, {"replica", id}});
  }
  return GetRetirementState(yield, name);
}

std::optional<RetirementState> FleetService::GetRetirementState(
    Yield,
    const std::string& name) {
  const Peer* peer = FindPeerByName(name);
  const Consensus* consensus = replica_.consensus();
  if (!consensus || !HasQuorumContact(Clock::now())) {
    return std::nullopt;
  }
  if (!peer && name != settings_.name) {
    return RetirementState::kUnknownInstance;
  }
  const std::string id = peer ? peer->record.id() : settings_.process.id;
  if (!ledger().retired().contains(id) || !consensus->MembersCommitted()) {
    return RetirementState::kRunning;
  }
  const auto& members = consensus->members().members();
  const bool member =
      std::any_of(members.begin(), members.end(),
                  [&](const auto& other) { return other.id() == id; });
  return member ? RetirementState::kRunning : RetirementState::kCompleted;
}

}  // namespace limpethatch
