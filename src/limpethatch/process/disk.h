// Files in the one data folder of a process.
#ifndef LIMPETHATCH_PROCESS_DISK_H_
#define LIMPETHATCH_PROCESS_DISK_H_

#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

#include "limpethatch/process/byte_rope.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

// What the durable log needs of a disk. Names are plain file names.
template <typename D>
concept Disk = requires(D disk,
                        const std::string& name,
                        const ByteRope& contents,
                        std::string_view bytes) {
  // The whole file; std::errc::no_such_file_or_directory if absent.
  { disk.Read(name) } -> std::same_as<Result<std::string>>;
  // Atomic and synced: afterwards the file is the old or the new one.
  { disk.Replace(name, contents) } -> std::same_as<std::error_code>;
  // Lasts only once Sync has returned without an error.
  { disk.Append(name, bytes) } -> std::same_as<std::error_code>;
  { disk.Sync(name) } -> std::same_as<std::error_code>;
  // Moves a file out of the way, synced.
  { disk.RenameDamaged(name) } -> std::same_as<std::error_code>;
};

// A folder of the file system. Not safe for several threads at once.
class FileSystemDisk {
 public:
  explicit FileSystemDisk(std::string directory);
  ~FileSystemDisk();

  FileSystemDisk(const FileSystemDisk&) = delete;
  FileSystemDisk& operator=(const FileSystemDisk&) = delete;

  // Makes the folder if need be and locks it against a second process.
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
