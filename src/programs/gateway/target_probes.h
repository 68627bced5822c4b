// Asks targets for their load right before a request, if what is known of it is
// old.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_TARGET_PROBES_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_TARGET_PROBES_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/request/router.h"
#include "programs/gateway/gateway_metrics.h"

namespace limpethatch {

struct TargetProbeOptions {
  bool enabled = false;  // If not, no probe is ever sent.
  // A request waits for its probes for at most this; several times the time
  // between two zones and back.
  Duration max_wait = std::chrono::milliseconds(8);
};

// Not synchronised; used on the gateway's thread only.
class TargetProbes {
 public:
  // Returns the health path of a service; empty if it has none.
  using HealthPath = std::function<std::string(std::string_view service)>;

  TargetProbes(boost::asio::io_context& io,
               HttpClient& client,
               GatewayMetrics& metrics,
               TargetProbeOptions options,
               HealthPath health_path)
      : io_(io),
        client_(client),
        metrics_(metrics),
        options_(options),
        health_path_(std::move(health_path)) {}

  // Draws two targets of a service that reports its load, and asks those of
  // them whose load is not known well enough. Returns the ids of the targets
  // that the request should not be sent to: all that were not drawn or did not
  // answer soon. Empty if no probe was sent or none was answered.
  std::vector<std::string> Probe(Yield yield,
                                 const ServiceTargets* service,
                                 uint64_t random);

 private:
  struct Round;

  void Send(const RoutedTargetPtr& routed,
            const std::string& path,
            const std::shared_ptr<Round>& round);

  boost::asio::io_context& io_;
  HttpClient& client_;
  GatewayMetrics& metrics_;
  const TargetProbeOptions options_;
  const HealthPath health_path_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_TARGET_PROBES_H_
