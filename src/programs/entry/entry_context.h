// What the handlers of one entry instance share; it lives for the process.
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

// The manifest that this instance runs.
struct ActiveManifest {
  uint64_t version = 0;  // 0 before the first.
  std::string text;
  Manifest manifest;
  // One for each service; a service keeps its meter over later versions.
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
  // Starts a planned stop, as SIGTERM does.
  std::function<void()> start_drain = {};
  TimePoint started_at = Clock::now();
  uint64_t boot = 0;  // Of this process; grows with each start.
  // Outcomes of claims that wait to be recorded.
  std::atomic<size_t> unsettled_claims{0};
  // Entry instances that serve, this one included.
  std::atomic<size_t> instances{1};
  std::atomic<uint64_t> random_state{1};

  // Names this process in claims and attempts.
  std::string Holder() const;
  // The control group took `gone` for dead, for instance while its zone was
  // cut off, and grants it nothing more: goes on under a new name.
  void RenewHolder(const std::string& former_holder);
  // How long an idempotent call may go without a byte.
  Duration ProgressTimeout(const ServiceState& state) const;
  RoutedTargetPtr Choose(const RouteRequest& request);
  ManifestPtr CurrentManifest() const;
  // The next of a uniform sequence, for policies that choose at random.
  uint64_t Random();
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_CONTEXT_H_
