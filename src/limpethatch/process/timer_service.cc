#include "limpethatch/process/timer_service.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace limpethatch {

struct TimerService::Shared {
  std::atomic<bool> stopped{false};
};

namespace {

using boost::asio::steady_timer;

}  // namespace

TimerService::TimerService(boost::asio::io_context& io)
    : io_(io), shared_(std::make_shared<Shared>()) {}

TimerService::~TimerService() {
  Stop();
}

void TimerService::Every(Duration period, Callback callback) {
  After(period, [this, period, shared = shared_,
                 callback = std::move(callback)](TimePoint now) mutable {
    callback(now);
    if (!shared->stopped) {
      Every(period, std::move(callback));
    }
  });
}

void TimerService::After(Duration delay, Callback callback) {
  auto timer = std::make_shared<steady_timer>(io_, delay);
  timer->async_wait([timer, shared = shared_, callback = std::move(callback)](
                        const boost::system::error_code& error) {
    if (!error && !shared->stopped) {
      callback(Clock::now());
    }
  });
}

void TimerService::Stop() {
  shared_->stopped = true;
}

}  // namespace limpethatch
