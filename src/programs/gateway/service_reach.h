// Which services this gateway reaches: follows its calls, and tries again to
// reach the targets of those that it does not.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_SERVICE_REACH_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_SERVICE_REACH_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "limpethatch/process/timer_service.h"
#include "limpethatch/request/target.h"
#include "limpethatch/request/target_reachability.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only.
class ServiceReach {
 public:
  // `on_change` is called after a service became unreachable or reachable
  // again.
  ServiceReach(boost::asio::io_context& io,
               const TargetTable& targets,
               std::mt19937_64& random,
               std::function<void()> on_change);

  // Starts to try again to reach the targets of unreachable services.
  void Start(TimerService& timers);

  void OnContact(const std::string& service);
  void OnFailure(const Target& target);
  bool IsUnreachable(const std::string& service) const {
    return reachability_.IsUnreachable(service);
  }
  bool IsInDoubt(const std::string& service, TimePoint now) const {
    return reachability_.IsInDoubt(service, now);
  }
  std::vector<std::string> UnreachableServices() const {
    return reachability_.UnreachableServices();
  }

 private:
  void ProbeUnreachable();
  // Tries the other targets of a service, to find out at once whether one of
  // them can be reached.
  void ProbeOthers(const ServiceTargets& service, const Target& failed);
  void Probe(const Target& target);

  boost::asio::io_context& io_;
  const TargetTable& targets_;
  std::mt19937_64& random_;
  const std::function<void()> on_change_;
  TargetReachability reachability_;
  std::map<std::string, TimePoint> others_probed_at_;  // By service.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_SERVICE_REACH_H_
