// Chooses among the targets of one service by when they would finish a request.
#ifndef LIMPETHATCH_REQUEST_TARGETS_ESTIMATE_CHOICE_H_
#define LIMPETHATCH_REQUEST_TARGETS_ESTIMATE_CHOICE_H_

#include <string_view>

#include "limpethatch/request/router.h"

namespace limpethatch {

// Whether the targets of the service report the four load figures: at least one
// does, and no answer of another came without them.
bool ReportsLoad(const ServiceTargets& service);

// The better of two targets that are drawn at random, so that instances which
// know the same do not choose the same. Targets without a free slot are drawn
// only if all others have none or have reached their share. Returns null if no
// target may get the request.
RoutedTargetPtr ChooseByEstimate(const ServiceTargets& service,
                                 const RouteRequest& request,
                                 std::string_view own_zone);

// Records that a request was sent to `chosen`, a target of `service` (null if
// it takes no new work any more), and charges it to the target's share: of any
// N requests, it gets at most MaxShare * N + kShareBurst + 1, whatever the
// figures, unless other targets may not get them.
void RecordSent(const ServiceTargets* service,
                const RoutedTarget& chosen,
                TimePoint now);

inline constexpr double kShareBurst = 4;
// For a service with that many targets.
double MaxShare(size_t targets);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGETS_ESTIMATE_CHOICE_H_
