#include "limpethatch/version/job_route.h"

#include <algorithm>

namespace limpethatch {

bool IsJobRouteInForce(const wire::FleetConfiguration& configuration,
                       const wire::JobSubmit& submit) {
  if (submit.configuration_version() == 0 ||
      submit.configuration_version() >= configuration.version()) {
    return true;
  }
  return std::any_of(configuration.routes().begin(),
                     configuration.routes().end(),
                     [&](const wire::Route& route) {
                       return route.kind() == wire::ROUTE_JOBS &&
                              route.host() == submit.host() &&
                              route.path_prefix() == submit.path_prefix() &&
                              route.services_size() > 0 &&
                              route.services(0).service() == submit.service() &&
                              route.single_version() == submit.single_version();
                     });
}

}  // namespace limpethatch
