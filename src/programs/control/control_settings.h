// Settings of a control instance.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus.pb.h"
#include "limpethatch/connection/client_limits.h"
#include "limpethatch/process/settings.h"
#include "limpethatch/version/dispatch_policy.h"

namespace limpethatch {

// Work of the leader for the platform, by calls to it.
struct DutySettings {
  Endpoint platform;
  std::vector<std::string> names;  // Of the duties that the platform knows.
  // Length of the windows in which usage is reported.
  Duration usage_window = std::chrono::seconds(5);
  // Time from the end of a window until its report is due.
  Duration usage_due = std::chrono::seconds(10);

  bool Includes(std::string_view duty) const;
};

struct ControlSettings {
  ProcessSettings process;
  Endpoint peers;  // Listen address for internal messages.
  std::string data_folder;
  // The control instances that found the group, including this one.
  std::vector<wire::Member> replicas;
  Duration heartbeat = std::chrono::milliseconds(50);
  Duration election_timeout = std::chrono::milliseconds(500);
  // Time without a message after which an entry instance is declared gone.
  Duration session_timeout = std::chrono::seconds(3);
  // Maximum time after its deadline at which an order can still reach a target.
  // A new leader waits this long before its first order.
  Duration order_delivery_bound = std::chrono::seconds(1);
  // Number of applied log entries after which a snapshot is taken.
  uint64_t snapshot_entries = 10'000;
  // Size of the commands in memory, in bytes, after which a snapshot is taken
  // as well: a twentieth of the memory of the smallest control machines.
  uint64_t snapshot_bytes = 6UL * 1024 * 1024;

  // Whether this instance also serves a fleet of routes, targets and batch
  // jobs.
  bool fleet = false;
  std::string name;  // Name of this instance in operator calls.
  Endpoint api;      // HTTP API for operators, trainers and targets.
  Endpoint metrics;  // Port 0: disabled.
  // Addresses of some control instances. Only the hosts are used, since all
  // instances listen for messages on the same port. With `may_found`, these
  // instances found the group at the first start.
  std::vector<Endpoint> seeds;
  bool may_found = false;
  // Number of control instances that may fail at the same time.
  uint64_t tolerated_losses = 1;
  // Time that a new leader waits before its first order, unless the previous
  // leader is unresponsive.
  Duration order_lease = std::chrono::seconds(3);

  // Absent: none is held, and usage is neither counted nor reported.
  std::optional<DutySettings> duties;

  // Order in which waiting samples are dispatched: "weighted", or "fifo" as a
  // baseline. Must be the same on all control instances.
  std::string dispatch = "weighted";

  ClientLimits client_limits;

  void ReadFrom(JsonReader& reader);
  // The endpoint for messages of the control instance at `seed`.
  Endpoint MessengerEndpoint(const Endpoint& seed) const {
    return {seed.host, peers.port};
  }
  WeightedDispatchOptions DispatchOptions() const;

 private:
  void ReadFleet(JsonReader& reader);
  void ReadDuties(JsonReader& reader);
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
