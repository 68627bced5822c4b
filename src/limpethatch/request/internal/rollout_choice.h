// Chooses targets for rollouts, leaving slots free for live requests.
#ifndef LIMPETHATCH_REQUEST_INTERNAL_ROLLOUT_CHOICE_H_
#define LIMPETHATCH_REQUEST_INTERNAL_ROLLOUT_CHOICE_H_

#include <cstdint>
#include <span>

#include "limpethatch/request/router.h"

namespace limpethatch::internal {

// 64-bit finaliser: mixes every input bit into all output bits.
uint64_t MixBits(uint64_t value);

// Whether the request's version and excluded targets permit the target.
bool IsAllowed(const RoutedTarget& routed, const RouteRequest& request);

// Chooses among `from`, which are targets of the service. Returns null if there
// is no free slot that this instance may use.
RoutedTargetPtr ChooseRollout(const ServiceTargets& service,
                              std::span<const RoutedTargetPtr> from,
                              const RouteRequest& request,
                              const RolloutShare& share);

}  // namespace limpethatch::internal

#endif  // LIMPETHATCH_REQUEST_INTERNAL_ROLLOUT_CHOICE_H_
