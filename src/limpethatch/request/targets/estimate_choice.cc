#include "limpethatch/request/targets/estimate_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

#include "limpethatch/request/internal/rollout_choice.h"

namespace limpethatch {
namespace {

// Time between zones and back, far less than the 25 ms of a request that waits.
constexpr Duration kOtherZoneTime = std::chrono::microseconds(1600);
// Targets that are compared for each request.
constexpr size_t kDraws = 2;
constexpr double kMaxShareOfPair = 0.9;
constexpr double kMaxShareOverMean = 2;
// Failed calls of a target that has not been used count this long.
constexpr Duration kFailureLifetime = std::chrono::seconds(10);
// Exceeded after two failures in a row.
constexpr double kFailingPenalty = 2;

struct Candidate {
  const RoutedTargetPtr* routed;
  bool is_saturated = false;
  bool is_failing = false;
  bool has_share = true;
  double cost_s = 0;
};

// Mean over the targets, weighted by how much the history of each still counts.
Duration TypicalWork(const ServiceTargets& service, TimePoint now) {
  double sum_s = 0;
  double weights = 0;
  for (const RoutedTargetPtr& routed : service.all) {
    const double weight = routed->estimate->HistoryWeight(now);
    sum_s +=
        weight *
        std::chrono::duration<double>(routed->estimate->typical_work()).count();
    weights += weight;
  }
  return weights == 0 ? Duration::zero()
                      : std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(sum_s / weights));
}

// Keeps the candidates that satisfy the predicate, unless none does.
template <typename Predicate>
void Prefer(std::vector<Candidate>& candidates, Predicate is_better) {
  if (std::any_of(candidates.begin(), candidates.end(), is_better)) {
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return !is_better(candidate);
    });
  }
}

// The cheapest of a few that are drawn at random, without repetition.
const Candidate* Cheapest(std::vector<Candidate>& candidates, uint64_t random) {
  const Candidate* cheapest = nullptr;
  const size_t draws = std::min(kDraws, candidates.size());
  for (size_t draw = 0; draw < draws; ++draw) {
    random = internal::MixBits(random + 0x9e3779b97f4a7c15ULL);
    std::swap(candidates[draw],
              candidates[draw + random % (candidates.size() - draw)]);
    if (cheapest == nullptr || candidates[draw].cost_s < cheapest->cost_s) {
      cheapest = &candidates[draw];
    }
  }
  return cheapest;
}

}  // namespace

bool ReportsLoad(const ServiceTargets& service) {
  bool reported = false;
  for (const RoutedTargetPtr& routed : service.all) {
    if (routed->estimate->reports_load()) {
      reported = true;
    } else if (routed->estimate->lacks_load()) {
      return false;
    }
  }
  return reported;
}

double MaxShare(size_t targets) {
  return std::min(
      kMaxShareOfPair,
      kMaxShareOverMean / static_cast<double>(std::max<size_t>(targets, 1)));
}

RoutedTargetPtr ChooseByEstimate(const ServiceTargets& service,
                                 const RouteRequest& request,
                                 std::string_view own_zone) {
  const Duration typical = TypicalWork(service, request.now);
  std::vector<Candidate> candidates;
  candidates.reserve(service.all.size());
  for (const RoutedTargetPtr& routed : service.all) {
    if (!internal::IsAllowed(*routed, request)) {
      continue;
    }
    const TargetEstimate& estimate = *routed->estimate;
    const TargetForecast forecast = estimate.Estimate(typical, request.now);
    const Duration time =
        forecast.finish +
        (routed->target.zone == own_zone ? Duration::zero() : kOtherZoneTime);
    const double failure_weight = std::exp(
        -std::chrono::duration<double>(estimate.IdleTime(request.now)) /
        kFailureLifetime);
    const double penalty =
        1 +
        failure_weight * (service.group->FailurePenalty(*routed->stats) - 1);
    candidates.push_back(
        {.routed = &routed,
         .is_saturated = forecast.is_saturated,
         .is_failing = penalty > kFailingPenalty,
         .has_share = estimate.share_credit() > -kShareBurst,
         .cost_s = std::chrono::duration<double>(time).count() * penalty});
  }
  if (candidates.empty()) {
    return nullptr;
  }
  Prefer(candidates, [](const Candidate& each) { return !each.is_failing; });
  Prefer(candidates, [](const Candidate& each) { return each.has_share; });
  Prefer(candidates, [](const Candidate& each) { return !each.is_saturated; });
  return *Cheapest(candidates, request.random)->routed;
}

void RecordSent(const ServiceTargets* service,
                const RoutedTarget& chosen,
                TimePoint now) {
  if (service != nullptr) {
    const double earned = MaxShare(service->all.size());
    for (const RoutedTargetPtr& routed : service->all) {
      TargetEstimate& peer = *routed->estimate;
      peer.set_share_credit(std::min(0.0, peer.share_credit() + earned));
    }
  }
  TargetEstimate& estimate = *chosen.estimate;
  estimate.set_share_credit(
      std::max(-kShareBurst - 1, estimate.share_credit() - 1));
  estimate.OnSent(now);
}

}  // namespace limpethatch
