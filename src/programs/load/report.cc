#include "programs/load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace limpethatch::load {
namespace json = boost::json;
namespace {

constexpr std::string_view kPlotCharacters = " .:-=+*#%@";
constexpr size_t kLatencyBuckets = 16;

// Counts latencies in power-of-two buckets; the first one ends at 1 ms.
std::vector<double> Histogram(const std::vector<double>& latencies_ms) {
  std::vector<double> buckets(kLatencyBuckets);
  for (const double latency : latencies_ms) {
    const double bucket = std::ceil(std::log2(std::max(latency, 1.0)));
    ++buckets[std::min(static_cast<size_t>(bucket), kLatencyBuckets - 1)];
  }
  return buckets;
}

std::string TableRow(std::string_view kind, const RequestStats& stats) {
  if (stats.asked() == 0) {
    return {};
  }
  const std::vector<uint64_t>& seconds = stats.answered_per_second();
  return fmt::format(
      "{:<12}{:>9}{:>9}{:>7}{:>9}{:>8}{:>9}{:>10.2f}{:>10.2f}\n"
      "  answers per second |{}|\n"
      "  latency 1 ms..32 s |{}|\n",
      kind, stats.asked(), stats.answered(), stats.count(Verdict::kWrong),
      stats.count(Verdict::kRefused), stats.count(Verdict::kCutOff),
      stats.count(Verdict::kNotSent), stats.LatencyQuantile(0.5),
      stats.LatencyQuantile(0.99),
      Sparkline(std::vector<double>(seconds.begin(), seconds.end())),
      Sparkline(Histogram(stats.latencies_ms())));
}

std::string TableRow(const TrainerResult& trainer) {
  const SampleFaults& faults = trainer.faults;
  return fmt::format(
      "{:<12}{:>9}{:>10}{:>6}{:>8}{:>6}{:>12}{:>8}{:>10.2f}{:>9.2f} s\n",
      trainer.name, trainer.samples_asked, faults.delivered, faults.lost,
      faults.doubled, faults.stale, faults.mislabelled, faults.corrupt,
      trainer.staleness_mean(),
      trainer.step_seconds.empty()
          ? 0
          : *std::max_element(trainer.step_seconds.begin(),
                              trainer.step_seconds.end()));
}

}  // namespace

std::string Sparkline(const std::vector<double>& values) {
  const double max_value =
      values.empty() ? 0 : *std::max_element(values.begin(), values.end());
  std::string plot;
  for (const double value : values) {
    const double level =
        max_value <= 0
            ? 0
            : std::ceil(value / max_value *
                        static_cast<double>(kPlotCharacters.size() - 1));
    plot.push_back(kPlotCharacters[static_cast<size_t>(level)]);
  }
  return plot;
}

std::string ReportTable(const Callers& callers,
                        const std::vector<TrainerResult>& trainers) {
  std::string table;
  if (callers.lookups().asked() + callers.completions().asked() +
          callers.orders().asked() >
      0) {
    table += fmt::format("{:<12}{:>9}{:>9}{:>7}{:>9}{:>8}{:>9}{:>10}{:>10}\n",
                         "live", "asked", "answered", "wrong", "refused",
                         "cut off", "not sent", "p50 ms", "p99 ms");
    table += TableRow("lookups", callers.lookups());
    table += TableRow("completions", callers.completions());
    table += TableRow("orders", callers.orders());
  }
  if (!trainers.empty()) {
    table +=
        fmt::format("{:<12}{:>9}{:>10}{:>6}{:>8}{:>6}{:>12}{:>8}{:>10}{:>11}\n",
                    "trainer", "samples", "delivered", "lost", "doubled",
                    "stale", "mislabelled", "corrupt", "staleness", "longest");
    for (const TrainerResult& trainer : trainers) {
      table += TableRow(trainer);
    }
  }
  return table;
}

std::string ReportJson(uint64_t seed,
                       const Callers& callers,
                       bool runs_known,
                       const std::vector<TrainerResult>& trainers) {
  json::object orders = callers.orders().ToJson();
  for (const auto& member : callers.order_check().ToJson(runs_known)) {
    orders.insert(member);
  }
  json::array results;
  for (const TrainerResult& trainer : trainers) {
    results.push_back(trainer.ToJson());
  }
  return json::serialize(
      json::object{{"seed", seed},
                   {"lookups", callers.lookups().ToJson()},
                   {"completions", callers.completions().ToJson()},
                   {"orders", orders},
                   {"trainers", results}});
}

}  // namespace limpethatch::load
