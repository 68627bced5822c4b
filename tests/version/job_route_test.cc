#include "limpethatch/version/job_route.h"

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::FleetConfiguration MakeConfiguration(uint64_t version,
                                           const std::string& prefix,
                                           const std::string& service) {
  wire::FleetConfiguration configuration;
  configuration.set_version(version);
  wire::Route& route = *configuration.add_routes();
  route.set_kind(wire::ROUTE_JOBS);
  route.set_host("drill.example");
  route.set_path_prefix(prefix);
  route.add_services()->set_service(service);
  return configuration;
}

wire::JobSubmit MakeSubmit(uint64_t version) {
  wire::JobSubmit submit;
  submit.set_configuration_version(version);
  submit.set_host("drill.example");
  submit.set_path_prefix("/drill/");
  submit.set_service("coach");
  return submit;
}

}  // namespace

// A gateway that had been cut off submitted jobs by a route that a later
// configuration had moved or removed.
Test(job_route, a_route_that_was_moved_or_removed_is_not_in_force) {
  cr_assert_not(IsJobRouteInForce(MakeConfiguration(8, "/drill/", "tutor"),
                                  MakeSubmit(7)));
  cr_assert_not(IsJobRouteInForce(MakeConfiguration(8, "/other/", "coach"),
                                  MakeSubmit(7)));
}

Test(job_route, a_route_that_a_newer_configuration_kept_is_in_force) {
  cr_assert(IsJobRouteInForce(MakeConfiguration(8, "/drill/", "coach"),
                              MakeSubmit(7)));
}

Test(job_route, a_job_of_a_newer_or_unknown_configuration_is_not_refused) {
  const auto configuration = MakeConfiguration(8, "/other/", "tutor");
  cr_assert(IsJobRouteInForce(configuration, MakeSubmit(8)));
  cr_assert(IsJobRouteInForce(configuration, MakeSubmit(9)));
  cr_assert(IsJobRouteInForce(configuration, MakeSubmit(0)));
}

}  // namespace limpethatch
