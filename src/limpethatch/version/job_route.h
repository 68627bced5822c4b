// The route of a batch job.
#ifndef LIMPETHATCH_VERSION_JOB_ROUTE_H_
#define LIMPETHATCH_VERSION_JOB_ROUTE_H_

#include "fleet.pb.h"

namespace limpethatch {

// Whether the configuration still has the route by which the job was submitted,
// to the same service with a weight above 0, with the same rule for versions,
// and its organisation. True if the job was submitted under this configuration
// or a newer one, or does not tell which.
bool IsJobRouteInForce(const wire::FleetConfiguration& configuration,
                       const wire::JobSubmit& submit);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_JOB_ROUTE_H_
