#include "limpethatch/process/durable_log.h"

namespace limpethatch {
namespace {

Result<SharedSnapshot> ReadSnapshot(std::string_view file) {
  if (file.empty()) {
    return SharedSnapshot();
  }
  LogContents contents = DecodeFrames(file);
  if (contents.end != LogEnd::kClean || contents.records.size() != 1 ||
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

// Puts an entry where it belongs; false if one is missing before it.
bool Place(wire::LogEntry entry,
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

// A log that still has to be cut after a snapshot of another history starts
// over: its entries before the snapshot do not lead to it.
bool Contradicts(const StateSnapshot* snapshot, const wire::LogEntry& entry) {
  return snapshot && entry.index() == snapshot->index &&
         entry.term() != snapshot->term;
}

}  // namespace

Result<LogRecovery> Recover(std::string_view snapshot_file,
                            std::string_view log_file) {
  const Result<SharedSnapshot> snapshot = ReadSnapshot(snapshot_file);
  if (!snapshot) {
    return snapshot.error();
  }
  LogContents contents = DecodeFrames(log_file);
  LogRecovery found;
  found.existed = !snapshot_file.empty() || !log_file.empty();
  found.end = contents.end;
  found.state.snapshot = snapshot.value();
  if (!found.existed) {
    return found;
  }
  // The first frame comes from an atomic replacement and is always whole.
  if (contents.end == LogEnd::kCorrupt || contents.records.empty() ||
      !contents.records.front().has_header()) {
    return make_error_code(StorageError::kCorrupt);
  }
  if (contents.records.front().header().format() > kLogFormat) {
    return make_error_code(StorageError::kUnknownFormat);
  }
  const StateSnapshot* base = found.state.snapshot.get();
  const uint64_t base_index = base ? base->index : 0;
  if (base_index < contents.records.front().header().snapshot_index()) {
    return make_error_code(StorageError::kCorrupt);
  }
  bool contradicts = false;
  for (wire::LogRecord& record : contents.records) {
    if (record.has_hard_state()) {
      found.state.hard_state = std::move(*record.mutable_hard_state());
    } else if (record.has_entry()) {
      contradicts = contradicts || Contradicts(base, record.entry());
      if (!contradicts && !Place(std::move(*record.mutable_entry()), base_index,
                                 &found.state.entries)) {
        return make_error_code(StorageError::kCorrupt);
      }
    }
  }
  if (contradicts) {
    found.state.entries.clear();
  }
  return found;
}

std::vector<wire::LogRecord> LogFileRecords(
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
