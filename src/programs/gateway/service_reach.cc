#include "programs/gateway/service_reach.h"

#include <utility>

#include "limpethatch/connection/connection_probe.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// One target of each unreachable service is tried at this period.
constexpr Duration kProbePeriod = std::chrono::milliseconds(500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);

}  // namespace

ServiceReach::ServiceReach(boost::asio::io_context& io,
                           const TargetTable& targets,
                           std::mt19937_64& random,
                           std::function<void()> on_change)
    : io_(io),
      targets_(targets),
      random_(random),
      on_change_(std::move(on_change)) {}

void ServiceReach::Start(TimerService& timers) {
  timers.Every(kProbePeriod, [this](TimePoint) { ProbeUnreachable(); });
}

void ServiceReach::OnContact(const std::string& service) {
  if (reachability_.OnContact(service, Clock::now())) {
    Log(LogLevel::kInfo, "service_reachable", {{"service", service}});
    on_change_();
  }
}

void ServiceReach::OnFailure(const Target& target) {
  const TimePoint now = Clock::now();
  const ServiceTargets* service = targets_.Find(target.service);
  const size_t targets = service ? service->all.size() : 1;
  if (reachability_.OnFailure(target.service, target.id, targets, now)) {
    Log(LogLevel::kWarning, "service_unreachable",
        {{"service", target.service}, {"targets", targets}});
    on_change_();
  } else if (service && !IsUnreachable(target.service) &&
             IsInDoubt(target.service, now)) {
    ProbeOthers(*service, target);
  }
}

void ServiceReach::ProbeOthers(const ServiceTargets& service,
                               const Target& failed) {
  const TimePoint now = Clock::now();
  const auto [last, added] = others_probed_at_.try_emplace(failed.service, now);
  if (!added && now - last->second < kProbePeriod) {
    return;
  }
  last->second = now;
  size_t probes = 0;
  const size_t start = random_() % service.all.size();
  for (size_t i = 0; i < service.all.size() &&
                     probes + 1 < TargetReachability::kMinFailedTargets;
       ++i) {
    const Target& target =
        service.all[(start + i) % service.all.size()]->target;
    if (target.id != failed.id) {
      ++probes;
      Probe(target);
    }
  }
}

void ServiceReach::ProbeUnreachable() {
  for (const std::string& name : UnreachableServices()) {
    const ServiceTargets* service = targets_.Find(name);
    if (service && !service->all.empty()) {
      Probe(service->all[random_() % service->all.size()]->target);
    }
  }
}

void ServiceReach::Probe(const Target& target) {
  Spawn(io_, [this, target](Yield yield) {
    if (ProbeConnection(yield, target.address, kProbeTimeout) ==
        ProbeResult::kAccepted) {
      OnContact(target.service);
    } else {
      OnFailure(target);
    }
  });
}

}  // namespace limpethatch
