#include "limpethatch/request/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace limpethatch {
namespace {

std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(wire::FleetConfiguration configuration)
    : configuration_(std::move(configuration)), organisations_(configuration_) {
  // Swaps the field, since clearing it would not release its memory.
  google::protobuf::RepeatedPtrField<wire::Organisation>().Swap(
      configuration_.mutable_organisations());
  for (const wire::Route& route : configuration_.routes()) {
    by_host_[HostName(route.host())].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](auto* a, auto* b) {
      return a->path_prefix().size() > b->path_prefix().size();
    });
  }
}

const wire::Route* RouteTable::Match(std::string_view host,
                                     std::string_view path) const {
  const auto found = by_host_.find(HostName(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const wire::Route* route : found->second) {
    if (path.starts_with(route->path_prefix())) {
      return route;
    }
  }
  return nullptr;
}

const std::string& RouteTable::ServiceFor(const wire::Route& route,
                                          uint64_t random) {
  // Weights relative to the largest one, as the sum of weights may not be
  // finite.
  double largest = 0;
  for (const wire::WeightedService& part : route.services()) {
    largest = std::max(largest, part.weight());
  }
  const double unit = largest > 0 ? largest : 1;
  double total = 0;
  for (const wire::WeightedService& part : route.services()) {
    total += part.weight() / unit;
  }
  // The upper 53 bits give a uniform double in [0, 1).
  constexpr double kScale = 1.0 / static_cast<double>(uint64_t{1} << 53);
  double left = static_cast<double>(random >> 11) * kScale * total;
  for (const wire::WeightedService& part : route.services()) {
    left -= part.weight() / unit;
    if (left < 0) {
      return part.service();
    }
  }
  return route.services(route.services_size() - 1).service();
}

const wire::ServiceDeclaration* RouteTable::Service(
    std::string_view name) const {
  for (const wire::ServiceDeclaration& service : configuration_.services()) {
    if (service.name() == name) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace limpethatch
