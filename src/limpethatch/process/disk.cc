#include "limpethatch/process/disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <utility>

namespace limpethatch {
namespace {

constexpr size_t kReadBytes = 1024 * 1024;
constexpr mode_t kFileMode = 0640;

std::error_code LastError() {
  return {errno, std::generic_category()};
}

class File {
 public:
  File(const std::string& path, int flags)
      : descriptor_(open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {}
  ~File() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  int get() const { return descriptor_; }
  int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_;
};

std::error_code WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(descriptor, bytes.data(), bytes.size());
    if (written < 0) {
      if (errno == EINTR) {
        continue;
      }
      return LastError();
    }
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return {};
}

}  // namespace

FileSystemDisk::FileSystemDisk(std::string directory)
    : directory_(std::move(directory)) {}

FileSystemDisk::~FileSystemDisk() {
  CloseAppendFile();
  if (lock_fd_ >= 0) {
    close(lock_fd_);
  }
}

std::error_code FileSystemDisk::Open() {
  std::error_code error;
  std::filesystem::create_directories(directory_, error);
  if (error) {
    return error;
  }
  File lock(PathOf("lock"), O_RDWR | O_CREAT);
  if (lock.get() < 0 || flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
    return LastError();
  }
  lock_fd_ = lock.release();
  return {};
}

std::string FileSystemDisk::PathOf(const std::string& name) const {
  return directory_ + "/" + name;
}

Result<std::string> FileSystemDisk::Read(const std::string& name) {
  File file(PathOf(name), O_RDONLY);
  if (file.get() < 0) {
    return LastError();
  }
  std::string contents;
  while (true) {
    const size_t old_size = contents.size();
    contents.resize(old_size + kReadBytes);
    const ssize_t count =
        read(file.get(), contents.data() + old_size, kReadBytes);
    if (count < 0) {
      return LastError();
    }
    contents.resize(old_size + static_cast<size_t>(count));
    if (count == 0) {
      return contents;
    }
  }
}

std::error_code FileSystemDisk::Replace(const std::string& name,
                                        const ByteRope& contents) {
  if (name == append_name_) {
    CloseAppendFile();
  }
  const std::string temporary_path = PathOf(name + ".new");
  {
    File file(temporary_path, O_WRONLY | O_CREAT | O_TRUNC);
    if (file.get() < 0) {
      return LastError();
    }
    for (const ByteRope::Piece& piece : contents.pieces()) {
      if (std::error_code error = WriteAll(file.get(), *piece)) {
        return error;
      }
    }
    if (fsync(file.get()) != 0) {
      return LastError();
    }
  }
  if (std::rename(temporary_path.c_str(), PathOf(name).c_str()) != 0) {
    return LastError();
  }
  return SyncDirectory();
}

std::error_code FileSystemDisk::Append(const std::string& name,
                                       std::string_view bytes) {
  if (name != append_name_) {
    CloseAppendFile();
    File file(PathOf(name), O_WRONLY | O_APPEND);
    if (file.get() < 0) {
      return LastError();
    }
    append_fd_ = file.release();
    append_name_ = name;
  }
  return WriteAll(append_fd_, bytes);
}

std::error_code FileSystemDisk::Sync(const std::string& name) {
  if (name != append_name_) {
    return std::make_error_code(std::errc::bad_file_descriptor);
  }
  return fdatasync(append_fd_) == 0 ? std::error_code() : LastError();
}

std::error_code FileSystemDisk::RenameDamaged(const std::string& name) {
  if (std::rename(PathOf(name).c_str(), PathOf(name + ".damaged").c_str()) !=
          0 &&
      errno != ENOENT) {
    return LastError();
  }
  return SyncDirectory();
}

std::error_code FileSystemDisk::SyncDirectory() {
  File directory(directory_, O_RDONLY | O_DIRECTORY);
  return directory.get() >= 0 && fsync(directory.get()) == 0 ? std::error_code()
                                                             : LastError();
}

void FileSystemDisk::CloseAppendFile() {
  if (append_fd_ >= 0) {
    close(std::exchange(append_fd_, -1));
  }
  append_name_.clear();
}

}  // namespace limpethatch
