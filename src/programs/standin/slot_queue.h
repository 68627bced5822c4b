// A limited number of slots, granted in the order of arrival.
#ifndef PROGRAMS_STANDIN_SLOT_QUEUE_H_
#define PROGRAMS_STANDIN_SLOT_QUEUE_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "limpethatch/connection/yield.h"

namespace limpethatch::standin {

// Not thread-safe.
class SlotQueue {
 public:
  // Releases the slot on destruction.
  class Slot {
   public:
    explicit Slot(SlotQueue* queue) : queue_(queue) {}
    ~Slot() { queue_->Release(); }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    SlotQueue* queue_;
  };

  SlotQueue(boost::asio::io_context& io, size_t slots)
      : io_(io), slots_(slots) {}

  // Waits for a slot.
  Slot Acquire(Yield yield);
  size_t running() const { return running_; }
  size_t waiting() const { return waiters_.size(); }

 private:
  void Release();

  boost::asio::io_context& io_;
  size_t slots_;
  size_t running_ = 0;
  std::deque<boost::asio::steady_timer*> waiters_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_SLOT_QUEUE_H_
