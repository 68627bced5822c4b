// Timer service for the components of a process.
#ifndef LIMPETHATCH_PROCESS_TIMER_SERVICE_H_
#define LIMPETHATCH_PROCESS_TIMER_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Runs callbacks on the threads of one io_context. Calls of one subscription
// never overlap. Destroying the service ends all subscriptions.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  explicit TimerService(boost::asio::io_context& io);
  ~TimerService();

  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` every `period` until the service is stopped.
  void Every(Duration period, Callback callback);

  // Calls `callback` once, after `delay`.
  void After(Duration delay, Callback callback);

  // After a call on the io_context's thread, no further callback starts.
  void Stop();

 private:
  struct Shared;

  boost::asio::io_context& io_;
  std::shared_ptr<Shared> shared_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_TIMER_SERVICE_H_
