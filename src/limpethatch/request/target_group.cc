#include "limpethatch/request/target_group.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace limpethatch {
namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
constexpr uint32_t kMinSamples = 3;
constexpr double kEjectSlowness = 3.0;
constexpr double kReadmitSlowness = 2.0;
// Latency below this multiple of the typical one is ignored: it may be due to
// queueing, which the outstanding work already accounts for.
constexpr double kMinSlowLatencyRatio = 1.5;
// A greater share of failures does not increase the slowness further.
constexpr double kMaxCountedFailureShare = 0.7;
// A typical latency above this multiple of the best counts as degraded. The
// best is raised on each refresh, and so doubles in about a minute.
constexpr double kDegradedLatencyRatio = 2.0;
constexpr double kBestLatencyGrowthPerRefresh = 1.001;
constexpr uint32_t kChoicesPerProbe = 250;

// The `share` quantile, with the index rounded down.
double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto place =
      values.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

// The fifth power makes two consecutive failures enough to eject; one is not.
double FailureFactor(double failures) {
  const double good = 1 - std::clamp(failures, 0.0, kMaxCountedFailureShare);
  return 1 / (good * good * good * good * good);
}

}  // namespace

bool TargetGroup::TryClaimRefresh(TimePoint now) {
  const Duration::rep at = now.time_since_epoch().count();
  Duration::rep next = next_refresh_.load(std::memory_order_relaxed);
  return at >= next && next_refresh_.compare_exchange_strong(
                           next, at + Duration(kRefreshInterval).count(),
                           std::memory_order_relaxed);
}

void TargetGroup::Refresh(std::span<TargetStats* const> peers, TimePoint now) {
  UpdateTypical(peers);
  std::vector<std::pair<double, TargetStats*>> outliers;
  for (TargetStats* peer : peers) {
    const double slowness = WorstSlowness(*peer);
    const double bound = peer->ejected() ? kReadmitSlowness : kEjectSlowness;
    if (slowness > bound) {
      outliers.emplace_back(slowness, peer);
    } else {
      peer->set_ejected(false, now);
    }
  }
  std::sort(outliers.rbegin(), outliers.rend());
  const auto max_ejected =
      static_cast<size_t>(static_cast<double>(peers.size()) * kMaxEjectedShare);
  // Readmits targets before ejecting others, so that the share is never
  // exceeded.
  for (size_t rank = outliers.size(); rank-- > 0;) {
    outliers[rank].second->set_ejected(rank < max_ejected, now);
  }
  ejected_.store(!outliers.empty() && max_ejected > 0,
                 std::memory_order_relaxed);
}

void TargetGroup::UpdateTypical(std::span<TargetStats* const> peers) {
  std::vector<double> failures;
  for (const TargetStats* peer : peers) {
    failures.push_back(peer->failure_share());
  }
  // A low quantile, because most targets may be unreachable in a partition
  // while those of one zone can be reached.
  typical_failure_share_.store(Quantile(failures, 0.25),
                               std::memory_order_relaxed);
  for (size_t index = 0; index < kRequestClasses; ++index) {
    const auto request_class = static_cast<RequestClass>(index);
    std::vector<double> latencies;
    for (const TargetStats* peer : peers) {
      if (peer->samples(request_class) >= kMinSamples) {
        latencies.push_back(peer->latency_s(request_class));
      }
    }
    if (!latencies.empty()) {
      const double typical_s = Quantile(latencies, 0.5);
      const double best_s =
          best_typical_s_[index].load(std::memory_order_relaxed) *
          kBestLatencyGrowthPerRefresh;
      typical_latency_s_[index].store(typical_s, std::memory_order_relaxed);
      best_typical_s_[index].store(
          best_s == 0 ? typical_s : std::min(best_s, typical_s),
          std::memory_order_relaxed);
    }
  }
}

double TargetGroup::WorstSlowness(const TargetStats& stats) const {
  double worst = 1;
  for (size_t index = 0; index < kRequestClasses; ++index) {
    worst = std::max(worst, Slowness(stats, static_cast<RequestClass>(index)));
  }
  return worst;
}

double TargetGroup::typical_latency_s(RequestClass request_class) const {
  return typical_latency_s_[static_cast<size_t>(request_class)].load(
      std::memory_order_relaxed);
}

bool TargetGroup::latency_degraded(RequestClass request_class) const {
  const auto index = static_cast<size_t>(request_class);
  const double best_s = best_typical_s_[index].load(std::memory_order_relaxed);
  return best_s > 0 &&
         typical_latency_s(request_class) > kDegradedLatencyRatio * best_s;
}

double TargetGroup::Slowness(const TargetStats& stats,
                             RequestClass request_class) const {
  const double typical = typical_latency_s(request_class);
  const double own = stats.latency_s(request_class);
  const double ratio = typical > 0 && own > kMinSlowLatencyRatio * typical &&
                               stats.samples(request_class) >= kMinSamples
                           ? own / typical
                           : 1.0;
  return ratio * FailurePenalty(stats);
}

double TargetGroup::FailurePenalty(const TargetStats& stats) const {
  return FailureFactor(stats.failure_share() -
                       typical_failure_share_.load(std::memory_order_relaxed));
}

bool TargetGroup::ProbeAllowed() {
  if (choices_since_probe_.fetch_add(1, std::memory_order_relaxed) + 1 <
      kChoicesPerProbe) {
    return false;
  }
  choices_since_probe_.store(0, std::memory_order_relaxed);
  return true;
}

void TargetGroup::CopyFrom(const TargetGroup& other) {
  const auto copy = [](auto& to, const auto& from) {
    to.store(from.load(std::memory_order_relaxed), std::memory_order_relaxed);
  };
  for (size_t i = 0; i < kRequestClasses; ++i) {
    copy(typical_latency_s_[i], other.typical_latency_s_[i]);
    copy(best_typical_s_[i], other.best_typical_s_[i]);
  }
  copy(typical_failure_share_, other.typical_failure_share_);
  copy(next_refresh_, other.next_refresh_);
  copy(ejected_, other.ejected_);
  copy(choices_since_probe_, other.choices_since_probe_);
}

}  // namespace limpethatch
