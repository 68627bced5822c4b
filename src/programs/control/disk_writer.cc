#include "programs/control/disk_writer.h"

#include <utility>

namespace limpethatch {

DiskWriter::DiskWriter(std::string directory, SyncCallback on_synced)
    : disk_(std::move(directory)),
      log_(disk_),
      on_synced_(std::move(on_synced)) {}

DiskWriter::~DiskWriter() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

Result<DurableState> DiskWriter::Open(uint64_t new_disk_id, uint64_t session) {
  if (std::error_code error = disk_.Open()) {
    return error;
  }
  Result<DurableState> state = log_.Open(new_disk_id, session);
  if (state) {
    thread_ = std::thread([this] { Run(); });
  }
  return state;
}

void DiskWriter::Write(PersistAction action) {
  {
    std::scoped_lock lock(mutex_);
    queue_.push_back(std::move(action));
  }
  queue_changed_.notify_one();
}

void DiskWriter::Run() {
  while (true) {
    std::vector<PersistAction> batch;
    {
      std::unique_lock lock(mutex_);
      queue_changed_.wait(lock,
                          [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      batch = std::exchange(queue_, {});
    }
    const std::error_code error = log_.Write(batch);
    on_synced_(batch.back().sequence, error);
    if (error) {
      return;
    }
  }
}

}  // namespace limpethatch
