#include "limpethatch/version/configuration_validator.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace limpethatch {
namespace {

void CheckServices(const wire::Route& route,
                   const std::set<std::string>& known,
                   std::vector<std::string>* faults) {
  double total = 0;
  for (const wire::WeightedService& part : route.services()) {
    total += part.weight();
    if (!known.contains(part.service())) {
      faults->push_back(fmt::format("route \"{}\" names unknown service \"{}\"",
                                    route.name(), part.service()));
    }
    if (part.weight() < 0) {
      faults->push_back(
          fmt::format("route \"{}\" has a negative weight", route.name()));
    }
  }
  if (total <= 0) {
    faults->push_back(
        fmt::format("the weights of route \"{}\" add up to 0", route.name()));
  }
}

}  // namespace

std::vector<std::string> ValidateConfiguration(
    const wire::FleetConfiguration& configuration) {
  std::vector<std::string> faults;
  std::set<std::string> services;
  for (const wire::ServiceDeclaration& service : configuration.services()) {
    services.insert(service.name());
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const wire::Route& route : configuration.routes()) {
    CheckServices(route, services, &faults);
    if (!places.emplace(route.host(), route.path_prefix()).second) {
      faults.push_back(fmt::format("two routes have host \"{}\" and prefix {}",
                                   route.host(), route.path_prefix()));
    }
    if (route.timeout_ms() == 0) {
      faults.push_back(
          fmt::format("the time-out of route \"{}\" is 0", route.name()));
    }
  }
  return faults;
}

}  // namespace limpethatch
