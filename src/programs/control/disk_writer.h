// Writes and syncs the log on a thread of its own.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_DISK_WRITER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_DISK_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "limpethatch/process/consensus_types.h"
#include "limpethatch/process/disk.h"
#include "limpethatch/process/durable_log.h"

namespace limpethatch {

// Uses group commit: actions that arrive during one sync share the next.
class DiskWriter {
 public:
  // Called on the writer's thread after each sync. After an error nothing more
  // is written and the callback is not called again.
  using SyncCallback =
      std::function<void(uint64_t sequence, std::error_code error)>;

  DiskWriter(std::string directory, SyncCallback on_synced);
  // Writes the queued actions, then joins the thread.
  ~DiskWriter();

  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  // Reads the durable state and starts the thread. A blank disk gets the
  // identity `new_disk_id`.
  Result<DurableState> Open(uint64_t new_disk_id, uint64_t session);
  void Write(PersistAction action);
  // The condition in which Open found the end of the log.
  LogTail log_tail() const { return log_.tail(); }

 private:
  void Run();

  FileSystemDisk disk_;
  DurableLog<FileSystemDisk> log_;
  SyncCallback on_synced_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::vector<PersistAction> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_DISK_WRITER_H_
