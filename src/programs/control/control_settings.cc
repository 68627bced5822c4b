#include "programs/control/control_settings.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace limpethatch {
namespace {

using enum Presence;

constexpr size_t kMaxReplicas = 7;
constexpr Bounds<uint64_t> kToleratedLosses{0, 3};
constexpr int kMinHeartbeatsPerElection = 4;
constexpr Bounds<uint64_t> kSnapshotEntries{10, 10'000'000};
// The length of a window in milliseconds is sent to gateways.
constexpr Duration kMinUsageWindow = std::chrono::seconds(1);
// A new leader waits 2.5 s for the counts of gateways.
constexpr Duration kMinUsageDue = std::chrono::seconds(5);
constexpr std::string_view kWeighted = "weighted";
constexpr std::string_view kFifo = "fifo";

}  // namespace

void ControlSettings::ReadFrom(JsonReader& reader) {
  ReadProcessSettings(reader, &process);
  ReadFleet(reader);
  ReadDuties(reader);
  std::map<std::string, Endpoint*> listeners{{"peers", &peers}};
  if (fleet) {
    listeners.emplace("api", &api);
    listeners.emplace("metrics", &metrics);
  }
  ReadListeners(reader, listeners);
  if (fleet && may_found) {
    for (const Endpoint& seed : seeds) {
      wire::Member& replica = replicas.emplace_back();
      replica.set_id(seed.host);
      replica.set_endpoint(MessengerEndpoint(seed).ToString());
    }
  }
  reader.Read("data_folder", &data_folder, kRequired);
  reader.Read("heartbeat", &heartbeat, kOptional);
  reader.Read("election_timeout", &election_timeout, kOptional);
  reader.Read("session_timeout", &session_timeout, kOptional);
  reader.Read("order_delivery_bound", &order_delivery_bound, kOptional);
  reader.Read("snapshot_entries", &snapshot_entries, kOptional,
              kSnapshotEntries);
  reader.ReadByteSize("snapshot_bytes", &snapshot_bytes, kOptional);
  client_limits.ReadFrom(reader);
  reader.Read("dispatch", &dispatch, kOptional);
  if (dispatch != kWeighted && dispatch != kFifo) {
    reader.AddFault("dispatch", "expected \"weighted\" or \"fifo\"");
  }
  std::set<std::string> ids;
  for (JsonReader& element :
       reader.Elements("replicas", fleet ? kOptional : kRequired)) {
    wire::Member& replica = replicas.emplace_back();
    Endpoint endpoint;
    element.Read("id", replica.mutable_id(), kRequired);
    element.Read("endpoint", &endpoint, kRequired);
    element.RejectUnknown();
    replica.set_endpoint(endpoint.ToString());
    if (!ids.insert(replica.id()).second) {
      element.AddFault("id", "duplicate id; expected a unique one");
    }
  }
  if (replicas.size() > kMaxReplicas) {
    reader.AddFault("replicas", "expected at most 7 replicas");
  }
  if (heartbeat <= Duration::zero() ||
      election_timeout < kMinHeartbeatsPerElection * heartbeat) {
    reader.AddFault("election_timeout",
                    "expected 4 times the heartbeat or more");
  }
}

void ControlSettings::ReadFleet(JsonReader& reader) {
  std::optional<JsonReader> child = reader.Child("fleet", kOptional);
  if (!child) {
    return;
  }
  fleet = true;
  child->Read("name", &name, kRequired);
  child->Read("seeds", &seeds, kRequired);
  child->Read("may_found", &may_found, kRequired);
  child->Read("tolerated_losses", &tolerated_losses, kOptional,
              kToleratedLosses);
  child->Read("order_lease", &order_lease, kOptional);
  child->RejectUnknown();
}

void ControlSettings::ReadDuties(JsonReader& reader) {
  std::optional<JsonReader> child = reader.Child("duties", kOptional);
  if (!child) {
    return;
  }
  duties.emplace();
  child->Read("platform", &duties->platform, kRequired);
  child->Read("names", &duties->names, kRequired);
  child->Read("usage_window", &duties->usage_window, kOptional);
  child->Read("usage_due", &duties->usage_due, kOptional);
  if (duties->usage_window < kMinUsageWindow) {
    child->AddFault("usage_window", "expected 1s or more");
  }
  if (duties->usage_due < kMinUsageDue) {
    child->AddFault("usage_due", "expected 5s or more");
  }
  if (!fleet) {
    child->AddFault("platform", "expected a member \"fleet\" beside duties");
  }
  child->RejectUnknown();
}

bool DutySettings::Includes(std::string_view duty) const {
  return std::find(names.begin(), names.end(), duty) != names.end();
}

WeightedDispatchOptions ControlSettings::DispatchOptions() const {
  return dispatch == kFifo ? FifoOptions() : WeightedDispatchOptions{};
}

}  // namespace limpethatch
