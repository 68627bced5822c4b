// Compares routing and admission policies against fake targets on a manual
// clock, with 13 instances and load reports that lag by 2 s. Each figure is the
// median over kSeeds seeds. Prints one JSON object.
#include <fmt/format.h>

#include "request/fake_service.h"

namespace limpethatch {
namespace {

constexpr uint64_t kSeeds = 5;
constexpr double kIdleRate = 90;   // 5% of capacity.
constexpr double kBusyRate = 900;  // 50% of capacity.
constexpr double kLookupRate = 450;
constexpr double kOverloadStart_s = 10;
constexpr double kOverloadDuration_s = 10;
constexpr double kOverloadFactor = 3;
// The overload is over once this share of the calls is answered again.
constexpr double kAnsweredShare = 0.9;

template <typename Policy>
std::unique_ptr<Policy> MakePolicy(std::string zone) {
  if constexpr (std::is_same_v<Policy, Router>) {
    return std::make_unique<Router>(RouterOptions{.zone = std::move(zone)});
  } else {
    return std::make_unique<Policy>();
  }
}

template <typename Policy>
std::vector<FakeCall> Simulate(const FakeScenario& scenario) {
  return FakeService<Policy>(scenario, MakePolicy<Policy>).Run();
}

// Returns the median of `measure` over kSeeds seeds.
template <typename F>
double MedianOverSeeds(FakeScenario scenario, F&& measure) {
  std::vector<double> figures;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    figures.push_back(measure(scenario));
  }
  std::sort(figures.begin(), figures.end());
  return figures[kSeeds / 2];
}

// The 99th percentile of latency in seconds from `from_s` on. An unanswered
// call counts with its deadline as latency.
template <typename Policy>
double P99(const FakeScenario& base, double from_s) {
  return MedianOverSeeds(base, [from_s](const FakeScenario& scenario) {
    return std::min(LatencyQuantile(Simulate<Policy>(scenario), 0.99, from_s),
                    scenario.deadline_s);
  });
}

template <typename Policy>
void CompareGrayFailure(const char* name) {
  FakeScenario scenario;
  scenario.deadline_s = 5;
  scenario.rate = [](double) { return kIdleRate; };
  const double idle = P99<Policy>(scenario, 5);
  scenario.rate = [](double) { return kBusyRate; };
  const double busy = P99<Policy>(scenario, 5);
  scenario.slow_factor = 10;
  const double gray = P99<Policy>(scenario, 5);
  const double gray_from_start = P99<Policy>(scenario, 0);
  fmt::print(
      "  \"{0}_idle_p99_ms\": {1:.1f}, \"{0}_busy_p99_ms\": {2:.1f}, "
      "\"{0}_gray_p99_ms\": {3:.1f}, \"{0}_gray_p99_ratio\": {4:.2f}, "
      "\"{0}_gray_p99_ratio_from_start\": {5:.2f},\n",
      name, idle * 1e3, busy * 1e3, gray * 1e3, gray / idle,
      gray_from_start / idle);
}

void CompareOverload(const char* name, FakeScenario base, bool admission) {
  base.admission = admission;
  base.seconds = 60;
  const double capacity =
      static_cast<double>(base.targets) * base.slots / base.service_s;
  const double end_s = kOverloadStart_s + kOverloadDuration_s;
  base.rate = [=](double time_s) {
    const bool burst = time_s >= kOverloadStart_s && time_s < end_s;
    return burst ? kOverloadFactor * capacity : capacity / 2;
  };
  size_t false_not_run = 0;
  const double goodput =
      MedianOverSeeds(base, [&](const FakeScenario& scenario) {
        const auto calls = Simulate<Router>(scenario);
        false_not_run += std::count_if(
            calls.begin(), calls.end(),
            [](const FakeCall& call) { return call.refused && call.ran; });
        return Goodput(calls, kOverloadStart_s, end_s);
      });
  const double recovery_s =
      MedianOverSeeds(base, [&](const FakeScenario& scenario) {
        return RecoverySeconds(Simulate<Router>(scenario), kAnsweredShare,
                               end_s, scenario.seconds);
      });
  fmt::print(
      "  \"{0}_goodput_ratio\": {1:.3f}, \"{0}_recovery_s\": {2:.1f}, "
      "\"{0}_false_not_run\": {3},\n",
      name, goodput / capacity, recovery_s, false_not_run);
}

// Share of all slot time that rollouts occupied.
double RolloutShareOfSlots(const FakeScenario& scenario) {
  double rollout_s = 0;
  for (const FakeCall& call : Simulate<Router>(scenario)) {
    if (call.request_class == RequestClass::kRollout &&
        call.arrived_s + call.latency_s < scenario.seconds) {
      rollout_s += scenario.rollout_s;
    }
  }
  return rollout_s / (static_cast<double>(scenario.targets) * scenario.slots *
                      scenario.seconds);
}

// Compares the latency of lookups while rollouts from `rollout_instances`
// instances fill the engines with that on engines without rollouts.
void CompareLiveTraffic(const char* name,
                        size_t rollout_instances,
                        std::optional<uint32_t> spare_slots) {
  FakeScenario scenario;
  scenario.slots = 8;
  scenario.seconds = 60;
  scenario.deadline_s = 5;
  scenario.rate = [](double) { return kLookupRate; };
  const double idle = P99<Router>(scenario, 10);
  scenario.rollouts = 260 / rollout_instances;
  scenario.rollout_instances = rollout_instances;
  scenario.spare_slots = spare_slots;
  fmt::print(
      "  \"{0}_p99_ratio\": {1:.2f}, \"{0}_p99_ratio_from_start\": {2:.2f}, "
      "\"{0}_rollout_share_of_slots\": {3:.2f},\n",
      name, P99<Router>(scenario, 10) / idle, P99<Router>(scenario, 0) / idle,
      MedianOverSeeds(scenario, RolloutShareOfSlots));
}

}  // namespace
}  // namespace limpethatch

int main() {
  using namespace limpethatch;  // NOLINT(google-build-using-namespace)
  fmt::print("{{\n");
  CompareGrayFailure<Router>("router");
  CompareGrayFailure<RoundRobin>("baseline_round_robin");
  CompareGrayFailure<LeastReported>("baseline_least_reported");
  const FakeScenario quick;
  CompareOverload("admission", quick, true);
  CompareOverload("baseline_no_admission", quick, false);
  FakeScenario slow;
  slow.service_s = 0.5;
  slow.deadline_s = 2;
  slow.slots = 8;
  CompareOverload("slow_admission", slow, true);
  CompareOverload("baseline_slow_no_admission", slow, false);
  CompareLiveTraffic("live_13_instances", 13, 2);
  CompareLiveTraffic("live_3_instances", 3, 2);
  CompareLiveTraffic("baseline_live_no_spare_slots", 13, std::nullopt);
  fmt::print("  \"instances\": 13\n}}\n");
}
