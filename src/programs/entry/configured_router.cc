#include "programs/entry/configured_router.h"

namespace limpethatch {
namespace {

constexpr std::string_view kWeighted = "weighted";
constexpr std::string_view kRoundRobin = "round_robin";
constexpr std::string_view kLeastReported = "least_reported";

}  // namespace

bool IsRoutingPolicy(std::string_view name) {
  return name == kWeighted || name == kRoundRobin || name == kLeastReported;
}

ConfiguredRouter::ConfiguredRouter(std::string_view policy,
                                   const RouterOptions& options)
    : policy_(std::in_place_type<Router>, options) {
  if (policy == kRoundRobin) {
    policy_.emplace<RoundRobin>();
  } else if (policy == kLeastReported) {
    policy_.emplace<LeastReported>();
  }
}

RoutedTargetPtr ConfiguredRouter::Choose(const TargetTable& table,
                                         const RouteRequest& request) {
  return std::visit([&](auto& policy) { return policy.Choose(table, request); },
                    policy_);
}

}  // namespace limpethatch
