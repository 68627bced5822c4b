#include "programs/gateway/gateway_settings.h"

namespace limpethatch {
namespace {

// A greater share would let hedges decide the load of the targets.
constexpr double kMaxExtraWork = 0.2;

}  // namespace

void GatewaySettings::ReadFrom(JsonReader& reader) {
  using enum Presence;
  ReadProcessSettings(reader, &process);
  ReadListeners(reader, {{"callers", &callers},
                         {"readiness", &readiness},
                         {"peers", &peers},
                         {"relay", &relay},
                         {"metrics", &metrics}});
  reader.Read("seeds", &seeds, kRequired);
  reader.Read("stop_time", &stop_time, kOptional);
  reader.Read("accept_time", &accept_time, kOptional);
  reader.Read("target_probes", &target_probes, kOptional);
  client_limits.ReadFrom(reader);
  if (std::optional<JsonReader> child = reader.Child("hedging", kOptional)) {
    child->Read("extra_work", &hedging.emplace().extra_work, kRequired,
                {.minimum = 0, .maximum = kMaxExtraWork});
    child->RejectUnknown();
  }
  if (accept_time >= stop_time) {
    reader.AddFault("accept_time", "expected less than stop_time");
  }
  if (seeds.empty()) {
    reader.AddFault("seeds", "expected at least one address");
  }
}

std::vector<Endpoint> GatewaySettings::ControlEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const Endpoint& seed : seeds) {
    endpoints.push_back({seed.host, peers.port});
  }
  return endpoints;
}

}  // namespace limpethatch
