#include "limpethatch/request/route_table.h"

#include <map>
#include <random>
#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::Route* AddRoute(wire::FleetConfiguration* configuration,
                      const std::string& name,
                      const std::string& host,
                      const std::string& prefix) {
  wire::Route& route = *configuration->add_routes();
  route.set_name(name);
  route.set_host(host);
  route.set_path_prefix(prefix);
  return &route;
}

void AddPart(wire::Route* route, const std::string& service, double weight) {
  wire::WeightedService& part = *route->add_services();
  part.set_service(service);
  part.set_weight(weight);
}

}  // namespace

Test(route_table, the_longest_prefix_of_the_host_wins) {
  wire::FleetConfiguration configuration;
  AddRoute(&configuration, "short", "shop.example", "/a/");
  AddRoute(&configuration, "long", "shop.example", "/a/b/");
  AddRoute(&configuration, "other", "other.example", "/a/b/c/");
  const RouteTable table(configuration);
  cr_assert(table.Match("shop.example", "/a/b/c/d")->name() == "long");
  cr_assert(table.Match("SHOP.example:8080", "/a/x")->name() == "short");
  cr_assert(table.Match("shop.example", "/a") == nullptr);
  cr_assert(table.Match("nobody.example", "/a/b/") == nullptr);
}

Test(route_table, services_share_a_route_by_their_weights) {
  wire::FleetConfiguration configuration;
  wire::Route* route = AddRoute(&configuration, "r", "shop.example", "/");
  AddPart(route, "most", 90);
  AddPart(route, "never", 0);
  AddPart(route, "few", 10);
  std::mt19937_64 random(1);
  std::map<std::string, int> counts;
  for (int i = 0; i < 10000; ++i) {
    ++counts[RouteTable::ServiceFor(*route, random())];
  }
  cr_assert(counts["never"] == 0);
  cr_assert(counts["few"] > 850 && counts["few"] < 1150);
}

// Guards against a sum of weights that overflows: all requests went to the last
// part.
Test(route_table, a_split_is_followed_whatever_the_size_of_its_weights) {
  for (const double unit : {1e-300, 1.0, 1e15, 1e308}) {
    wire::FleetConfiguration configuration;
    wire::Route* route =
        AddRoute(&configuration, "split", "shop.example", "/a/");
    AddPart(route, "none", 0);
    AddPart(route, "half", unit);
    AddPart(route, "other-half", unit);
    std::map<std::string, int> chosen;
    std::mt19937_64 random(1);
    constexpr int kRequests = 1000;
    for (int i = 0; i < kRequests; ++i) {
      ++chosen[RouteTable::ServiceFor(*route, random())];
    }
    cr_assert_eq(chosen["none"], 0);
    cr_assert_geq(chosen["half"], kRequests * 2 / 5);
    cr_assert_geq(chosen["other-half"], kRequests * 2 / 5);
  }
}

}  // namespace limpethatch
