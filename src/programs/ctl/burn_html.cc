#include <fmt/format.h>

#include <algorithm>

#include "limpethatch/process/units.h"
#include "programs/ctl/burn_report.h"

namespace limpethatch {
namespace {

constexpr double kPlotWidth = 600;
constexpr double kPlotHeight = 80;
constexpr double kPercent = 100;

constexpr const char* kHtmlHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>limpethatch burn</title>
<style>
body{font:15px sans-serif;margin:2em;max-width:50em}
table{border-collapse:collapse}td,th{padding:.2em 1em .2em 0;text-align:left}
.good{fill:#6a9}.bad{fill:#c43}.left{background:#6a9;height:.8em}
.bar{background:#ddd;width:20em}
</style></head><body>
<h1>Error budget burn</h1>
)";

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// A stacked bar chart with one column per point: good requests at the bottom,
// bad ones on top.
std::string PlotSvg(const ObjectiveBurn& objective) {
  uint64_t max_count = 1;
  for (const auto& [good, bad] : objective.points) {
    max_count = std::max(max_count, good + bad);
  }
  const double width = kPlotWidth / static_cast<double>(std::max<size_t>(
                                        1, objective.points.size()));
  const double pixels_per_count = kPlotHeight / static_cast<double>(max_count);
  std::string svg = fmt::format(
      "<svg width=\"{}\" height=\"{}\" role=\"img\" aria-label=\"good and bad "
      "over the long window\">\n",
      kPlotWidth, kPlotHeight);
  double x = 0;
  for (const auto& [good, bad] : objective.points) {
    const double good_height = static_cast<double>(good) * pixels_per_count;
    const double bad_height = static_cast<double>(bad) * pixels_per_count;
    const auto add_column = [&](std::string_view kind, double y,
                                double height) {
      if (height > 0) {
        svg += fmt::format(
            "<rect class=\"{}\" x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
            "height=\"{:.1f}\"/>\n",
            kind, x, y, width - 1, height);
      }
    };
    add_column("good", kPlotHeight - good_height, good_height);
    add_column("bad", kPlotHeight - good_height - bad_height, bad_height);
    x += width;
  }
  return svg + "</svg>\n";
}

std::string RateRow(const BurnRate& rate) {
  return fmt::format(
      "<tr><th>burn over {}</th><td>{:.2f}</td><td>{} of {} not good</td>"
      "</tr>\n",
      FormatDuration(rate.span), rate.rate, rate.bad, rate.total);
}

std::string ObjectiveSection(const ObjectiveBurn& objective) {
  std::string causes;
  for (const auto& [cause, count] : objective.causes) {
    causes += fmt::format("<tr><th>spent on {}</th><td>{}</td></tr>\n",
                          Escape(cause), count);
  }
  const double budget_percent = objective.budget_remaining * kPercent;
  return fmt::format(
      "<h2>{} {}</h2>\n<p>{:.5g}% good within {}</p>\n{}<table>\n{}{}"
      "<tr><th>budget "
      "remaining</th><td>{:.0f}%</td><td>{}</td></tr>\n{}</table>\n"
      "<div class=\"bar\"><div class=\"left\" style=\"width:{:.0f}%\"></div>"
      "</div>\n",
      Escape(objective.kind), Escape(objective.name),
      objective.target * kPercent, FormatDuration(objective.latency),
      PlotSvg(objective), RateRow(objective.short_window),
      RateRow(objective.long_window), budget_percent, ExhaustionText(objective),
      causes, budget_percent);
}

}  // namespace

std::string BurnReportHtml(const BurnReport& report) {
  std::string page = kHtmlHead;
  page += fmt::format(
      "<p>Counted by the current leader over the last {}.</p>\n",
      FormatDuration(std::chrono::floor<std::chrono::seconds>(report.covered)));
  for (const ObjectiveBurn& objective : report.objectives) {
    page += ObjectiveSection(objective);
  }
  return page + "</body></html>\n";
}

}  // namespace limpethatch
