// Permits for requests to targets that have a rate limit. The leader of the
// control instances grants them, as a limit holds for all gateways together.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_TARGET_PERMITS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_TARGET_PERMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fleet.pb.h"
#include "limpethatch/connection/control_client.h"
#include "limpethatch/process/target_rate_limits.h"
#include "limpethatch/request/target.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only.
class TargetPermits {
 public:
  TargetPermits(boost::asio::io_context& io, ControlClient& control_client)
      : io_(io), control_client_(control_client) {}

  // Replaces the limits that the control instances know.
  void OnNews(const wire::TargetRates& rates);
  // Records the limit, in requests per second, that an answer stated, and tells
  // the leader.
  void OnAnswer(const Target& target, std::optional<double> rate_limit);
  bool IsLimited(const Target& target, TimePoint now) const;
  // Asks for a permit for one request that may be sent within `max_wait`.
  // nullopt if no leader answers in time.
  std::optional<TargetRateLimits::Permit> Acquire(Yield yield,
                                                  const Target& target,
                                                  Duration max_wait);

 private:
  struct Stated {
    std::optional<TargetRateLimit> limit;
    TimePoint at;
  };

  std::optional<TargetRateLimit> Find(const Target& target,
                                      TimePoint now) const;

  boost::asio::io_context& io_;
  ControlClient& control_client_;
  TargetRateLimitMap announced_;  // By the control instances.
  // By answers to this gateway that the announced limits may not reflect yet.
  std::map<std::string, Stated, std::less<>> stated_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_TARGET_PERMITS_H_
