#include "limpethatch/version/job_route.h"

#include <algorithm>
#include <string_view>

namespace limpethatch {
namespace {

// A job without an organisation could not be read once keys are required, nor
// one of an organisation that is not configured any more.
bool IsOrganisationInForce(const wire::FleetConfiguration& configuration,
                           const wire::JobSubmit& submit) {
  if (!configuration.keys_required()) {
    return submit.organisation().empty();
  }
  return std::any_of(configuration.organisations().begin(),
                     configuration.organisations().end(),
                     [&](const wire::Organisation& organisation) {
                       return organisation.name() == submit.organisation();
                     });
}

// Whether requests of the route may go to the service.
bool MayServe(const wire::Route& route, std::string_view service) {
  return std::any_of(route.services().begin(), route.services().end(),
                     [&](const wire::WeightedService& part) {
                       return part.service() == service && part.weight() > 0;
                     });
}

}  // namespace

bool IsJobRouteInForce(const wire::FleetConfiguration& configuration,
                       const wire::JobSubmit& submit) {
  if (submit.configuration_version() == 0 ||
      submit.configuration_version() >= configuration.version()) {
    return true;
  }
  return IsOrganisationInForce(configuration, submit) &&
         std::any_of(configuration.routes().begin(),
                     configuration.routes().end(),
                     [&](const wire::Route& route) {
                       return route.kind() == wire::ROUTE_JOBS &&
                              route.host() == submit.host() &&
                              route.path_prefix() == submit.path_prefix() &&
                              MayServe(route, submit.service()) &&
                              route.single_version() == submit.single_version();
                     });
}

}  // namespace limpethatch
