// Registry of announced targets on one control instance.
//
// An announcement carries the target's start time, which identifies its
// incarnation, and a sequence number within the incarnation. Announcements may
// be delayed, even until their sender has died and another target uses its
// address. The later incarnation at an address wins.
#ifndef LIMPETHATCH_PROCESS_TARGET_REGISTRY_H_
#define LIMPETHATCH_PROCESS_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

enum class TargetChange {
  kStale,      // Older than the known state; ignored.
  kRefreshed,  // A heartbeat without changes that affect routing.
  kChanged,
};

struct TargetRegistryOptions {
  // A target without announcements is removed after this time. Longer than
  // usual partitions between control and a target that still serves.
  Duration target_timeout = std::chrono::seconds(60);
  // Tombstones must outlive announcements that are still in transit.
  Duration tombstone_lifetime = std::chrono::seconds(120);
};

class TargetRegistry {
 public:
  struct Entry {
    wire::TargetRecord record;
    TimePoint heard_at;
    uint64_t changed_at = 0;  // Revision.
  };

  explicit TargetRegistry(TargetRegistryOptions options = {});

  // Merges an announcement that was made at `heard_at`.
  TargetChange Merge(const wire::TargetRecord& record, TimePoint heard_at);
  // Marks a target as gone. Without `born_ms`, applies to its known
  // incarnation.
  TargetChange Leave(std::string_view id,
                     std::optional<uint64_t> born_ms,
                     TimePoint now);
  // Marks a target as draining that said so in an answer.
  TargetChange MarkDraining(std::string_view id, uint64_t born_ms);
  // Marks timed-out targets as gone and removes expired tombstones.
  void Expire(TimePoint now);

  // Increases with each change.
  uint64_t revision() const { return revision_; }
  // Returns all records changed after `revision`, including tombstones.
  std::vector<wire::TargetRecord> ChangedSince(uint64_t revision,
                                               TimePoint now) const;
  const std::map<std::string, Entry, std::less<>>& entries() const {
    return entries_;
  }
  // Returns a copy of the record with its age set.
  static wire::TargetRecord WithAge(const Entry& entry, TimePoint now);

 private:
  TargetChange MarkChanged(Entry& entry);
  // Marks earlier incarnations at the record's address as gone. Returns true if
  // a later one already uses the address.
  bool LosesAddressConflict(const wire::TargetRecord& record);

  const TargetRegistryOptions options_;
  std::map<std::string, Entry, std::less<>> entries_;
  uint64_t revision_ = 1;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_TARGET_REGISTRY_H_
