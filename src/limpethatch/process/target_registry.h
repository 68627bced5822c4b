// The targets that announced themselves, as one control instance knows them.
//
// What a target says carries the time of its start, which tells incarnations
// apart, and a sequence number within its incarnation. Announcements may come
// late, also after their sender has died and another target has taken its
// address; the later incarnation at an address wins.
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
  kStale,      // Older than what is known; nothing was taken in.
  kRefreshed,  // A sign of life; nothing that routing depends on changed.
  kChanged,
};

struct TargetRegistryOptions {
  // A target that was silent for so long is forgotten. Longer than partitions
  // between control and a target that still serves usually last.
  Duration target_timeout = std::chrono::seconds(60);
  // A tombstone outlives announcements that are still on their way.
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

  // Takes in what a target said, `heard_at` being when it did.
  TargetChange Merge(const wire::TargetRecord& record, TimePoint heard_at);
  // The target left. Without `born_ms` its known incarnation is meant.
  TargetChange Leave(std::string_view id,
                     std::optional<uint64_t> born_ms,
                     TimePoint now);
  // Forgets targets that were silent too long, and old tombstones.
  void Expire(TimePoint now);

  // Grows with each change.
  uint64_t revision() const { return revision_; }
  // All records that changed behind `revision`, tombstones included.
  std::vector<wire::TargetRecord> ChangedSince(uint64_t revision,
                                               TimePoint now) const;
  const std::map<std::string, Entry, std::less<>>& entries() const {
    return entries_;
  }
  // A copy of the record with its age filled in.
  static wire::TargetRecord WithAge(const Entry& entry, TimePoint now);

 private:
  TargetChange MarkChanged(Entry& entry);
  // Ends earlier incarnations at the record's address. True if a later one
  // has it already.
  bool LosesAddressConflict(const wire::TargetRecord& record);

  const TargetRegistryOptions options_;
  std::map<std::string, Entry, std::less<>> entries_;
  uint64_t revision_ = 1;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_TARGET_REGISTRY_H_
