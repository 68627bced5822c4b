// Measures the cost of single decisions on the request path: routing, admission
// and the poison check in nanoseconds, building a target table in microseconds.
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/request/admission.h"
#include "limpethatch/request/poison_registry.h"
#include "limpethatch/request/router.h"

namespace limpethatch {
namespace {

constexpr int kIterations = 200000;

template <typename F>
double NanosecondsPerIteration(int iterations, F&& iteration) {
  const TimePoint start = Clock::now();
  for (int index = 0; index < iterations; ++index) {
    iteration(static_cast<uint64_t>(index));
  }
  return std::chrono::duration<double, std::nano>(Clock::now() - start)
             .count() /
         iterations;
}

std::vector<Target> MakeTargets(size_t count) {
  std::vector<Target> targets;
  for (size_t index = 0; index < count; ++index) {
    Target target;
    target.id = "target-" + std::to_string(index);
    target.service = "service";
    target.zone = "zone-" + std::to_string(index % 3);
    target.slots = 8;
    target.load = {static_cast<uint32_t>(index % 8), 0, Clock::now()};
    targets.push_back(std::move(target));
  }
  return targets;
}

// Includes opening and finishing the call ticket. About two requests per target
// are outstanding.
template <typename Policy>
double RoutingCost(Policy policy, size_t count, uint64_t prefix_step) {
  const TargetTable table(MakeTargets(count), nullptr);
  const TimePoint start = Clock::now();
  std::vector<std::optional<CallTicket>> open(2 * count);
  return NanosecondsPerIteration(kIterations, [&](uint64_t iteration) {
    RouteRequest request;
    request.service = "service";
    request.random = iteration * 0x9e3779b97f4a7c15ULL;
    request.prefix_hash = iteration * prefix_step;
    request.now = start + std::chrono::microseconds(10 * iteration);
    const auto chosen_target = policy.Choose(table, request);
    auto& ticket = open[iteration % open.size()];
    if (ticket) {
      ticket->Finish(CallOutcome::kAnswered, request.now);
    }
    ticket.reset();
    ticket.emplace(*chosen_target, RequestClass::kLive, request.now);
  });
}

double TableBuildCost(size_t count) {
  const auto targets = MakeTargets(count);
  const TargetTable previous(targets, nullptr);
  return NanosecondsPerIteration(
      200, [&](uint64_t) { const TargetTable next(targets, &previous); });
}

double AdmissionCost() {
  Admission admission({});
  const TimePoint start = Clock::now();
  return NanosecondsPerIteration(kIterations, [&](uint64_t iteration) {
    const TimePoint now = start + std::chrono::microseconds(10 * iteration);
    admission.Offer({iteration, "customer", 1, RequestClass::kLookup,
                     now + std::chrono::seconds(1)},
                    now);
    admission.Finish(iteration, CallOutcome::kAnswered,
                     std::chrono::milliseconds(1), now);
  });
}

double PoisonStatusCost(int marks) {
  PoisonRegistry registry({});
  const TimePoint now = Clock::now();
  for (int mark = 0; mark < marks; ++mark) {
    registry.OnTargetCrashed({"target", 1}, std::to_string(mark), false, now);
  }
  size_t clear = 0;
  const double cost = NanosecondsPerIteration(kIterations, [&](uint64_t) {
    clear += registry.StatusOf("0123456789abcdef", now) == PoisonStatus::kClear;
  });
  return clear == kIterations ? cost : -1;
}

}  // namespace
}  // namespace limpethatch

int main() {
  using namespace limpethatch;  // NOLINT(google-build-using-namespace)
  fmt::print("{{\n");
  for (const size_t count : {size_t{13}, size_t{890}}) {
    const auto router = [] { return Router({.zone = "zone-1"}); };
    fmt::print(
        "  \"router_ns_{0}\": {1:.0f}, \"router_prefix_ns_{0}\": {2:.0f}, "
        "\"baseline_least_reported_ns_{0}\": {3:.0f}, "
        "\"table_build_us_{0}\": {4:.0f},\n",
        count, RoutingCost(router(), count, 0),
        RoutingCost(router(), count, 977),
        RoutingCost(LeastReported(), count, 0), TableBuildCost(count) / 1e3);
  }
  fmt::print(
      "  \"admission_ns\": {:.0f}, \"poison_ns_no_marks\": {:.0f}, "
      "\"poison_ns_1000_marks\": {:.0f}\n}}\n",
      AdmissionCost(), PoisonStatusCost(0), PoisonStatusCost(1000));
}
