#include "limpethatch/request/router.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "limpethatch/request/internal/rollout_choice.h"
#include "limpethatch/request/targets/estimate_choice.h"

namespace limpethatch {
namespace {

using Candidates = std::span<const RoutedTargetPtr>;

constexpr int kRandomDraws = 4;
// Targets with a greater share of failures get health probes.
constexpr double kProbeFailureShare = 0.12;
// A target with fewer answers than this cannot be compared with others. While
// latency is degraded, one in kChoicesPerComparison choices goes to such a
// target.
constexpr uint32_t kMinComparableSamples = 4;
constexpr uint64_t kChoicesPerComparison = 4;
// A report is meaningful for about as long as the work that it counted runs.
constexpr double kReportLifetimePerLatency = 1.0;
constexpr double kMinReportLifetimeS = 0.05;

using internal::IsAllowed;
using internal::MixBits;

// Evaluates the targets of one service for a single request.
class TargetSelector {
 public:
  TargetSelector(const ServiceTargets& service, const RouteRequest& request)
      : service_(service), request_(request), random_(request.random) {}

  // Number of requests that the target will have, including this one.
  double Work(const RoutedTarget& routed) const {
    return routed.stats->outstanding() + OtherWork(routed) + 1;
  }

  // Work per slot.
  double Utilisation(const RoutedTarget& routed) const {
    return Work(routed) / std::max<uint32_t>(1, routed.target.slots);
  }

  double Cost(const RoutedTarget& routed) const {
    return Utilisation(routed) *
           service_.group->Slowness(*routed.stats, request_.request_class);
  }

  // The cheaper of two random candidates; null if there are none.
  const RoutedTargetPtr* PowerOfTwo(Candidates from, bool include_ejected) {
    const RoutedTargetPtr* first = Draw(from, nullptr, include_ejected);
    if (first == nullptr) {
      return nullptr;
    }
    const RoutedTargetPtr* second = Draw(from, first, include_ejected);
    return second != nullptr && Cost(**second) < Cost(**first) ? second : first;
  }

  // Rendezvous hashing: the two highest-ranked targets for the prefix.
  std::pair<const RoutedTargetPtr*, const RoutedTargetPtr*> PreferredTargets(
      Candidates from) const {
    const RoutedTargetPtr* best[2] = {nullptr, nullptr};
    uint64_t weight[2] = {0, 0};
    for (const RoutedTargetPtr& candidate : from) {
      const uint64_t candidate_weight =
          MixBits(candidate->id_hash ^ request_.prefix_hash);
      if (candidate_weight <= weight[1] || !IsUsable(*candidate, false)) {
        continue;
      }
      weight[1] = candidate_weight;
      best[1] = &candidate;
      if (weight[1] > weight[0]) {
        std::swap(weight[0], weight[1]);
        std::swap(best[0], best[1]);
      }
    }
    return {best[0], best[1]};
  }

 private:
  // Estimated work of other instances on the target. As the report ages, the
  // reported value decays to the mean of all targets, so that an old report
  // does not make all instances choose the same target.
  double OtherWork(const RoutedTarget& routed) const {
    const TimePoint measured = routed.target.load.measured;
    if (measured == TimePoint()) {
      return service_.mean_other_work;
    }
    const double report_lifetime_s =
        std::max(kMinReportLifetimeS,
                 kReportLifetimePerLatency *
                     service_.group->typical_latency_s(request_.request_class));
    const double age_s =
        std::chrono::duration<double>(request_.now - measured).count();
    const double report_weight =
        std::exp(-std::max(0.0, age_s) / report_lifetime_s);
    return service_.mean_other_work +
           report_weight *
               (routed.reported_other_work - service_.mean_other_work);
  }

  bool IsUsable(const RoutedTarget& routed, bool include_ejected) const {
    return (include_ejected || !routed.stats->ejected()) &&
           IsAllowed(routed, request_);
  }

  const RoutedTargetPtr* Draw(Candidates from,
                              const RoutedTargetPtr* other,
                              bool include_ejected) {
    if (from.empty()) {
      return nullptr;
    }
    size_t index = 0;
    for (int draw = 0; draw < kRandomDraws; ++draw) {
      random_ = MixBits(random_ + 0x9e3779b97f4a7c15ULL);
      index = random_ % from.size();
      if (&from[index] != other && IsUsable(*from[index], include_ejected)) {
        return &from[index];
      }
    }
    for (size_t step = 1; step <= from.size(); ++step) {
      const RoutedTargetPtr& next = from[(index + step) % from.size()];
      if (&next != other && IsUsable(*next, include_ejected)) {
        return &next;
      }
    }
    return nullptr;
  }

  const ServiceTargets& service_;
  const RouteRequest& request_;
  uint64_t random_;
};

void RefreshGroup(const ServiceTargets& service, TimePoint now) {
  if (!service.group->TryClaimRefresh(now)) {
    return;
  }
  std::vector<TargetStats*> peers;
  peers.reserve(service.all.size());
  for (const RoutedTargetPtr& routed : service.all) {
    peers.push_back(routed->stats.get());
  }
  service.group->Refresh(peers, now);
}

const RoutedTargetPtr* ProbeDue(const ServiceTargets& service,
                                const RouteRequest& request,
                                Duration interval) {
  if (!service.group->any_ejected() || !service.group->ProbeAllowed()) {
    return nullptr;
  }
  for (const RoutedTargetPtr& routed : service.all) {
    if (routed->stats->ejected() && routed->stats->outstanding() == 0 &&
        IsAllowed(*routed, request) &&
        routed->stats->TryClaimProbe(request.now, interval)) {
      return &routed;
    }
  }
  return nullptr;
}

// When the targets in use became slow, occasionally returns one with too few
// answers to be compared. An instance whose zone has a single target would
// otherwise never compare it with those of other zones.
const RoutedTargetPtr* FindUnmeasured(const ServiceTargets& service,
                                      const RouteRequest& request) {
  if (!service.group->latency_degraded(request.request_class) ||
      MixBits(request.random) % kChoicesPerComparison != 0) {
    return nullptr;
  }
  for (const RoutedTargetPtr& routed : service.all) {
    const TargetStats& stats = *routed->stats;
    if (stats.samples(request.request_class) < kMinComparableSamples &&
        stats.failure_share() == 0 && !stats.ejected() &&
        IsAllowed(*routed, request)) {
      return &routed;
    }
  }
  return nullptr;
}

const RoutedTargetPtr* ChooseAffine(const TargetSelector& selector,
                                    Candidates own_zone,
                                    double mean_utilisation,
                                    double bound) {
  const auto [preferred, second] = selector.PreferredTargets(own_zone);
  for (const RoutedTargetPtr* candidate : {preferred, second}) {
    if (candidate == nullptr) {
      continue;
    }
    const double slots = std::max<uint32_t>(1, (*candidate)->target.slots);
    if (selector.Utilisation(**candidate) <=
        bound * mean_utilisation + 1 / slots) {
      return candidate;
    }
  }
  return nullptr;
}

// Mean work per slot over a sample of targets, which is accurate enough for the
// affinity bound.
double SampledUtilisation(const TargetSelector& selector,
                          Candidates from,
                          uint64_t random) {
  constexpr size_t kSamples = 8;
  const size_t count = std::min(kSamples, from.size());
  double sum = 0;
  for (size_t step = 0; step < count; ++step) {
    sum += selector.Utilisation(*from[(random + step) % from.size()]);
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

}  // namespace

Router::Router(RouterOptions options) : options_(std::move(options)) {}

RoutedTargetPtr Router::Choose(const TargetTable& table,
                               const RouteRequest& request) const {
  const ServiceTargets* service = table.Find(request.service);
  if (service == nullptr) {
    return nullptr;
  }
  RefreshGroup(*service, request.now);
  const auto zone = service->by_zone.find(options_.zone);
  const Candidates own_zone =
      zone == service->by_zone.end() ? Candidates() : Candidates(zone->second);
  if (const auto& share = request.rollout_share) {
    RoutedTargetPtr own;
    if (share->prefer_own_zone) {
      own = internal::ChooseRollout(*service, own_zone, request, *share);
    }
    return own ? own
               : internal::ChooseRollout(*service, service->all, request,
                                         *share);
  }
  if (const auto* probe =
          ProbeDue(*service, request, options_.probe_interval)) {
    return *probe;
  }
  if (options_.use_estimates && request.prefix_hash == 0 &&
      ReportsLoad(*service)) {
    return ChooseByEstimate(*service, request, options_.zone);
  }
  if (const auto* unmeasured = FindUnmeasured(*service, request)) {
    return *unmeasured;
  }
  TargetSelector selector(*service, request);
  if (request.prefix_hash != 0) {
    const double mean = SampledUtilisation(selector, own_zone, request.random);
    if (const auto* affine = mean > options_.spill_utilisation
                                 ? nullptr
                                 : ChooseAffine(selector, own_zone, mean,
                                                options_.affinity_bound)) {
      return *affine;
    }
  }
  const RoutedTargetPtr* own = selector.PowerOfTwo(own_zone, false);
  if (own != nullptr && selector.Cost(**own) <= options_.spill_utilisation) {
    return *own;
  }
  const RoutedTargetPtr* spill = selector.PowerOfTwo(service->all, false);
  if (own == nullptr && spill == nullptr) {
    spill = selector.PowerOfTwo(service->all, true);
  }
  if (own == nullptr) {
    return spill == nullptr ? nullptr : *spill;
  }
  const bool spill_is_cheaper =
      spill != nullptr &&
      selector.Cost(**spill) + options_.spill_margin < selector.Cost(**own);
  return spill_is_cheaper ? *spill : *own;
}

std::vector<RoutedTargetPtr> HealthProbesDue(const TargetTable& table,
                                             std::string_view service,
                                             Duration interval,
                                             TimePoint now) {
  std::vector<RoutedTargetPtr> due;
  if (const ServiceTargets* targets = table.Find(service)) {
    for (const RoutedTargetPtr& routed : targets->all) {
      if (routed->stats->failure_share() > kProbeFailureShare &&
          routed->stats->TryClaimProbe(now, interval)) {
        due.push_back(routed);
      }
    }
  }
  return due;
}

RoutedTargetPtr RoundRobin::Choose(const TargetTable& table,
                                   const RouteRequest& request) {
  const ServiceTargets* service = table.Find(request.service);
  if (service == nullptr) {
    return nullptr;
  }
  const uint64_t start = next_.fetch_add(1, std::memory_order_relaxed);
  for (size_t step = 0; step < service->all.size(); ++step) {
    const auto& routed = service->all[(start + step) % service->all.size()];
    if (IsAllowed(*routed, request)) {
      return routed;
    }
  }
  return nullptr;
}

RoutedTargetPtr LeastReported::Choose(const TargetTable& table,
                                      const RouteRequest& request) const {
  const ServiceTargets* service = table.Find(request.service);
  if (service == nullptr) {
    return nullptr;
  }
  const RoutedTargetPtr* best = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (const RoutedTargetPtr& routed : service->all) {
    const TargetLoad& load = routed->target.load;
    const double work = (static_cast<double>(load.running) + load.waiting) /
                        std::max<uint32_t>(1, routed->target.slots);
    if (work < least && IsAllowed(*routed, request)) {
      least = work;
      best = &routed;
    }
  }
  return best == nullptr ? nullptr : *best;
}

}  // namespace limpethatch
