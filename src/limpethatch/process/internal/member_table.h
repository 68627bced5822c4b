// Merge rules of the membership: which update about a member wins.
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

// State of one member. Within an incarnation every field only moves forward, so
// messages may be delayed, duplicated or reordered.
struct Member {
  MemberInfo info;
  uint64_t key = 0;              // Hash of id and incarnation.
  uint64_t base_sequence = 0;    // Announcement that set all but the version.
  uint64_t record_sequence = 0;  // Announcement that set the version.
  uint64_t confirmed_sequence = 0;  // Newest known to carry `info`.
  uint64_t sequence = 0;            // Newest announcement.
  uint64_t gone_sequence = 0;       // Newest when it was marked gone.
  bool leaving = false;
  std::optional<TimePoint> heard_at;        // When `sequence` was announced.
  TimePoint expires_at = TimePoint::max();  // Gone then, if silent.
  TimePoint gone_since;
  MemberLoad load;

  uint64_t newest_sequence() const {
    return std::max(record_sequence, sequence);
  }
  bool gone() const { return gone_sequence >= newest_sequence(); }
  // Hash of the state that is replicated to other zones.
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

// Effect of an update on the table, weakest first.
enum class MergeEffect {
  kNone,
  kHeartbeat,  // A newer announcement, no change of state.
  kVersion,    // `record_sequence` advanced, usually with a new version.
  kState,      // A known member is leaving, gone or back.
  kRecord,     // More than a ChangeEntry holds: a new member or incarnation, or
               // other information about a known one.
};

struct MergeResult {
  MergeEffect effect = MergeEffect::kNone;
  bool incoming_is_older = false;  // In at least one field.
  bool needs_record = false;       // The change refers to an unknown record.
};

// Hashes over the members of a zone that are not gone, by BucketOf(key).
inline constexpr size_t kDigestBuckets = 16;
using BucketDigests = std::array<uint64_t, kDigestBuckets>;

// Returns the digest bucket of a member key.
size_t BucketOf(uint64_t key);
// Returns a hash of a member's id and incarnation.
uint64_t MemberKey(std::string_view id, uint64_t incarnation);
// Returns a hash of a zone name.
uint32_t ZoneKey(std::string_view zone);

class MemberTable {
 public:
  struct Limits {
    Duration member_timeout;              // Since the last announcement.
    Duration first_announcement_timeout;  // If none was received yet.
    Duration tombstone_lifetime;          // How long a gone member is kept.
  };

  MemberTable(std::string own_zone, Limits limits);

  MergeResult Announce(const Announcement& announcement, TimePoint now);
  MergeResult MergeRecord(Member incoming, TimePoint now);
  // `member` must be an element of this table.
  MergeResult MergeChange(Member& member,
                          const ChangeEntry& change,
                          TimePoint now);
  MergeResult MergeHeartbeat(Member& member, const HeartbeatEntry& entry);

  // Marks members of the own zone whose announcements timed out as gone and
  // returns them.
  std::vector<const Member*> ExpireTimedOut(TimePoint now);
  // Removes members that have been gone for longer than the tombstone lifetime.
  void PurgeTombstones(TimePoint now);
  // Extends every expiry time, for example after this process was stalled.
  void PostponeExpiry(Duration delay);

  Member* Find(const std::string& id);
  Member* FindByKey(uint64_t key);
  // Searches the own zone. Null if no member, or several, have the short key.
  Member* FindByShortKey(uint32_t short_key);
  // Returns the id that had this key in an older incarnation, or null.
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
  // Keeps the digests consistent while `change` modifies the member.
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
  // Marks the older incarnation of two members at one address as gone.
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
