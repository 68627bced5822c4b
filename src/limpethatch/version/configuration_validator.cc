#include "limpethatch/version/configuration_validator.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
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

// Targets get the name as a header. Spaces at its ends would be lost there, and
// a line break would begin another header.
bool IsHeaderValue(std::string_view name) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return !name.empty() && name.front() != ' ' && name.back() != ' ' &&
         std::none_of(name.begin(), name.end(), [](unsigned char c) {
           return c < kSpace || c == kDelete;
         });
}

void CheckOrganisations(const wire::FleetConfiguration& configuration,
                        std::vector<std::string>* faults) {
  std::unordered_set<std::string_view> names;
  // By digest. The views stay valid, as the configuration does not change.
  std::unordered_map<std::string_view, const wire::Organisation*> by_key;
  for (const wire::Organisation& organisation : configuration.organisations()) {
    if (!IsHeaderValue(organisation.name())) {
      faults->push_back(
          "a tenant's name is empty, begins or ends with a space, or has a "
          "control character");
    }
    if (!names.insert(organisation.name()).second) {
      faults->push_back(
          fmt::format("two tenants are named \"{}\"", organisation.name()));
    }
    for (const std::string& digest : organisation.key_digests()) {
      const wire::Organisation* owner =
          by_key.emplace(digest, &organisation).first->second;
      if (owner != &organisation) {
        faults->push_back(
            fmt::format("tenants \"{}\" and \"{}\" have the same key",
                        owner->name(), organisation.name()));
      }
    }
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
  CheckOrganisations(configuration, &faults);
  return faults;
}

}  // namespace limpethatch
