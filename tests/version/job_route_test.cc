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
  wire::WeightedService& part = *route.add_services();
  part.set_service(service);
  part.set_weight(1);
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

// Guards against a split that moves a route away from a service: jobs went on
// being accepted for the part with weight 0.
Test(job_route, only_services_with_a_weight_are_in_force) {
  wire::FleetConfiguration configuration =
      MakeConfiguration(8, "/drill/", "coach");
  wire::WeightedService& part =
      *configuration.mutable_routes(0)->add_services();
  part.set_service("tutor");
  part.set_weight(100);
  wire::JobSubmit submit = MakeSubmit(7);
  for (const char* service : {"coach", "tutor"}) {
    submit.set_service(service);
    cr_assert(IsJobRouteInForce(configuration, submit), "%s", service);
  }
  configuration.mutable_routes(0)->mutable_services(0)->set_weight(0);
  cr_assert(IsJobRouteInForce(configuration, submit));
  submit.set_service("coach");
  cr_assert_not(IsJobRouteInForce(configuration, submit));
}

Test(job_route, a_job_of_a_newer_or_unknown_configuration_is_not_refused) {
  const auto configuration = MakeConfiguration(8, "/other/", "tutor");
  cr_assert(IsJobRouteInForce(configuration, MakeSubmit(8)));
  cr_assert(IsJobRouteInForce(configuration, MakeSubmit(9)));
  cr_assert(IsJobRouteInForce(configuration, MakeSubmit(0)));
}

}  // namespace limpethatch
