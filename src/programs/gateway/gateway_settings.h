// Settings file of a gateway.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "limpethatch/connection/client_limits.h"
#include "limpethatch/process/settings.h"

namespace limpethatch {

// Hedges with permits of the leader.
struct HedgingSettings {
  // Limit of the target time of hedges, as a share of that of first attempts,
  // for each route over all gateways together. 0: no hedges.
  double extra_work = 0;
};

struct GatewaySettings {
  ProcessSettings process;
  Endpoint callers;    // Serves live requests and batch jobs.
  Endpoint readiness;  // Serves the platform's readiness check.
  Endpoint peers;      // Receives messages of control instances.
  Endpoint relay;      // Serves requests that other gateways hand to this one.
  Endpoint metrics;    // Port 0 disables the listener.
  // Addresses of some control instances. Only the hosts are used, as control
  // instances receive messages on the same port as this process.
  std::vector<Endpoint> seeds;
  // An orderly stop takes at most a little longer than this; requests that are
  // still active then are answered with what is known of them.
  Duration stop_time = std::chrono::seconds(7);
  // New connections are accepted for this long after the readiness check starts
  // to fail, as the platform still sends some.
  Duration accept_time = std::chrono::milliseconds(2300);
  // Whether targets are asked for their load before a request if what is known
  // of it is old.
  bool target_probes = false;

  ClientLimits client_limits;
  // Absent: idempotent requests are hedged after half of the target latency of
  // their route, without a limit.
  std::optional<HedgingSettings> hedging;

  void ReadFrom(JsonReader& reader);
  // Endpoints at which the control instances among `seeds` receive messages.
  std::vector<Endpoint> ControlEndpoints() const;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_
