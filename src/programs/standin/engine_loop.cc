#include "programs/standin/engine_loop.h"

#include <algorithm>
#include <utility>

namespace limpethatch::standin {
namespace {

constexpr Duration kMaxWait = std::chrono::milliseconds(50);

}  // namespace

EngineLoop::EngineLoop(boost::asio::io_context& io,
                       const EngineModelOptions& options,
                       uint64_t version,
                       Duration event_interval)
    : event_interval_(event_interval),
      model_(options, version, Clock::now()),
      io_(io),
      next_event_timer_(io) {
  Spawn(io, [this](Yield yield) { Run(yield); });
}

SequenceId EngineLoop::Submit(SequenceSpec spec) {
  model_.Submit(++last_id_, std::move(spec), Clock::now());
  next_event_timer_.cancel();
  return last_id_;
}

void EngineLoop::Remove(SequenceId id) {
  model_.Remove(id, Clock::now());
  next_event_timer_.cancel();
}

void EngineLoop::Wait(Yield yield, SequenceId id, uint32_t known_tokens) {
  if (model_.Find(id)->finished()) {
    return;
  }
  Waiter waiter{boost::asio::steady_timer(io_, kMaxWait), known_tokens};
  waiters_[id] = &waiter;
  boost::system::error_code ignored;
  waiter.timer.async_wait(yield[ignored]);
  waiters_.erase(id);
}

void EngineLoop::SetVersion(uint64_t version) {
  model_.SetVersion(version, Clock::now());
}

void EngineLoop::SetPaused(bool paused) {
  model_.SetPaused(paused, Clock::now());
  next_event_timer_.cancel();
}

void EngineLoop::Run(Yield yield) {
  TimePoint next_send = Clock::now() + event_interval_;
  while (true) {
    next_event_timer_.expires_at(std::min(model_.NextEvent(), next_send));
    boost::system::error_code ignored;
    next_event_timer_.async_wait(yield[ignored]);
    const TimePoint now = Clock::now();
    model_.Advance(now);
    const bool send_all = now >= next_send;
    WakeWaiters(send_all);
    if (send_all) {
      next_send = now + event_interval_;
    }
  }
}

void EngineLoop::WakeWaiters(bool all_with_progress) {
  for (const auto& [id, waiter] : waiters_) {
    const Sequence* sequence = model_.Find(id);
    if (sequence == nullptr || sequence->finished() ||
        (all_with_progress && sequence->tokens > waiter->known_tokens)) {
      waiter->timer.cancel();
    }
  }
}

}  // namespace limpethatch::standin
