#include "limpethatch/process/membership.h"

#include <algorithm>
#include <utility>

#include "limpethatch/process/internal/gossip_codec.h"
#include "limpethatch/process/internal/reconcile.h"

namespace limpethatch {
namespace {

// Gossip rounds for which a join, a leave, a mark or a report is repeated.
constexpr int kRumorRounds = 4;
// The same for a change of an engine's weight version. Fewer are enough, since
// the engine also states the version in each of its answers.
constexpr int kVersionRumorRounds = 1;
// A longer pause between two ticks means that this process was stalled.
constexpr Duration kStallThreshold = std::chrono::seconds(1);
// The first digests are also sent to seeds, so that instances that start at the
// same time discover each other.
constexpr uint64_t kInitialSeedDigests = 10;
constexpr size_t kInitialSeedFanout = 2;
// After that, one in this many digests is also sent to a seed.
constexpr uint64_t kSeedDigestInterval = 5;
// An "unreachable" report is renewed this often during its lifetime.
constexpr int kReportsPerLifetime = 3;

// Returns a random time within `period` from now, so that instances do not
// send at the same moment.
TimePoint Stagger(PeerSampler& peers, Duration period, TimePoint now) {
  return now + Duration(static_cast<int64_t>(
                   peers.Random() % static_cast<uint64_t>(period.count())));
}

}  // namespace

Membership::Membership(MembershipOptions options,
                       MarkRules mark_rules,
                       std::mt19937_64 random,
                       TimePoint now)
    : options_(std::move(options)),
      self_key_(MemberKey(options_.self.id, options_.self.incarnation)),
      self_{.info = options_.self, .sequence = 0, .load = {}},
      table_(options_.self.zone,
             {.member_timeout = options_.member_timeout,
              .first_announcement_timeout =
                  options_.member_timeout - options_.heartbeat_period,
              .tombstone_lifetime = options_.tombstone_lifetime}),
      marks_(std::move(mark_rules)),
      reachability_(options_.report_lifetime),
      contacts_(options_.zone_timeout),
      peers_(random),
      last_tick_(now),
      next_heartbeat_(now),
      next_gossip_(Stagger(peers_, options_.gossip_period, now)),
      next_digest_(now) {
  AnnounceSelf(now);
}

void Membership::Announce(const Announcement& announcement, TimePoint now) {
  const MergeResult result = table_.Announce(announcement, now);
  const Member* member = table_.Find(announcement.info.id);
  if (member == nullptr) {
    return;
  }
  ApplyMergeResult(*member, result, true);
  if (!table_.InOwnZone(*member)) {
    // The target announced itself to another zone: forward it to its own zone.
    wire::GossipMessage message = NewMessage(now);
    EncodeRecord(*member, now, message.add_records());
    RefreshPeers();
    Queue(peers_.PeersInZone(ZoneKey(member->info.zone), options_.rumor_fanout),
          std::move(message));
  }
}

void Membership::Tick(TimePoint now) {
  if (now - last_tick_ > kStallThreshold) {
    table_.PostponeExpiry(now - last_tick_);
    contacts_.PostponeExpiry(now - last_tick_);
  }
  last_tick_ = now;
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat_period;
    AnnounceSelf(now);
  }
  ExpireMembers(now);
  RefreshPeers();
  SpreadRumors(now);
  if (now >= next_gossip_) {
    next_gossip_ = now + options_.gossip_period;
    ExpireAuxiliaryState(now);
    SpreadHeartbeats(now);
  }
  if (now >= next_digest_) {
    next_digest_ = now + options_.digest_period;
    SpreadDigest(now);
  }
}

void Membership::Leave(TimePoint now) {
  self_.leaving = true;
  AnnounceSelf(now);
}

void Membership::SetManifestVersion(uint64_t version) {
  if (version > manifest_version_) {
    manifest_version_ = version;
    manifest_version_rounds_ = kRumorRounds;
  }
}

void Membership::AddMark(const std::string& key,
                         std::string_view value,
                         TimePoint now) {
  if (marks_.Merge(key, value, Duration::zero(), now)) {
    mark_rumors_.Add(key, kRumorRounds);
    output_.changed_marks.push_back(key);
  }
}

void Membership::ReportReachability(const std::string& id,
                                    bool reachable,
                                    TimePoint now) {
  const Member* member = table_.Find(id);
  if (member == nullptr) {
    return;
  }
  const ReportKey key{member->key, self_key_};
  const ReachabilityTable::Report* last = reachability_.Find(key);
  const bool same = reachable == (last == nullptr || last->reachable);
  const bool recent =
      last == nullptr ||
      now - last->reported_at < options_.report_lifetime / kReportsPerLifetime;
  if (same && (reachable || recent)) {
    return;
  }
  reachability_.Merge(key, {++report_counter_, reachable, now});
  report_rumors_.Add(key, kRumorRounds);
  output_.members_changed |= !same;
}

MembershipOutput Membership::TakeOutput() {
  return std::exchange(output_, {});
}

std::vector<MemberView> Membership::Members(TimePoint now) const {
  std::vector<MemberView> views;
  views.reserve(table_.members().size());
  for (const auto& [id, member] : table_.members()) {
    const bool own_zone = table_.InOwnZone(member);
    if (member.gone() || member.key == self_key_ ||
        (own_zone && !member.heard_at)) {
      continue;
    }
    views.push_back({.info = member.info,
                     .state = StateOf(member, now),
                     .own_zone = own_zone,
                     .load = member.load,
                     .load_age = member.heard_at ? now - *member.heard_at
                                                 : Duration::zero()});
  }
  return views;
}

MemberState Membership::StateOf(const Member& member, TimePoint now) const {
  if (member.leaving) {
    return MemberState::kLeaving;
  }
  const bool cut_off = !table_.InOwnZone(member) &&
                       contacts_.IsCutOff(ZoneKey(member.info.zone), now);
  const size_t quorum = std::min<size_t>(2, peers_.own_zone_count() + 1);
  if (cut_off ||
      reachability_.IsUnreachable(member.key, self_key_, quorum, now)) {
    return MemberState::kUnreachable;
  }
  return MemberState::kServing;
}

std::optional<std::string> Membership::Mark(const std::string& key) const {
  const auto found = marks_.marks().find(key);
  if (found == marks_.marks().end()) {
    return std::nullopt;
  }
  return found->second.value;
}

wire::GossipMessage Membership::NewMessage(TimePoint now) const {
  wire::GossipMessage message;
  message.set_from(self_key_);
  message.set_zone(table_.own_zone_key());
  message.set_sequence(self_.sequence);
  message.set_sent_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count()));
  message.set_manifest_version(manifest_version_);
  return message;
}

void Membership::AddContacts(TimePoint now,
                             wire::GossipMessage* message) const {
  for (const auto& [zone, at] : contacts_.last_contacts()) {
    if (!contacts_.IsCutOff(zone, now)) {
      message->mutable_contacts()->add_zones(zone);
      message->mutable_contacts()->add_age_units(EncodeAge(at, now));
    }
  }
}

void Membership::Queue(std::vector<Endpoint> to, wire::GossipMessage message) {
  if (!to.empty()) {
    output_.sends.push_back({std::move(to), std::move(message)});
  }
}

void Membership::ApplyMergeResult(const Member& member,
                                  const MergeResult& result,
                                  bool spread) {
  if (result.effect == MergeEffect::kNone) {
    return;
  }
  if (table_.InOwnZone(member) && member.heard_at) {
    pending_heartbeats_.insert(member.key);
    output_.loads_changed = true;
  }
  if (result.effect == MergeEffect::kHeartbeat) {
    return;
  }
  output_.members_changed = true;
  peers_changed_ |= member.info.kind == MemberKind::kInstance &&
                    result.effect != MergeEffect::kVersion;
  if (!spread) {
    return;
  }
  if (result.effect == MergeEffect::kRecord) {
    record_rumors_.Add(member.info.id, kRumorRounds);
  } else {
    change_rumors_.Add(member.info.id, result.effect == MergeEffect::kVersion
                                           ? kVersionRumorRounds
                                           : kRumorRounds);
  }
}

void Membership::AnnounceSelf(TimePoint now) {
  const Member* self = table_.Find(self_.info.id);
  // Peers may have marked this instance as gone at a later sequence.
  const uint64_t gone_sequence = self == nullptr ? 0 : self->gone_sequence;
  self_.sequence = std::max(self_.sequence, gone_sequence) + 1;
  const MergeResult result = table_.Announce(self_, now);
  if (self = table_.Find(self_.info.id); self->key == self_key_) {
    ApplyMergeResult(*self, result, true);
  }
}

void Membership::RefreshPeers() {
  if (std::exchange(peers_changed_, false)) {
    peers_.Rebuild(table_, self_.info.id);
  }
}

void Membership::ExpireMembers(TimePoint now) {
  for (const Member* member : table_.ExpireTimedOut(now)) {
    ApplyMergeResult(*member, {.effect = MergeEffect::kState}, true);
  }
}

void Membership::ExpireAuxiliaryState(TimePoint now) {
  table_.PurgeTombstones(now);
  marks_.Expire(now);
  delay_estimator_.Expire(now);
  output_.members_changed |= reachability_.Expire(now);
  output_.members_changed |= contacts_.TakeChange(now);
  std::erase_if(unanswered_requests_, [&](const auto& entry) {
    const auto& [peer, since] = entry;
    const bool silent = now - since > options_.answer_timeout;
    if (silent) {
      output_.unresponsive_peers.push_back(peer);
    }
    return silent;
  });
}

void Membership::SpreadRumors(TimePoint now) {
  wire::GossipMessage message = NewMessage(now);
  for (const std::string& id : record_rumors_.TakeRound()) {
    if (const Member* member = table_.Find(id); member != nullptr) {
      EncodeRecord(*member, now, message.add_records());
    }
  }
  for (const std::string& id : change_rumors_.TakeRound()) {
    if (const Member* member = table_.Find(id); member != nullptr) {
      EncodeChange(*member, message.add_changes());
    }
  }
  for (const std::string& key : mark_rumors_.TakeRound()) {
    if (const auto found = marks_.marks().find(key);
        found != marks_.marks().end()) {
      EncodeMark(key, found->second, now, message.add_marks());
    }
  }
  const bool for_all_zones =
      message.records_size() > 0 || message.changes_size() > 0 ||
      message.marks_size() > 0 || manifest_version_rounds_ > 0;
  manifest_version_rounds_ = std::max(0, manifest_version_rounds_ - 1);
  if (for_all_zones) {
    Queue(peers_.OtherZonePeers(1), message);
  }
  for (const ReportKey& key : report_rumors_.TakeRound()) {
    if (const auto* report = reachability_.Find(key); report != nullptr) {
      EncodeReport(key, *report, now, message.add_reachability());
    }
  }
  if (for_all_zones || message.reachability_size() > 0) {
    Queue(peers_.OwnZonePeers(options_.rumor_fanout), std::move(message));
  }
}

void Membership::SpreadHeartbeats(TimePoint now) {
  wire::GossipMessage message = NewMessage(now);
  AddPendingHeartbeats(now, &message);
  AddProbes(now, &message);
  AddContacts(now, &message);
  Queue(peers_.RingNextAndOwnZonePeers(options_.heartbeat_fanout),
        std::move(message));
}

void Membership::AddPendingHeartbeats(TimePoint now,
                                      wire::GossipMessage* message) {
  for (const uint64_t key : pending_heartbeats_) {
    if (const Member* member = table_.FindByKey(key);
        member != nullptr && member->heard_at && !member->gone()) {
      AddHeartbeat(*member, now, message->mutable_heartbeats());
    }
  }
  pending_heartbeats_.clear();
}

void Membership::AddProbes(TimePoint now, wire::GossipMessage* message) const {
  for (const auto& [short_key, member] : table_.own_zone_members()) {
    if (!member->gone() &&
        (!member->heard_at || now - *member->heard_at > options_.probe_after)) {
      message->add_probes(short_key);
    }
  }
}

void Membership::SpreadDigest(TimePoint now) {
  wire::GossipMessage message = NewMessage(now);
  message.set_address(self_.info.address);
  FillDigest(table_, marks_, message.mutable_digest());
  AddContacts(now, &message);
  // Together the instances of this zone contact every other zone once per
  // period.
  const size_t instances = peers_.own_zone_count() + 1;
  const size_t zones = (peers_.other_zone_count() + instances - 1) / instances;
  QueueRequest(peers_.OwnZonePeers(1), message, now);
  QueueRequest(peers_.OtherZonePeers(zones), message, now);
  QueueRequest(peers_.GonePeer(), std::move(message), now);
  ++digests_sent_;
  if (peers_.empty() || digests_sent_ <= kInitialSeedDigests) {
    QueueSeedRequests(kInitialSeedFanout, now);
  } else if (digests_sent_ % kSeedDigestInterval == 0) {
    QueueSeedRequests(1, now);
  }
}

void Membership::QueueRequest(std::vector<Endpoint> to,
                              wire::GossipMessage message,
                              TimePoint now) {
  for (const Endpoint& peer : to) {
    unanswered_requests_.try_emplace(peer, now);
  }
  Queue(std::move(to), std::move(message));
}

void Membership::QueueSeedRequests(size_t count, TimePoint now) {
  std::vector<Endpoint> seeds = options_.seeds;
  peers_.KeepRandomSample(count, &seeds);
  wire::GossipMessage message = NewMessage(now);
  message.set_address(self_.info.address);
  FillDigest(table_, marks_, message.mutable_digest());
  EncodeRecord(*table_.Find(self_.info.id), now, message.add_records());
  QueueRequest(std::move(seeds), std::move(message), now);
}

}  // namespace limpethatch
