// Compares the targets of one service with each other by outcomes, to find
// those that are slow or failing without saying so.
#ifndef LIMPETHATCH_REQUEST_TARGET_GROUP_H_
#define LIMPETHATCH_REQUEST_TARGET_GROUP_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/target_stats.h"

namespace limpethatch {

// No more than this share of a service's targets is ejected at once.
inline constexpr double kMaxEjectedShare = 1.0 / 3;

// Atomics only. Outlives the target tables that point to it.
class TargetGroup {
 public:
  // True for one caller in each refresh interval, who then calls Refresh.
  bool TryClaimRefresh(TimePoint now);
  // Finds the typical latencies again and ejects the worst outliers.
  void Refresh(std::span<TargetStats* const> peers, TimePoint now);

  // The median over the targets in seconds; 0 while unknown.
  double typical_latency_s(RequestClass request_class) const;
  // The typical latency is far above the best that it was of late.
  bool latency_degraded(RequestClass request_class) const;
  // How many times slower than its peers a target answers, failures beyond
  // theirs included: 1 for an ordinary one, never less.
  double Slowness(const TargetStats& stats, RequestClass request_class) const;

  // Some target is ejected: looked at before any search for one to probe.
  bool any_ejected() const { return ejected_.load(std::memory_order_relaxed); }
  // Whether a request may serve as a probe now: so seldom that the probes stay
  // out of the 99th percentile.
  bool ProbeAllowed();

 private:
  void UpdateTypical(std::span<TargetStats* const> peers);
  double WorstSlowness(const TargetStats& stats) const;

  std::array<std::atomic<double>, kRequestClasses> typical_latency_s_{};
  std::array<std::atomic<double>, kRequestClasses> best_typical_s_{};
  std::atomic<double> typical_failure_share_{0};
  std::atomic<Duration::rep> next_refresh_{0};
  std::atomic<bool> ejected_{false};
  std::atomic<uint32_t> choices_since_probe_{0};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGET_GROUP_H_
