// Locks idempotency keys within one instance.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_KEY_LOCKS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_KEY_LOCKS_H_

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace limpethatch {

// The ledger grants the same attempt again to the holder of a claim, so a
// holder must not run two calls with one key at a time. Thread-safe.
class KeyLocks {
 public:
  // Releases the key when it is destroyed.
  class Lock;
  using LockPtr = std::shared_ptr<Lock>;

  // Returns null if the key is locked by another call.
  LockPtr TryAcquire(const std::string& service, const std::string& key);

 private:
  struct Keys {
    std::mutex mutex;
    std::set<std::string> locked;
  };

  std::shared_ptr<Keys> keys_ = std::make_shared<Keys>();
};

class KeyLocks::Lock {
 public:
  Lock(std::shared_ptr<Keys> keys, std::string name)
      : keys_(std::move(keys)), name_(std::move(name)) {}
  ~Lock();
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;

 private:
  std::shared_ptr<Keys> keys_;
  std::string name_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_KEY_LOCKS_H_
