// Settings of a gateway.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "limpethatch/process/settings.h"

namespace limpethatch {

struct GatewaySettings {
  ProcessSettings process;
  Endpoint callers;    // Live requests and batch jobs.
  Endpoint readiness;  // Whether new callers may be sent here.
  Endpoint peers;      // The system's own messages.
  Endpoint metrics;    // Port 0: none.
  // Addresses of a few control instances; their hosts count, as all listen for
  // messages at the same port as this process.
  std::vector<Endpoint> seeds;
  // A planned stop takes no longer than this.
  Duration stop_time = std::chrono::seconds(7);
  // New connections still come for so long after readiness ended.
  Duration accept_time = std::chrono::milliseconds(2300);

  void ReadFrom(JsonReader& reader);
  std::vector<Endpoint> ControlEndpoints() const;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_
