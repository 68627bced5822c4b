// The consensus state on disk: a log file and a snapshot file.
//
// The log file holds a header with the format, the hard state and the entries
// that follow the snapshot. It is rewritten after each snapshot, so that
// neither its size nor the start-up time grows with history.
//
// Recovery truncates a torn tail. It also truncates a damaged last frame; the
// disk then takes a new identity, since it may have lost acknowledged entries.
// On damage before the last frame or in the snapshot, both files are renamed
// to *.damaged: the replica starts empty with a new identity, but does not
// count as blank.
#ifndef LIMPETHATCH_PROCESS_DURABLE_LOG_H_
#define LIMPETHATCH_PROCESS_DURABLE_LOG_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/process/consensus_types.h"
#include "limpethatch/process/disk.h"
#include "limpethatch/process/log_record.h"

namespace limpethatch {

// The recovered state and the condition of the files.
struct LogRecovery {
  DurableState state{};
  bool existed = false;
  LogTail tail = LogTail::kClean;
};

// Combines the contents of both files; kCorrupt if they are inconsistent,
// kUnknownFormat if a later release wrote the log file.
Result<LogRecovery> RecoverLog(std::string_view snapshot_file,
                               std::string_view log_file);

// The records of a complete new log file.
std::vector<wire::LogRecord> MakeLogFileRecords(
    const wire::HardState& hard_state,
    uint64_t snapshot_index,
    std::span<const wire::LogEntry> entries);

template <Disk D>
class DurableLog {
 public:
  explicit DurableLog(D& disk) : disk_(disk) {}

  // Reads the state, increments the boot counter and syncs it. `new_disk_id`
  // and `session` must be random and not 0.
  Result<DurableState> Open(uint64_t new_disk_id, uint64_t session) {
    failed_ = true;
    Result<LogRecovery> read = ReadFiles();
    if (!read) {
      return read.error();
    }
    LogRecovery& recovery = read.value();
    tail_ = recovery.tail;
    wire::HardState& hard_state = recovery.state.hard_state;
    if (Result<std::string> lost = ReadOrEmpty(kLostFile);
        !lost || !lost.value().empty()) {
      hard_state.set_lost(true);
    }
    if (recovery.tail == LogTail::kDamaged ||
        recovery.tail == LogTail::kCorrupt) {
      hard_state.set_lost(true);
      hard_state.set_disk(0);
    }
    if (hard_state.disk() == 0) {
      hard_state.set_disk(new_disk_id);
    }
    hard_state.set_boot(hard_state.boot() + 1);
    hard_state.set_session(session);
    if (std::error_code error = WriteBootRecord(recovery)) {
      return error;
    }
    failed_ = false;
    return std::move(recovery.state);
  }

  // Writes all actions with a single sync, apart from the syncs that a snapshot
  // needs. After an error all writes are refused with kPreviousWriteFailed
  // until the log is opened again.
  std::error_code Write(std::span<const PersistAction> batch) {
    if (failed_) {
      return StorageError::kPreviousWriteFailed;
    }
    std::vector<wire::LogRecord> records;
    for (const PersistAction& persist : batch) {
      if (persist.snapshot) {
        // The new log file replaces all earlier records.
        records.clear();
        if (std::error_code error = WriteSnapshot(persist)) {
          failed_ = true;
          return error;
        }
        continue;
      }
      AddRecords(persist, &records);
    }
    const std::error_code error = AppendRecords(records);
    failed_ = static_cast<bool>(error);
    return error;
  }

  // The condition of the log's tail when it was opened.
  LogTail tail() const { return tail_; }

 private:
  static constexpr const char* kLogFile = "log";
  static constexpr const char* kSnapshotFile = "snapshot";
  // Not empty once damaged files were renamed: the replica then starts with an
  // empty log but must not count as blank.
  static constexpr const char* kLostFile = "lost";

  Result<std::string> ReadOrEmpty(const std::string& name) {
    Result<std::string> contents = disk_.Read(name);
    if (!contents && contents.error() == std::errc::no_such_file_or_directory) {
      return std::string();
    }
    return contents;
  }

  Result<LogRecovery> ReadFiles() {
    Result<std::string> snapshot = ReadOrEmpty(kSnapshotFile);
    if (!snapshot) {
      return snapshot.error();
    }
    Result<std::string> log = ReadOrEmpty(kLogFile);
    if (!log) {
      return log.error();
    }
    Result<LogRecovery> recovery = RecoverLog(snapshot.value(), log.value());
    if (recovery || recovery.error() != StorageError::kCorrupt) {
      return recovery;
    }
    // Marks the disk as not blank before its files are renamed.
    if (std::error_code error = disk_.Replace(kLostFile, "lost")) {
      return error;
    }
    for (const char* name : {kLogFile, kSnapshotFile}) {
      if (std::error_code error = disk_.RenameDamaged(name)) {
        return error;
      }
    }
    return LogRecovery{.existed = true, .tail = LogTail::kCorrupt};
  }

  // Writes the hard state of this boot. An intact log is appended to; any
  // other one (missing, truncated, corrupt) is rewritten.
  std::error_code WriteBootRecord(const LogRecovery& recovery) {
    if (recovery.existed && recovery.tail == LogTail::kClean) {
      std::vector<wire::LogRecord> records(1);
      *records[0].mutable_hard_state() = recovery.state.hard_state;
      return AppendRecords(records);
    }
    const uint64_t base =
        recovery.state.snapshot ? recovery.state.snapshot->index : 0;
    return ReplaceLog(recovery.state.hard_state, base, recovery.state.entries);
  }

  std::error_code ReplaceLog(const wire::HardState& hard_state,
                             uint64_t snapshot_index,
                             std::span<const wire::LogEntry> entries) {
    return disk_.Replace(kLogFile, EncodeFrame(MakeLogFileRecords(
                                       hard_state, snapshot_index, entries)));
  }

  std::error_code WriteSnapshot(const PersistAction& persist) {
    if (std::error_code error = disk_.Replace(
            kSnapshotFile, EncodeSnapshotFrame(*persist.snapshot))) {
      return error;
    }
    return ReplaceLog(persist.hard_state, persist.snapshot->index,
                      persist.entries);
  }

  void AddRecords(const PersistAction& persist,
                  std::vector<wire::LogRecord>* records) {
    *records->emplace_back().mutable_hard_state() = persist.hard_state;
    for (const wire::LogEntry& entry : persist.entries) {
      *records->emplace_back().mutable_entry() = entry;
    }
  }

  std::error_code AppendRecords(const std::vector<wire::LogRecord>& records) {
    if (records.empty()) {
      return {};
    }
    const std::string frame = EncodeFrame(records);
    if (frame.size() > kMaxFrameBytes) {
      return StorageError::kRecordTooLarge;
    }
    if (std::error_code error = disk_.Append(kLogFile, frame)) {
      return error;
    }
    return disk_.Sync(kLogFile);
  }

  D& disk_;
  bool failed_ = true;
  LogTail tail_ = LogTail::kClean;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_DURABLE_LOG_H_
