// Sends the usage counts of ended windows to the leader until they are
// recorded.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_USAGE_SENDER_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_USAGE_SENDER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/process/wall_clock.h"
#include "limpethatch/request/usage/usage_counter.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only. Does nothing until the
// length of a window is set.
class UsageSender {
 public:
  UsageSender(boost::asio::io_context& io,
              TimerService& timers,
              ControlClient& control_client,
              UsageCounter& counter,
              const WallClock& wall_clock,
              std::string instance);

  // Counts requests in windows of this length from now on.
  void SetWindowLength(Duration length);
  // Sends all counts, those of the window that has not ended included, since
  // this process ends.
  void SendAll(Yield yield, TimePoint deadline);

 private:
  void SendDueReports();
  // Sends the counts of one window and waits for the answer. Returns false if
  // there was none.
  bool Send(Yield yield, wire::UsageWindow window, TimePoint deadline);

  boost::asio::io_context& io_;
  TimerService& timers_;
  ControlClient& control_client_;
  UsageCounter& counter_;
  const WallClock& wall_clock_;
  const std::string instance_;
  const uint64_t incarnation_;  // Random for each start.
  bool started_ = false;
  bool sending_ = false;
  uint64_t dropped_ = 0;  // As last logged.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_USAGE_SENDER_H_
