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

FolderDisk::FolderDisk(std::string folder) : folder_(std::move(folder)) {}

FolderDisk::~FolderDisk() {
  CloseAppending();
  if (lock_ >= 0) {
    close(lock_);
  }
}

std::error_code FolderDisk::Open() {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) {
    return error;
  }
  File lock(PathOf("lock"), O_RDWR | O_CREAT);
  if (lock.get() < 0 || flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
    return LastError();
  }
  lock_ = lock.release();
  return {};
}

std::string FolderDisk::PathOf(const std::string& name) const {
  return folder_ + "/" + name;
}

Result<std::string> FolderDisk::Read(const std::string& name) {
  File file(PathOf(name), O_RDONLY);
  if (file.get() < 0) {
    return LastError();
  }
  std::string contents;
  while (true) {
    const size_t had = contents.size();
    contents.resize(had + kReadBytes);
    const ssize_t count = read(file.get(), contents.data() + had, kReadBytes);
    if (count < 0) {
      return LastError();
    }
    contents.resize(had + static_cast<size_t>(count));
    if (count == 0) {
      return contents;
    }
  }
}

std::error_code FolderDisk::Replace(const std::string& name,
                                    const ByteRope& contents) {
  if (name == appending_name_) {
    CloseAppending();
  }
  const std::string fresh = PathOf(name + ".new");
  {
    File file(fresh, O_WRONLY | O_CREAT | O_TRUNC);
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
  if (std::rename(fresh.c_str(), PathOf(name).c_str()) != 0) {
    return LastError();
  }
  return SyncFolder();
}

std::error_code FolderDisk::Append(const std::string& name,
                                   std::string_view bytes) {
  if (name != appending_name_) {
    CloseAppending();
    File file(PathOf(name), O_WRONLY | O_APPEND);
    if (file.get() < 0) {
      return LastError();
    }
    appending_ = file.release();
    appending_name_ = name;
  }
  return WriteAll(appending_, bytes);
}

std::error_code FolderDisk::Sync(const std::string& name) {
  if (name != appending_name_) {
    return std::make_error_code(std::errc::bad_file_descriptor);
  }
  return fdatasync(appending_) == 0 ? std::error_code() : LastError();
}

std::error_code FolderDisk::SetAside(const std::string& name) {
  if (std::rename(PathOf(name).c_str(), PathOf(name + ".damaged").c_str()) !=
          0 &&
      errno != ENOENT) {
    return LastError();
  }
  return SyncFolder();
}

std::error_code FolderDisk::SyncFolder() {
  File folder(folder_, O_RDONLY | O_DIRECTORY);
  return folder.get() >= 0 && fsync(folder.get()) == 0 ? std::error_code()
                                                       : LastError();
}

void FolderDisk::CloseAppending() {
  if (appending_ >= 0) {
    close(std::exchange(appending_, -1));
  }
  appending_name_.clear();
}

}  // namespace limpethatch
