// Targets that said in an answer to this gateway that they are leaving. They
// get no more requests, whatever older announcements say, and control is told.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_LEAVING_TARGETS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_LEAVING_TARGETS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "limpethatch/connection/control_client.h"
#include "programs/gateway/fleet_subscriber.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only.
class LeavingTargets {
 public:
  LeavingTargets(boost::asio::io_context& io,
                 ControlClient& control_client,
                 FleetSubscriber& subscriber)
      : io_(io), control_client_(control_client), subscriber_(subscriber) {}

  void OnLeaving(const std::string& target, uint64_t incarnation);

 private:
  boost::asio::io_context& io_;
  ControlClient& control_client_;
  FleetSubscriber& subscriber_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_LEAVING_TARGETS_H_
