#include <fmt/format.h>

#include <cstdio>

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

Test(uneven_targets, table) {
  for (const double rate : {12.0, 60.0, 400.0}) {
    const UnevenPattern pattern = UnevenPattern::Record(rate, 12000 / rate + 200, 1);
    for (const NamedPolicy& each : Policies()) {
      const UnevenResult result = RunUneven(pattern, each.policy);
      fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.4f} | {:.2f} | {:.2f} |\n",
                 rate, each.name, InSeconds(result.p50) * 1e3,
                 InSeconds(result.p99) * 1e3, result.late_share,
                 result.busiest_to_mean, result.busiest_share);
    }
  }
  std::fflush(stdout);
}

}  // namespace limpethatch
