// The thread on which the disk is written and synced.
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

// Group commit: all that arrives during one sync shares the next.
class DiskWriter {
 public:
  // Called on the writer's thread after each sync, or once with an error,
  // after which nothing more is written.
  using SyncCallback =
      std::function<void(uint64_t sequence, std::error_code error)>;

  DiskWriter(std::string directory, SyncCallback on_synced);
  // Writes what is queued, then ends.
  ~DiskWriter();

  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  // Reads the state and starts the thread.
  Result<DurableState> Open(uint64_t new_disk_id, uint64_t session);
  void Write(PersistAction action);
  // How the log was found when it was opened.
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
