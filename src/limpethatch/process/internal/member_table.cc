#include "limpethatch/process/internal/member_table.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace limpethatch {
namespace {

constexpr size_t kMaxRetiredKeys = 4096;

bool EqualExceptVersion(const MemberInfo& a, MemberInfo b) {
  b.version = a.version;
  return a == b;
}

}  // namespace

size_t BucketOf(uint64_t key) {
  return (key >> 32) % kDigestBuckets;
}

uint64_t MemberKey(std::string_view id, uint64_t incarnation) {
  return XXH3_64bits_withSeed(id.data(), id.size(), incarnation);
}

uint32_t ZoneKey(std::string_view zone) {
  return static_cast<uint32_t>(XXH3_64bits(zone.data(), zone.size()));
}

uint64_t Member::StateHash() const {
  const std::array<uint64_t, 5> state{key, base_sequence, record_sequence,
                                      info.version, leaving ? 1U : 0U};
  return XXH3_64bits(state.data(), sizeof(state));
}

MemberTable::MemberTable(std::string own_zone, Limits limits)
    : own_zone_(std::move(own_zone)),
      own_zone_key_(ZoneKey(own_zone_)),
      limits_(limits) {}

MergeResult MemberTable::Announce(const Announcement& announcement,
                                  TimePoint now) {
  Member incoming;
  incoming.info = announcement.info;
  incoming.key = MemberKey(incoming.info.id, incoming.info.incarnation);
  incoming.sequence = announcement.sequence;
  incoming.base_sequence = announcement.sequence;
  incoming.record_sequence = announcement.sequence;
  incoming.leaving = announcement.leaving;
  incoming.heard_at = now;
  incoming.load = announcement.load;
  if (const Member* known = Find(incoming.info.id);
      known != nullptr && known->key == incoming.key) {
    if (announcement.sequence < known->sequence) {
      // A newer announcement is known: only `leaving` is still applied.
      incoming.info = known->info;
      incoming.base_sequence = 0;
      incoming.record_sequence = 0;
    } else if (EqualExceptVersion(known->info, incoming.info)) {
      incoming.base_sequence = known->base_sequence;
      if (known->info.version == incoming.info.version && !known->gone()) {
        incoming.record_sequence = known->record_sequence;
      }
    }
  }
  const MergeResult result = MergeRecord(incoming, now);
  if (Member* known = Find(incoming.info.id);
      known != nullptr && known->info == announcement.info) {
    known->confirmed_sequence =
        std::max(known->confirmed_sequence, announcement.sequence);
  }
  return result;
}

MergeResult MemberTable::MergeRecord(Member incoming, TimePoint now) {
  Member* known = Find(incoming.info.id);
  if (known == nullptr) {
    if (incoming.gone()) {
      return {};
    }
    Insert(std::move(incoming), now);
    return {.effect = MergeEffect::kRecord};
  }
  if (incoming.info.incarnation < known->info.incarnation) {
    return {.effect = MergeEffect::kNone, .incoming_is_older = true};
  }
  if (incoming.info.incarnation > known->info.incarnation) {
    Replace(*known, std::move(incoming), now);
    return {.effect = MergeEffect::kRecord};
  }
  MergeEffect effect = MergeEffect::kNone;
  if (incoming.base_sequence > known->base_sequence &&
      incoming.base_sequence >= known->confirmed_sequence) {
    ReplaceInfo(*known, incoming);
    effect = MergeEffect::kRecord;
  }
  if (incoming.heard_at) {
    const MergeResult heard = MergeHeartbeat(
        *known, {incoming.sequence, *incoming.heard_at, incoming.load});
    effect = std::max(effect, heard.effect);
  }
  MergeResult result = MergeChange(*known,
                                   {.base_sequence = known->base_sequence,
                                    .record_sequence = incoming.record_sequence,
                                    .version = incoming.info.version,
                                    .leaving = incoming.leaving,
                                    .gone_sequence = incoming.gone_sequence},
                                   now);
  result.effect = std::max(result.effect, effect);
  result.incoming_is_older |= incoming.base_sequence < known->base_sequence;
  return result;
}

MergeResult MemberTable::MergeChange(Member& member,
                                     const ChangeEntry& change,
                                     TimePoint now) {
  const bool was_gone = member.gone();
  const bool was_leaving = member.leaving;
  const uint64_t old_sequence = member.record_sequence;
  Update(member, [&](Member& m) { ApplyChange(m, change, now); });
  MergeResult result;
  result.needs_record = change.base_sequence > member.base_sequence;
  result.incoming_is_older = change.record_sequence < member.record_sequence ||
                             change.gone_sequence < member.gone_sequence ||
                             (member.leaving && !change.leaving);
  if (member.gone() != was_gone || member.leaving != was_leaving) {
    result.effect = MergeEffect::kState;
  } else if (member.record_sequence != old_sequence) {
    result.effect = MergeEffect::kVersion;
  }
  return result;
}

void MemberTable::ApplyChange(Member& member,
                              const ChangeEntry& change,
                              TimePoint now) {
  const bool was_gone = member.gone();
  member.leaving |= change.leaving;
  member.gone_sequence = std::max(member.gone_sequence, change.gone_sequence);
  if (change.record_sequence > member.record_sequence &&
      change.base_sequence <= member.base_sequence) {
    // The change is obsolete if a newer announcement had a different version.
    const bool superseded =
        change.record_sequence < member.confirmed_sequence &&
        change.version != member.info.version;
    member.record_sequence =
        superseded ? member.confirmed_sequence : change.record_sequence;
    if (!superseded) {
      member.info.version = change.version;
    }
  }
  if (!member.gone() && member.gone_sequence >= member.record_sequence) {
    member.record_sequence =
        member.sequence;  // Tells peers that the member is back.
  }
  if (member.gone() && !was_gone) {
    member.gone_since = now;
  }
  if (was_gone && !member.gone() && InOwnZone(member)) {
    member.heard_at.reset();
    SetExpiry(member, now);
  }
}

void MemberTable::ReplaceInfo(Member& member, const Member& incoming) {
  Update(member, [&](Member& m) {
    const std::string zone = m.info.zone;
    const uint64_t version = m.info.version;
    m.info = incoming.info;
    m.info.zone = zone;        // A member never changes its zone.
    m.info.version = version;  // Ordered by record_sequence instead.
    m.base_sequence = incoming.base_sequence;
  });
}

MergeResult MemberTable::MergeHeartbeat(Member& member,
                                        const HeartbeatEntry& entry) {
  if (entry.sequence <= member.sequence && member.heard_at) {
    return {};
  }
  const bool was_gone = member.gone();
  Update(member, [&](Member& m) {
    m.sequence = std::max(m.sequence, entry.sequence);
    m.heard_at = entry.heard_at;
    m.load = entry.load;
    m.expires_at = entry.heard_at + limits_.member_timeout;
    if (was_gone && !m.gone()) {
      m.record_sequence = m.sequence;
    }
  });
  const bool back = was_gone && !member.gone();
  return {.effect = back ? MergeEffect::kState : MergeEffect::kHeartbeat};
}

std::vector<const Member*> MemberTable::ExpireTimedOut(TimePoint now) {
  std::vector<const Member*> silent;
  for (const auto& [short_key, member] : by_short_key_) {
    if (!member->gone() && now > member->expires_at) {
      MarkGone(*member, now);
      silent.push_back(member);
    }
  }
  return silent;
}

void MemberTable::PurgeTombstones(TimePoint now) {
  std::vector<std::string> forgotten;
  for (const auto& [id, member] : members_) {
    if (member.gone() && now - member.gone_since > limits_.tombstone_lifetime) {
      forgotten.push_back(id);
    }
  }
  for (const std::string& id : forgotten) {
    Unindex(members_.at(id));
    members_.erase(id);
  }
}

void MemberTable::PostponeExpiry(Duration delay) {
  for (auto& [id, member] : members_) {
    if (member.expires_at != TimePoint::max()) {
      member.expires_at += delay;
    }
  }
}

Member* MemberTable::Find(const std::string& id) {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

Member* MemberTable::FindByKey(uint64_t key) {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

Member* MemberTable::FindByShortKey(uint32_t short_key) {
  const auto [first, last] = by_short_key_.equal_range(short_key);
  if (first == last || std::next(first) != last) {
    return nullptr;
  }
  return first->second;
}

const std::string* MemberTable::RetiredId(uint64_t key) const {
  const auto found = retired_.find(key);
  return found == retired_.end() ? nullptr : &found->second;
}

template <typename Change>
void MemberTable::Update(Member& member, Change change) {
  ToggleDigest(member);
  change(member);
  ToggleDigest(member);
}

void MemberTable::ToggleDigest(const Member& member) {
  if (!member.gone()) {
    digests_[ZoneKey(member.info.zone)][BucketOf(member.key)] ^=
        member.StateHash();
  }
}

void MemberTable::Index(Member& member) {
  by_key_[member.key] = &member;
  if (InOwnZone(member)) {
    by_short_key_.emplace(static_cast<uint32_t>(member.key), &member);
  }
}

void MemberTable::Unindex(const Member& member) {
  by_key_.erase(member.key);
  std::erase_if(by_short_key_,
                [&](const auto& entry) { return entry.second == &member; });
}

void MemberTable::Insert(Member incoming, TimePoint now) {
  const std::string id = incoming.info.id;
  Member& member = members_[id] = std::move(incoming);
  SetExpiry(member, now);
  Index(member);
  ToggleDigest(member);
  ResolveAddressConflict(member, now);
}

void MemberTable::Replace(Member& member, Member incoming, TimePoint now) {
  RetireKey(member);
  Unindex(member);
  Update(member, [&](Member& m) {
    m = std::move(incoming);
    m.gone_since = now;
    SetExpiry(m, now);
  });
  Index(member);
  ResolveAddressConflict(member, now);
}

void MemberTable::RetireKey(const Member& member) {
  retired_[member.key] = member.info.id;
  retired_order_.push_back(member.key);
  if (retired_order_.size() > kMaxRetiredKeys) {
    retired_.erase(retired_order_.front());
    retired_order_.pop_front();
  }
}

void MemberTable::ResolveAddressConflict(Member& member, TimePoint now) {
  for (auto& [id, other] : members_) {
    if (&other == &member || other.gone() || member.gone() ||
        other.info.address != member.info.address) {
      continue;
    }
    const bool other_is_older =
        other.info.incarnation < member.info.incarnation;
    MarkGone(other_is_older ? other : member, now);
  }
}

void MemberTable::SetExpiry(Member& member, TimePoint now) const {
  member.expires_at = member.heard_at
                          ? *member.heard_at + limits_.member_timeout
                          : now + limits_.first_announcement_timeout;
}

void MemberTable::MarkGone(Member& member, TimePoint now) {
  Update(member, [&](Member& m) {
    m.gone_sequence = m.newest_sequence();
    m.gone_since = now;
  });
}

}  // namespace limpethatch
