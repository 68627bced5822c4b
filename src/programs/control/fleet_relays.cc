// Gateways that relay requests of others that reach no target. Control knows
// which ones there are and what they reach, as they say it themselves.
#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

// Relays that a gateway is told, of its own zone and of all other zones.
constexpr size_t kRelaysOfZone = 3;
constexpr size_t kRelaysOfOtherZones = 3;
// Relays of each zone that peers are told.
constexpr size_t kRelaysForPeers = 2;

using Relays = std::vector<const wire::RelayGateway*>;

// Moves those that reach all services to the front, in an order that differs
// between gateways, and keeps `count`.
void KeepBest(size_t count, size_t rotation, Relays* relays) {
  if (relays->empty()) {
    return;
  }
  std::rotate(
      relays->begin(),
      relays->begin() + static_cast<std::ptrdiff_t>(rotation % relays->size()),
      relays->end());
  std::stable_partition(relays->begin(), relays->end(),
                        [](const wire::RelayGateway* relay) {
                          return relay->unreachable_services().empty();
                        });
  relays->resize(std::min(relays->size(), count));
}

}  // namespace

wire::RelayGateways FleetService::ChooseRelays(
    const wire::RelayGateway& own) const {
  Relays own_zone;
  Relays other_zones;
  const auto add = [&](const wire::RelayGateway& relay) {
    if (!relay.address().empty() && relay.address() != own.address()) {
      (relay.zone() == own.zone() ? own_zone : other_zones).push_back(&relay);
    }
  };
  for (const auto& [instance, watcher] : watchers_) {
    add(watcher.relay);
  }
  for (const auto& [id, peer] : peers_) {
    for (const wire::RelayGateway& relay : peer.relays.gateways()) {
      add(relay);
    }
  }
  const size_t rotation = std::hash<std::string>()(own.address());
  KeepBest(kRelaysOfZone, rotation, &own_zone);
  KeepBest(kRelaysOfOtherZones, rotation, &other_zones);
  wire::RelayGateways chosen;
  for (const Relays* relays : {&own_zone, &other_zones}) {
    for (const wire::RelayGateway* relay : *relays) {
      *chosen.add_gateways() = *relay;
    }
  }
  return chosen;
}

wire::RelayGateways FleetService::RelaysForPeers() const {
  std::map<std::string, size_t> counts;  // By zone.
  wire::RelayGateways relays;
  for (const auto& [instance, watcher] : watchers_) {
    const wire::RelayGateway& relay = watcher.relay;
    if (!relay.address().empty() && relay.unreachable_services().empty() &&
        counts[relay.zone()]++ < kRelaysForPeers) {
      *relays.add_gateways() = relay;
    }
  }
  return relays;
}

}  // namespace limpethatch
