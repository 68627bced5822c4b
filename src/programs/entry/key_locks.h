// The idempotency keys that calls of this instance have open.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_KEY_LOCKS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_KEY_LOCKS_H_

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace limpethatch {

// The ledger grants a claim's holder the same attempt again, so one holder may
// have one call at a time open for one key. Safe from any thread.
class KeyLocks {
 public:
  // Keeps the key closed to other calls during its life.
  class Lock;
  using LockPtr = std::shared_ptr<Lock>;

  // Null while another call has the key.
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
