// Compares ways of hedging in a model without a network, with 4 gateways and 3
// targets of 6 slots. Each figure is the median over kSeeds seeds. Prints one
// row of a table for each scenario, load and policy.
#include <fmt/format.h>

#include "request/hedging_model.h"

namespace limpethatch {
namespace {

constexpr uint64_t kSeeds = 3;
constexpr double kSeconds = 120;

struct Row {
  std::vector<double> extra, p50, p99, p999, answered, asked;
};

double Median(std::vector<double> figures) {
  std::sort(figures.begin(), figures.end());
  return figures[figures.size() / 2];
}

void Print(const char* name, HedgingScenario scenario) {
  static constexpr std::pair<const char*, HedgingPolicy> kPolicies[] = {
      {"none", HedgingPolicy::kNone},
      {"fixed", HedgingPolicy::kFixedDelay},
      {"quantile", HedgingPolicy::kQuantile},
      {"tied", HedgingPolicy::kTied}};
  for (const double load : {0.3, 0.6, 0.9, 1.2}) {
    scenario.load = load;
    for (const auto& [policy_name, policy] : kPolicies) {
      scenario.policy = policy;
      Row row;
      for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
        scenario.seconds = kSeconds;
        const HedgingFigures figures = HedgingModel(scenario).Run();
        const auto requests = static_cast<double>(figures.requests);
        row.extra.push_back(figures.extra_work() * 100);
        row.p50.push_back(figures.Quantile(0.5) * 1e3);
        row.p99.push_back(figures.Quantile(0.99) * 1e3);
        row.p999.push_back(figures.Quantile(0.999) * 1e3);
        row.answered.push_back(static_cast<double>(figures.answered) /
                               requests * 100);
        row.asked.push_back(static_cast<double>(figures.asked) / requests *
                            100);
      }
      fmt::print(
          "| {} | {:.1f} | {} | {:.2f} | {:.0f} | {:.0f} | {:.0f} | {:.2f} | "
          "{:.2f} |\n",
          name, load, policy_name, Median(row.extra), Median(row.p50),
          Median(row.p99), Median(row.p999), Median(row.answered),
          Median(row.asked));
    }
  }
}

void Compare() {
  fmt::print(
      "| targets | load | policy | extra work % | p50 ms | p99 ms | p99.9 ms | "
      "answered % | asked % |\n| --- | --- | --- | --- | --- | --- | --- | "
      "--- | --- |\n");
  Print("calm", {});
  Print("one slow", {.slowness = {2.5, 1, 1}});
  Print("uneven", {.slowness = {0.7, 1, 1.7}, .neighbours = true});
}

}  // namespace
}  // namespace limpethatch

int main() {
  limpethatch::Compare();
  return 0;
}
