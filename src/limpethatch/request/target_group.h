// Outlier detection: compares the observed latency and failures of the targets
// of one service, to find those that are slow or failing without reporting it.
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

// At most this share of a service's targets is ejected at a time.
inline constexpr double kMaxEjectedShare = 1.0 / 3;

// Lock-free and thread-safe. Shared by successive target tables.
class TargetGroup {
 public:
  // Returns true to one caller per refresh interval, which then calls Refresh.
  bool TryClaimRefresh(TimePoint now);
  // Recomputes the typical latencies and ejects the worst outliers.
  void Refresh(std::span<TargetStats* const> peers, TimePoint now);

  // Median latency over the targets, in seconds; 0 while unknown.
  double typical_latency_s(RequestClass request_class) const;
  // True if the typical latency is far above its recent minimum.
  bool latency_degraded(RequestClass request_class) const;
  // How many times slower than its peers a target is, with failures in excess
  // of theirs counted as slowness. At least 1, which is normal.
  double Slowness(const TargetStats& stats, RequestClass request_class) const;

  // The part of it that is due to failures.
  double FailurePenalty(const TargetStats& stats) const;

  // True if a target is ejected; checked before searching for one to probe.
  bool any_ejected() const { return ejected_.load(std::memory_order_relaxed); }
  // Whether a request may be used as a probe now. Rare enough that probes do
  // not affect the 99th percentile of latency.
  bool ProbeAllowed();

  // Takes over all figures of `other`, which may be updated meanwhile.
  void CopyFrom(const TargetGroup& other);

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
