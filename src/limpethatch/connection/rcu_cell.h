// An immutable value, protected by RCU, that many threads read and one thread
// at a time replaces.
#ifndef LIMPETHATCH_CONNECTION_RCU_CELL_H_
#define LIMPETHATCH_CONNECTION_RCU_CELL_H_

#include <urcu-bp.h>

#include <memory>
#include <mutex>
#include <utility>

namespace limpethatch {

// Readers take no lock and never wait. Update waits until no reader uses the
// replaced value. Threads need no registration. Data that a reader keeps after
// Read returns must be a copy, or owned by a shared_ptr inside the value.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::unique_ptr<T> value) : value_(value.release()) {}
  ~RcuCell() { delete value_; }

  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Calls `read` with the current value and returns its result. `read` must not
  // block or call Update.
  template <typename F>
  decltype(auto) Read(F&& read) const {
    const ReadLock lock;
    const T& value = *rcu_dereference(value_);
    return std::forward<F>(read)(value);
  }

  // Replaces the value by the unique_ptr that `make` returns for the current
  // one. Concurrent updates are serialised. Must not be called within Read.
  template <typename F>
  void Update(F&& make) {
    const std::lock_guard lock(update_mutex_);
    std::unique_ptr<T> next = std::forward<F>(make)(std::as_const(*value_));
    const std::unique_ptr<T> replaced(value_);
    rcu_assign_pointer(value_, next.release());
    synchronize_rcu();
  }

 private:
  struct ReadLock {
    ReadLock() { rcu_read_lock(); }
    ~ReadLock() { rcu_read_unlock(); }
    ReadLock(const ReadLock&) = delete;
    ReadLock& operator=(const ReadLock&) = delete;
  };

  T* value_;
  std::mutex update_mutex_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_RCU_CELL_H_
