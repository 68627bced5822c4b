#include "limpethatch/process/durable_log.h"

namespace limpethatch {
namespace {

Result<SharedSnapshot> ReadSnapshot(std::string_view file) {
  if (file.empty()) {
    return SharedSnapshot();
  }
  LogContents contents = DecodeFrames(file);
  if (contents.tail != LogTail::kClean || contents.records.size() != 1 ||
      !contents.records.front().has_snapshot()) {
    return make_error_code(StorageError::kCorrupt);
  }
  wire::SnapshotRecord& record = *contents.records.front().mutable_snapshot();
  auto snapshot = std::make_shared<StateSnapshot>();
  snapshot->index = record.index();
  snapshot->term = record.term();
  if (record.has_members()) {
    snapshot->members = std::move(*record.mutable_members());
  }
  snapshot->state.Append(std::move(*record.mutable_state()));
  return SharedSnapshot(std::move(snapshot));
}

// Inserts an entry at its index and drops all later ones; false if an earlier
// entry is missing.
bool PlaceEntry(wire::LogEntry entry,
                uint64_t snapshot_index,
                std::vector<wire::LogEntry>* entries) {
  if (entry.index() <= snapshot_index) {
    return true;
  }
  const size_t position = entry.index() - snapshot_index - 1;
  if (position > entries->size()) {
    return false;
  }
  entries->resize(position);
  entries->push_back(std::move(entry));
  return true;
}

// True if the log has another entry at the snapshot's index: the process
// stopped after it had written the snapshot, but before it had rewritten the
// log. The log's entries then belong to another history and are dropped.
bool ConflictsWithSnapshot(const StateSnapshot* snapshot,
                           const wire::LogEntry& entry) {
  return snapshot && entry.index() == snapshot->index &&
         entry.term() != snapshot->term;
}

}  // namespace

Result<LogRecovery> RecoverLog(std::string_view snapshot_file,
                               std::string_view log_file) {
  const Result<SharedSnapshot> snapshot = ReadSnapshot(snapshot_file);
  if (!snapshot) {
    return snapshot.error();
  }
  LogContents contents = DecodeFrames(log_file);
  LogRecovery recovery;
  recovery.existed = !snapshot_file.empty() || !log_file.empty();
  recovery.tail = contents.tail;
  recovery.state.snapshot = snapshot.value();
  if (!recovery.existed) {
    return recovery;
  }
  // The first frame was written by an atomic replacement and must be complete.
  if (contents.tail == LogTail::kCorrupt || contents.records.empty() ||
      !contents.records.front().has_header()) {
    return make_error_code(StorageError::kCorrupt);
  }
  if (contents.records.front().header().format() > kLogFormat) {
    return make_error_code(StorageError::kUnknownFormat);
  }
  const StateSnapshot* base = recovery.state.snapshot.get();
  const uint64_t base_index = base ? base->index : 0;
  if (base_index < contents.records.front().header().snapshot_index()) {
    return make_error_code(StorageError::kCorrupt);
  }
  bool has_conflict = false;
  for (wire::LogRecord& record : contents.records) {
    if (record.has_hard_state()) {
      recovery.state.hard_state = std::move(*record.mutable_hard_state());
    } else if (record.has_entry()) {
      has_conflict =
          has_conflict || ConflictsWithSnapshot(base, record.entry());
      if (!has_conflict && !PlaceEntry(std::move(*record.mutable_entry()),
                                       base_index, &recovery.state.entries)) {
        return make_error_code(StorageError::kCorrupt);
      }
    }
  }
  if (has_conflict) {
    recovery.state.entries.clear();
  }
  return recovery;
}

std::vector<wire::LogRecord> MakeLogFileRecords(
    const wire::HardState& hard_state,
    uint64_t snapshot_index,
    std::span<const wire::LogEntry> entries) {
  std::vector<wire::LogRecord> records(2);
  records[0].mutable_header()->set_format(kLogFormat);
  records[0].mutable_header()->set_snapshot_index(snapshot_index);
  *records[1].mutable_hard_state() = hard_state;
  for (const wire::LogEntry& entry : entries) {
    *records.emplace_back().mutable_entry() = entry;
  }
  return records;
}

}  // namespace limpethatch
