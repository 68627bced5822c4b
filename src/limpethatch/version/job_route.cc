#include "limpethatch/version/job_route.h"

#include <algorithm>

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
                              route.services_size() > 0 &&
                              route.services(0).service() == submit.service() &&
                              route.single_version() == submit.single_version();
                     });
}

}  // namespace limpethatch
