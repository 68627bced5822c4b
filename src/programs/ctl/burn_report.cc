#include "programs/ctl/burn_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>

#include "limpethatch/process/json_members.h"
#include "limpethatch/process/units.h"
#include "programs/ctl/table.h"

namespace limpethatch {
namespace {

using boost::json::array;
using boost::json::object;

constexpr size_t kBarWidth = 20;  // Characters.
// Burn rate at which a bar is full; it spends the budget of an hour in 6
// minutes.
constexpr double kFullBarRate = 10;
constexpr double kPercent = 100;

std::map<std::string, uint64_t> ReadCauses(const object& window) {
  std::map<std::string, uint64_t> causes;
  if (const object* listed = ObjectMember(window, "causes")) {
    for (const auto& cause : *listed) {
      causes[std::string(cause.key())] = UnsignedMember(*listed, cause.key());
    }
  }
  return causes;
}

BurnRate ReadRate(const object& burn, std::string_view key, double target) {
  BurnRate rate;
  const object* window = ObjectMember(burn, key);
  if (window == nullptr) {
    return rate;
  }
  rate.span = std::chrono::milliseconds(UnsignedMember(*window, "span_ms"));
  for (const auto& [cause, count] : ReadCauses(*window)) {
    rate.bad += count;
  }
  rate.total = rate.bad + UnsignedMember(*window, "good");
  if (rate.total > 0 && target < 1) {
    rate.rate = static_cast<double>(rate.bad) /
                static_cast<double>(rate.total) / (1 - target);
  }
  return rate;
}

std::vector<std::pair<uint64_t, uint64_t>> ReadPoints(const object& burn) {
  std::vector<std::pair<uint64_t, uint64_t>> points;
  const array* listed = ArrayMember(burn, "points");
  for (size_t i = 0; listed != nullptr && i < listed->size(); ++i) {
    const array* point = (*listed)[i].if_array();
    if (point != nullptr && point->size() == 2) {
      const auto count = [&](size_t index) {
        return (*point)[index].is_number()
                   ? (*point)[index].to_number<uint64_t>()
                   : 0;
      };
      points.emplace_back(count(0), count(1));
    }
  }
  return points;
}

ObjectiveBurn ReadObjective(const object& burn) {
  ObjectiveBurn objective;
  objective.name = StringMember(burn, "name");
  objective.kind = StringMember(burn, "kind");
  objective.target = DoubleMember(burn, "target");
  objective.latency =
      std::chrono::milliseconds(UnsignedMember(burn, "latency_ms"));
  objective.short_window = ReadRate(burn, "short", objective.target);
  objective.long_window = ReadRate(burn, "long", objective.target);
  objective.budget_remaining = std::max(0.0, 1 - objective.long_window.rate);
  if (objective.short_window.rate > 0) {
    objective.time_until_exhausted =
        std::chrono::duration_cast<std::chrono::seconds>(
            objective.long_window.span * objective.budget_remaining /
            objective.short_window.rate);
  }
  if (const object* window = ObjectMember(burn, "long")) {
    objective.causes = ReadCauses(*window);
  }
  objective.points = ReadPoints(burn);
  return objective;
}

std::string RateLine(const BurnRate& rate) {
  return fmt::format("  burn over {:<6} {} {:6.2f}  {} of {} not good\n",
                     FormatDuration(rate.span),
                     TextBar(rate.rate / kFullBarRate, kBarWidth), rate.rate,
                     rate.bad, rate.total);
}

std::string CausesText(const std::map<std::string, uint64_t>& causes) {
  std::string text;
  for (const auto& [cause, count] : causes) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", cause, count);
  }
  return text.empty() ? "nothing" : text;
}

}  // namespace

std::string ExhaustionText(const ObjectiveBurn& objective) {
  if (!objective.time_until_exhausted) {
    return "not burning now";
  }
  return objective.time_until_exhausted->count() == 0
             ? std::string("exhausted")
             : "lasts " + FormatDuration(*objective.time_until_exhausted) +
                   " at this rate";
}

BurnReport ReadBurnReport(const object& body) {
  BurnReport report;
  report.covered =
      std::chrono::milliseconds(UnsignedMember(body, "covered_ms"));
  const array* burns = ArrayMember(body, "burns");
  for (size_t i = 0; burns != nullptr && i < burns->size(); ++i) {
    if (const object* burn = (*burns)[i].if_object()) {
      report.objectives.push_back(ReadObjective(*burn));
    }
  }
  return report;
}

std::string BurnReportText(const BurnReport& report) {
  std::string text = fmt::format(
      "counted by the current leader over the last {}\n",
      FormatDuration(std::chrono::floor<std::chrono::seconds>(report.covered)));
  for (const ObjectiveBurn& objective : report.objectives) {
    text += fmt::format("\n{} {}: {:.5g}% good within {}\n", objective.kind,
                        objective.name, objective.target * kPercent,
                        FormatDuration(objective.latency));
    text += RateLine(objective.short_window) + RateLine(objective.long_window);
    text += fmt::format("  budget remaining {} {:5.0f}%  {}\n",
                        TextBar(objective.budget_remaining, kBarWidth),
                        objective.budget_remaining * kPercent,
                        ExhaustionText(objective));
    text += fmt::format("  spent on {}\n", CausesText(objective.causes));
  }
  return text;
}

}  // namespace limpethatch
