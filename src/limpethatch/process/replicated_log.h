// The in-memory part of the replicated log.
#ifndef LIMPETHATCH_PROCESS_REPLICATED_LOG_H_
#define LIMPETHATCH_PROCESS_REPLICATED_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "consensus.pb.h"
#include "limpethatch/process/state_snapshot.h"

namespace limpethatch {

// The entries that follow a snapshot. Indexes start at 1 without gaps.
class ReplicatedLog {
 public:
  ReplicatedLog() = default;
  ReplicatedLog(SharedSnapshot snapshot, std::vector<wire::LogEntry> entries);

  // The snapshot that the entries follow, or null.
  const SharedSnapshot& snapshot() const { return snapshot_; }
  uint64_t snapshot_index() const;
  uint64_t last_index() const { return snapshot_index() + entries_.size(); }
  uint64_t last_term() const { return *TermAt(last_index()); }

  // The term of the entry at `index`; nullopt if that entry is neither in the
  // log nor the last one of the snapshot.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  // Requires snapshot_index() < index <= last_index().
  const wire::LogEntry& At(uint64_t index) const;
  std::vector<wire::LogEntry> Range(uint64_t first, uint64_t last) const;

  void Append(wire::LogEntry entry);
  void TruncateFrom(uint64_t index);
  // Drops all entries that the snapshot covers, or the whole log if its entry
  // at the snapshot's index is missing or differs.
  void Install(SharedSnapshot snapshot);
  // Releases the state of the snapshot, which is on disk; keeps its metadata.
  void DropSnapshotState();
  // Total size of the commands held in memory.
  size_t command_bytes() const { return command_bytes_; }

  // The latest members in the entries or the snapshot; null if there are none.
  const wire::Members* members() const;
  // The log index of members(); 0 if there are none.
  uint64_t members_index() const;

 private:
  SharedSnapshot snapshot_;
  std::deque<wire::LogEntry> entries_;
  size_t command_bytes_ = 0;
  std::map<uint64_t, wire::Members> members_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_REPLICATED_LOG_H_
