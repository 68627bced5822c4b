// State shared by the handlers of an entry instance for the life of the
// process.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_CONTEXT_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_CONTEXT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/rcu_cell.h"
#include "limpethatch/process/service_meter.h"
#include "limpethatch/request/router.h"
#include "limpethatch/version/manifest.h"
#include "programs/entry/configured_router.h"
#include "programs/entry/entry_settings.h"
#include "programs/entry/key_locks.h"
#include "programs/entry/service_states.h"

namespace limpethatch {

struct ActiveManifest {
  uint64_t version = 0;  // 0 before the first.
  std::string text;
  Manifest manifest;
  // By service. A service keeps its meter across manifest versions.
  std::map<std::string, std::shared_ptr<ServiceMeter>> meters;
};

using ManifestPtr = std::shared_ptr<const ActiveManifest>;

class PoisonGuard;

struct EntryContext {
  EntrySettings settings;
  boost::asio::io_context& io;
  HttpClient& client;
  ControlClient& control;
  ConfiguredRouter routing;
  ServiceStates services;
  KeyLocks key_locks{};
  RcuCell<TargetTable> targets{std::make_unique<TargetTable>()};
  RcuCell<ManifestPtr> manifest{
      std::make_unique<ManifestPtr>(std::make_shared<ActiveManifest>())};
  PoisonGuard* poison_guard = nullptr;  // Set before the first request.
  std::atomic<bool> draining{false};
  // Starts a drain, as SIGTERM does.
  std::function<void()> start_drain = {};
  TimePoint started_at = Clock::now();
  uint64_t boot = 0;  // Identifies this process; greater after each restart.
  // Claims with an outcome that the control group has not applied yet.
  std::atomic<size_t> unsettled_claims{0};
  // Number of serving entry instances, including this one.
  std::atomic<size_t> instances{1};
  std::atomic<uint64_t> random_state{1};

  // Identifies this process in claims and attempts.
  std::string Holder() const;
  // Takes a new incarnation if `former_holder` is still the current holder. The
  // control group has declared it gone, for example while its zone was
  // partitioned, and grants it nothing more.
  void RenewHolder(const std::string& former_holder);
  // Time without a byte after which an idempotent call fails.
  Duration ProgressTimeout(const ServiceState& state) const;
  RoutedTargetPtr Choose(const RouteRequest& request);
  ManifestPtr CurrentManifest() const;
  // Returns uniformly distributed numbers; not for cryptographic use.
  uint64_t Random();
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_CONTEXT_H_
