// Routing policies: choose a target for each request from an immutable table.
#ifndef LIMPETHATCH_REQUEST_ROUTER_H_
#define LIMPETHATCH_REQUEST_ROUTER_H_

#include <atomic>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/target.h"

namespace limpethatch {

// The slots of each target that rollouts may use are divided among the live
// instances that have rollouts to run there, so that instances choosing at the
// same time cannot overload a target. Slots that reports show to be free may be
// borrowed by other instances.
struct RolloutShare {
  uint32_t spare_slots = 1;  // Of each target, reserved for live requests.
  uint32_t instance = 0;     // Rank of this one among those instances.
  uint32_t instances = 1;
  // Whether slots in the own zone are used before those of other zones.
  bool prefer_own_zone = false;
};

struct RouteRequest {
  std::string_view service;
  RequestClass request_class = RequestClass::kLive;
  // Digest of the prompt's prefix, so that requests that share it are routed to
  // the engine that has it cached; 0 for none.
  uint64_t prefix_hash = 0;
  // Ids of targets that must not get this request.
  std::span<const std::string> excluded;
  // Required version of the target, to resume a stream.
  std::optional<uint64_t> version;
  // For rollouts: determines the slots that this instance may use. If all are
  // in use, the policy returns null and the rollout waits.
  std::optional<RolloutShare> rollout_share;
  // Uniformly distributed and new for each request; policies have no random
  // generator of their own.
  uint64_t random = 0;
  TimePoint now;
};

// Chooses the target of a request. Choose returns null if no target may get the
// request, and must be thread-safe.
template <typename P>
concept RoutingPolicy = requires(P& policy,
                                 const TargetTable& table,
                                 const RouteRequest& request) {
  { policy.Choose(table, request) } -> std::same_as<RoutedTargetPtr>;
};

struct RouterOptions {
  std::string zone;  // Of this instance.
  // Other zones are considered if the target chosen in the own zone costs more
  // than this, in work per slot. Prefix affinity is not applied if the mean
  // work per slot of the own zone exceeds it.
  double spill_utilisation = 1.0;
  // A target of another zone must cost less by this margin, in work per slot.
  double spill_margin = 0.25;
  // A prefix-affine target is chosen while its work per slot is at most this
  // multiple of the mean, plus one request.
  double affinity_bound = 1.25;
  // Whether ChooseByEstimate is used for targets that report four load figures.
  // Only for single-threaded processes, which update the estimates.
  bool use_estimates = false;
  // Minimum time between two probes of an ejected target.
  Duration probe_interval = std::chrono::seconds(1);
};

// Power of two choices on this instance's outstanding calls, corrected by the
// delayed load reports of targets and weighted by the observed slowness of each
// target. Prefers the own zone, applies prefix affinity with bounded load, and
// ejects and probes outliers.
class Router {
 public:
  explicit Router(RouterOptions options);

  RoutedTargetPtr Choose(const TargetTable& table,
                         const RouteRequest& request) const;

 private:
  RouterOptions options_;
};

// Returns the targets of the service that are due for a health probe because
// calls to them fail; each at most once per `interval`. Report the result to
// TargetStats::OnHealthProbe. This readmits targets that were unreachable
// without risking a call.
std::vector<RoutedTargetPtr> HealthProbesDue(const TargetTable& table,
                                             std::string_view service,
                                             Duration interval,
                                             TimePoint now);

// Baseline: each eligible target in turn, regardless of zone.
class RoundRobin {
 public:
  RoutedTargetPtr Choose(const TargetTable& table, const RouteRequest& request);

 private:
  std::atomic<uint64_t> next_{0};
};

// Baseline: the target whose last report shows the least work per slot.
class LeastReported {
 public:
  RoutedTargetPtr Choose(const TargetTable& table,
                         const RouteRequest& request) const;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_ROUTER_H_
