// The merge rules of the membership: which word about a member stands.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_MEMBER_TABLE_H_
#define LIMPETHATCH_PROCESS_INTERNAL_MEMBER_TABLE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/member.h"

namespace limpethatch {

// One member. Within an incarnation every field only moves forward, so that
// messages may come late, twice and in any order.
struct Member {
  MemberInfo info;
  uint64_t key = 0;              // Of id and incarnation.
  uint64_t base_sequence = 0;    // Announcement that set all but the version.
  uint64_t record_sequence = 0;  // Announcement that set the version.
  uint64_t confirmed_sequence = 0;  // Newest announcement seen to say `info`.
  uint64_t sequence = 0;            // Newest announcement.
  uint64_t gone_sequence = 0;       // None came behind this one in time.
  bool leaving = false;
  std::optional<TimePoint> heard_at;        // When `sequence` was announced.
  TimePoint expires_at = TimePoint::max();  // Gone then, unless heard.
  TimePoint gone_since;
  MemberLoad load;

  uint64_t newest_sequence() const {
    return std::max(record_sequence, sequence);
  }
  bool gone() const { return gone_sequence >= newest_sequence(); }
  // A hash of what other zones know of it.
  uint64_t StateHash() const;
};

// A heartbeat or change from another instance.
struct HeartbeatEntry {
  uint64_t sequence = 0;
  TimePoint heard_at;
  MemberLoad load;
};
struct ChangeEntry {
  uint64_t base_sequence = 0;
  uint64_t record_sequence = 0;
  uint64_t version = 0;
  bool leaving = false;
  uint64_t gone_sequence = 0;
};

// How far a word moved the table.
enum class MergeEffect {
  kNone,
  kHeartbeat,  // Only a newer announcement of the same state.
  kVersion,    // The state, without a join or a leaving.
  kState,      // Joined, left, gone or back.
  kRecord,     // More than a change can say, as a new incarnation.
};

struct MergeResult {
  MergeEffect effect = MergeEffect::kNone;
  bool incoming_is_older = false;  // In some respect.
  bool needs_record = false;       // The change builds on an unknown record.
};

// Hashes over the present members of a zone, by BucketOf(key).
inline constexpr size_t kDigestBuckets = 16;
using BucketDigests = std::array<uint64_t, kDigestBuckets>;

size_t BucketOf(uint64_t key);
uint64_t MemberKey(std::string_view id, uint64_t incarnation);
uint32_t ZoneKey(std::string_view zone);

class MemberTable {
 public:
  struct Limits {
    Duration member_timeout;  // A member of the own zone is gone after this.
    Duration first_announcement_timeout;  // The same for one never heard.
    Duration tombstone_lifetime;  // A gone member is remembered for this long.
  };

  MemberTable(std::string own_zone, Limits limits);

  MergeResult Announce(const Announcement& announcement, TimePoint now);
  MergeResult MergeRecord(Member incoming, TimePoint now);
  // `member` is one of this table.
  MergeResult MergeChange(Member& member,
                          const ChangeEntry& change,
                          TimePoint now);
  MergeResult MergeHeartbeat(Member& member, const HeartbeatEntry& entry);

  // Marks silent members of the own zone as gone; returns them.
  std::vector<const Member*> ExpireTimedOut(TimePoint now);
  // Drops members that have been gone for long.
  void PurgeTombstones(TimePoint now);
  // Puts off every expiry, as after this process stood still.
  void PostponeExpiry(Duration delay);

  Member* Find(const std::string& id);
  Member* FindByKey(uint64_t key);
  // Of the own zone; null if the short key fits none or several.
  Member* FindByShortKey(uint32_t short_key);
  // The id that once had this key in an older incarnation.
  const std::string* RetiredId(uint64_t key) const;

  uint32_t own_zone_key() const { return own_zone_key_; }
  bool InOwnZone(const Member& member) const {
    return member.info.zone == own_zone_;
  }
  const std::unordered_map<std::string, Member>& members() const {
    return members_;
  }
  // By short key.
  const std::unordered_multimap<uint32_t, Member*>& own_zone_members() const {
    return by_short_key_;
  }
  // By zone key.
  const std::map<uint32_t, BucketDigests>& digests() const { return digests_; }

 private:
  // Keeps digests and key indexes right around a change of a member.
  template <typename Change>
  void Update(Member& member, Change change);
  void ToggleDigest(const Member& member);
  void Index(Member& member);
  void Unindex(const Member& member);
  void ReplaceInfo(Member& member, const Member& incoming);
  void ApplyChange(Member& member, const ChangeEntry& change, TimePoint now);
  void Insert(Member incoming, TimePoint now);
  void Replace(Member& member, Member incoming, TimePoint now);
  void RetireKey(const Member& member);
  // Of two members at one address the older incarnation is gone.
  void ResolveAddressConflict(Member& member, TimePoint now);
  void SetExpiry(Member& member, TimePoint now) const;
  void MarkGone(Member& member, TimePoint now);

  const std::string own_zone_;
  const uint32_t own_zone_key_;
  const Limits limits_;
  std::unordered_map<std::string, Member> members_;  // By id.
  std::unordered_map<uint64_t, Member*> by_key_;
  std::unordered_multimap<uint32_t, Member*> by_short_key_;
  std::map<uint32_t, BucketDigests> digests_;
  std::unordered_map<uint64_t, std::string> retired_;
  std::deque<uint64_t> retired_order_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_INTERNAL_MEMBER_TABLE_H_
