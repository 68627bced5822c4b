// An in-memory disk with torn writes and injected faults; copyable.
#ifndef TESTS_PROCESS_MEMORY_DISK_H_
#define TESTS_PROCESS_MEMORY_DISK_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <system_error>

#include "limpethatch/process/disk.h"

namespace limpethatch {

class MemoryDisk {
 public:
  Result<std::string> Read(const std::string& name) {
    const auto found = files_.find(name);
    if (found == files_.end()) {
      return std::make_error_code(std::errc::no_such_file_or_directory);
    }
    return found->second.bytes;
  }

  std::error_code Replace(const std::string& name, const ByteRope& contents) {
    if (full) {
      return std::make_error_code(std::errc::no_space_on_device);
    }
    files_[name] = {contents.ToString(), contents.size()};
    return {};
  }

  std::error_code Append(const std::string& name, std::string_view bytes) {
    if (full) {
      // A full disk stores the part that still fits.
      files_[name].bytes += bytes.substr(0, bytes.size() / 2);
      return std::make_error_code(std::errc::no_space_on_device);
    }
    files_[name].bytes += bytes;
    return {};
  }

  std::error_code Sync(const std::string& name) {
    if (fail_sync) {
      return std::make_error_code(std::errc::io_error);
    }
    files_[name].synced = files_[name].bytes.size();
    ++syncs;
    return {};
  }

  std::error_code RenameDamaged(const std::string& name) {
    if (const auto found = files_.find(name); found != files_.end()) {
      files_[name + ".damaged"] = found->second;
      files_.erase(name);
    }
    return {};
  }

  // Keeps at most `kept` of the unsynced bytes of each file.
  void Crash(size_t kept) {
    for (auto& [name, file] : files_) {
      file.bytes.resize(std::min(file.bytes.size(), file.synced + kept));
      file.synced = file.bytes.size();
    }
  }

  std::string& bytes(const std::string& name) { return files_[name].bytes; }
  bool has(const std::string& name) const { return files_.contains(name); }

  bool full = false;
  bool fail_sync = false;
  int syncs = 0;

 private:
  struct File {
    std::string bytes;
    size_t synced = 0;
  };
  std::map<std::string, File> files_;
};

static_assert(Disk<MemoryDisk>);

}  // namespace limpethatch

#endif  // TESTS_PROCESS_MEMORY_DISK_H_
