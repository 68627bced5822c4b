// Chooses targets for rollouts so that live requests find slots free.
#ifndef LIMPETHATCH_REQUEST_INTERNAL_ROLLOUT_CHOICE_H_
#define LIMPETHATCH_REQUEST_INTERNAL_ROLLOUT_CHOICE_H_

#include <cstdint>

#include "limpethatch/request/router.h"

namespace limpethatch::internal {

// Spreads a value over all 64 bits.
uint64_t MixBits(uint64_t value);

// Whether the request itself permits that target.
bool IsAllowed(const RoutedTarget& routed, const RouteRequest& request);

// Null if no slot is free that this instance may use.
RoutedTargetPtr ChooseRollout(const ServiceTargets& service,
                              const RouteRequest& request,
                              const RolloutShare& share);

}  // namespace limpethatch::internal

#endif  // LIMPETHATCH_REQUEST_INTERNAL_ROLLOUT_CHOICE_H_
