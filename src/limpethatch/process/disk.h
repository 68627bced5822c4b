// Files in the data directory of a process.
#ifndef LIMPETHATCH_PROCESS_DISK_H_
#define LIMPETHATCH_PROCESS_DISK_H_

#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

#include "limpethatch/process/byte_rope.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

// The file operations that DurableLog needs. Names are plain file names without
// a directory.
template <typename D>
concept Disk = requires(D disk,
                        const std::string& name,
                        const ByteRope& contents,
                        std::string_view bytes) {
  // The whole file; std::errc::no_such_file_or_directory if it does not exist.
  { disk.Read(name) } -> std::same_as<Result<std::string>>;
  // Replaces the file atomically and syncs it: a crash leaves either the old or
  // the new contents.
  { disk.Replace(name, contents) } -> std::same_as<std::error_code>;
  // The bytes are durable only once Sync has returned without an error.
  { disk.Append(name, bytes) } -> std::same_as<std::error_code>;
  { disk.Sync(name) } -> std::same_as<std::error_code>;
  // Renames the file to NAME.damaged and syncs the directory; no error if the
  // file does not exist.
  { disk.RenameDamaged(name) } -> std::same_as<std::error_code>;
};

// A directory of the file system. Not thread-safe.
class FileSystemDisk {
 public:
  explicit FileSystemDisk(std::string directory);
  ~FileSystemDisk();

  FileSystemDisk(const FileSystemDisk&) = delete;
  FileSystemDisk& operator=(const FileSystemDisk&) = delete;

  // Creates the directory if needed and locks it; fails if another process
  // holds the lock.
  std::error_code Open();

  Result<std::string> Read(const std::string& name);
  std::error_code Replace(const std::string& name, const ByteRope& contents);
  std::error_code Append(const std::string& name, std::string_view bytes);
  std::error_code Sync(const std::string& name);
  std::error_code RenameDamaged(const std::string& name);

 private:
  std::string PathOf(const std::string& name) const;
  std::error_code SyncDirectory();
  void CloseAppendFile();

  std::string directory_;
  int lock_fd_ = -1;
  std::string append_name_;
  int append_fd_ = -1;
};

static_assert(Disk<FileSystemDisk>);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_DISK_H_
