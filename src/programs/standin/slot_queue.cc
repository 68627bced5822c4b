#include "programs/standin/slot_queue.h"

namespace limpethatch::standin {

SlotQueue::Slot SlotQueue::Acquire(Yield yield) {
  if (running_ < slots_) {
    ++running_;
    return Slot(this);
  }
  boost::asio::steady_timer wakeup(io_, TimePoint::max());
  waiters_.push_back(&wakeup);
  boost::system::error_code ignored;
  wakeup.async_wait(yield[ignored]);
  return Slot(this);
}

void SlotQueue::Release() {
  if (waiters_.empty()) {
    --running_;
    return;
  }
  // Hands the slot to the first waiter; `running_` stays the same.
  waiters_.front()->cancel();
  waiters_.pop_front();
}

}  // namespace limpethatch::standin
