#include "programs/entry/key_locks.h"

#include <fmt/format.h>

namespace limpethatch {

KeyLocks::LockPtr KeyLocks::TryAcquire(const std::string& service,
                                       const std::string& key) {
  std::string name = fmt::format("{}:{}{}", service.size(), service, key);
  {
    const std::lock_guard lock(keys_->mutex);
    if (!keys_->locked.insert(name).second) {
      return nullptr;
    }
  }
  return std::make_shared<Lock>(keys_, std::move(name));
}

KeyLocks::Lock::~Lock() {
  const std::lock_guard lock(keys_->mutex);
  keys_->locked.erase(name_);
}

}  // namespace limpethatch
