// Routes with the policy that the settings name.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_CONFIGURED_ROUTER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_CONFIGURED_ROUTER_H_

#include <string_view>
#include <variant>

#include "limpethatch/request/router.h"

namespace limpethatch {

// Accepts "weighted" and the baselines "round_robin" and "least_reported".
bool IsRoutingPolicy(std::string_view name);

// Thread-safe.
class ConfiguredRouter {
 public:
  // `policy` must satisfy IsRoutingPolicy.
  ConfiguredRouter(std::string_view policy, const RouterOptions& options);

  RoutedTargetPtr Choose(const TargetTable& table, const RouteRequest& request);

 private:
  std::variant<Router, RoundRobin, LeastReported> policy_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_CONFIGURED_ROUTER_H_
