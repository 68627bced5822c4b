// Measures the cost of finding the route of a live request, alone and with the
// check of its key, in nanoseconds, and the memory of the organisations.
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/organisations/key_digest.h"
#include "limpethatch/request/route_table.h"

namespace limpethatch {
namespace {

constexpr int kIterations = 200'000;
constexpr size_t kRoutes = 100;
constexpr size_t kKeysOfOne = 3;

std::string KeyOf(size_t organisation, size_t key) {
  return fmt::format("key-of-organisation-{}-{}", organisation, key);
}

std::unique_ptr<RouteTable> MakeTable(size_t organisations) {
  wire::FleetConfiguration configuration;
  for (size_t i = 0; i < kRoutes; ++i) {
    wire::Route& route = *configuration.add_routes();
    route.set_host("shop.example");
    route.set_path_prefix(fmt::format("/route-{}/", i));
  }
  for (size_t i = 0; i < organisations; ++i) {
    wire::Organisation& organisation = *configuration.add_organisations();
    organisation.set_name(fmt::format("organisation-{}", i));
    for (size_t key = 0; key < kKeysOfOne; ++key) {
      organisation.add_key_digests(EncodeKeyDigest(DigestOfKey(KeyOf(i, key))));
    }
  }
  return std::make_unique<RouteTable>(std::move(configuration));
}

template <typename F>
double NanosecondsPerIteration(F&& iteration) {
  const TimePoint start = Clock::now();
  for (size_t index = 0; index < kIterations; ++index) {
    iteration(index);
  }
  return std::chrono::duration<double, std::nano>(Clock::now() - start)
             .count() /
         kIterations;
}

void Measure(size_t organisations) {
  const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const auto table = MakeTable(organisations);
  const size_t bytes = mallinfo2().uordblks + mallinfo2().hblkhd - before;
  std::vector<std::string> paths;
  for (size_t i = 0; i < kRoutes; ++i) {
    paths.push_back(fmt::format("/route-{}/x", i));
  }
  std::vector<std::string> keys;
  for (size_t i = 0; i < 1024; ++i) {
    keys.push_back(KeyOf(i * 7919 % organisations, i % kKeysOfOne));
  }
  size_t found = 0;
  const double route = NanosecondsPerIteration([&](size_t index) {
    found += table->Match("shop.example", paths[index % kRoutes]) ? 1 : 0;
  });
  const double route_and_key = NanosecondsPerIteration([&](size_t index) {
    found += table->Match("shop.example", paths[index % kRoutes]) ? 1 : 0;
    found += table->organisations().Find(DigestOfKey(keys[index % keys.size()]))
                 ? 1
                 : 0;
  });
  fmt::print(
      "{} organisations: route {:.0f} ns, route and key {:.0f} ns, table {} "
      "bytes, found {}\n",
      organisations, route, route_and_key, bytes, found);
}

}  // namespace
}  // namespace limpethatch

int main() {
  for (const size_t organisations : {10, 1'000, 10'000}) {
    limpethatch::Measure(organisations);
  }
}
