// Settings of a control instance.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "consensus.pb.h"
#include "limpethatch/process/settings.h"
#include "limpethatch/version/dispatch_policy.h"

namespace limpethatch {

struct ControlSettings {
  ProcessSettings process;
  Endpoint peers;  // The system's own messages.
  std::string data_folder;
  // All control instances that found the group, this one among them.
  std::vector<wire::Member> replicas;
  Duration heartbeat = std::chrono::milliseconds(50);
  Duration election_timeout = std::chrono::milliseconds(500);
  // An entry instance that is silent for so long is taken for gone.
  Duration session_timeout = std::chrono::seconds(3);
  // From an order's deadline on, the time after which it can't reach a target
  // any more. A new leader waits so long.
  Duration order_delivery_bound = std::chrono::seconds(1);
  // Log entries after which the state is written as a snapshot.
  uint64_t snapshot_entries = 10'000;
  // Size of the commands in memory after which it is, too: a twentieth of the
  // memory of the smallest machines that keep data.
  uint64_t snapshot_bytes = 6UL * 1024 * 1024;

  // Serves a fleet of routes, targets and batch jobs besides.
  bool fleet = false;
  std::string name;  // By which operators call this instance.
  Endpoint api;      // For operators, trainers and targets.
  Endpoint metrics;  // Port 0: none.
  // Addresses of a few control instances; their hosts count, as all listen for
  // messages at the same port. They found the group at the first start.
  std::vector<Endpoint> seeds;
  bool may_found = false;
  // Control instances that may be lost at once.
  uint64_t tolerated_losses = 1;
  // After another leader's last order, before this one's first, unless that
  // leader is gone.
  Duration order_lease = std::chrono::seconds(3);

  // Which waiting sample an engine gets: "weighted", or "fifo" as a baseline.
  // The same in all control instances.
  std::string dispatch = "weighted";

  void ReadFrom(JsonReader& reader);
  Endpoint MessengerEndpoint(const Endpoint& seed) const {
    return {seed.host, peers.port};
  }
  WeightedDispatchOptions DispatchOptions() const;

 private:
  void ReadFleet(JsonReader& reader);
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
