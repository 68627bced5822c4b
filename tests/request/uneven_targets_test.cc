#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "request/uneven_policies.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

struct NamedPolicy {
  const char* name;
  UnevenPolicy policy;
};

std::vector<NamedPolicy> Policies() {
  std::vector<NamedPolicy> policies;
  policies.push_back({"round robin", MakeRoundRobin()});
  policies.push_back({"least outstanding", MakeLeastOutstanding()});
  policies.push_back({"peak latency", MakePeakLatency()});
  policies.push_back(
      {"in flight with latency", MakeInFlightWithLatency(/*probes=*/0)});
  policies.push_back(
      {"in flight with latency, 2 probes", MakeInFlightWithLatency(2)});
  policies.push_back({"router without figures", MakeRouterPolicy(false)});
  policies.push_back({"estimate", MakeRouterPolicy(true)});
  policies.push_back({"estimate, 2 probes", MakeRouterPolicy(true, 2)});
  policies.push_back({"estimate, 3 probes", MakeRouterPolicy(true, 3)});
  return policies;
}

}  // namespace

// Guards against an estimate that routes worse than policies which ignore the
// figures, and against gateways that all choose the target that looks best.
// Prints the table of docs/design/uneven-targets.md.
Test(uneven_targets, the_estimate_beats_policies_that_ignore_the_figures) {
  fmt::print(
      "| requests/s | policy | p50 ms | p99 ms | over 150 ms | busiest to mean "
      "| largest share |\n|---|---|---|---|---|---|---|\n");
  for (const double rate : {12.0, 60.0, 400.0}) {
    const double seconds = 200 + 12000 / rate;
    const UnevenPattern pattern = UnevenPattern::Record(rate, seconds, 1);
    std::map<std::string, UnevenResult> results;
    for (const NamedPolicy& each : Policies()) {
      const UnevenResult result = RunUneven(pattern, each.policy);
      fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.2f}% | {:.2f} | {:.2f} |\n",
                 rate, each.name, InSeconds(result.p50) * 1e3,
                 InSeconds(result.p99) * 1e3, result.late_share * 100,
                 result.busiest_to_mean, result.busiest_share);
      results[each.name] = result;
    }
    const UnevenResult& estimate = results["estimate"];
    for (const char* other :
         {"round robin", "least outstanding", "peak latency",
          "in flight with latency", "router without figures"}) {
      cr_assert(estimate.p99 < results[other].p99, "%s", other);
      cr_assert(estimate.p50 < results[other].p50, "%s", other);
    }
    cr_assert(results["estimate, 2 probes"].p99 < estimate.p99);
    cr_assert(estimate.busiest_share < MaxShare(kUnevenTargets));
    // Two thirds of the requests at the fastest target would be 1.7.
    cr_assert(estimate.busiest_to_mean < 1.6);
  }
  std::fflush(stdout);
}

}  // namespace limpethatch
