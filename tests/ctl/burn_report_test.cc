#include "programs/ctl/burn_report.h"

#include <boost/json/parse.hpp>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

TestSuite(burn_report);

BurnReport Read(const char* body) {
  return ReadBurnReport(boost::json::parse(body).as_object());
}

constexpr const char* kBody = R"({"covered_ms": 3600000, "burns": [
  {"name": "refill-api", "kind": "service", "target": 0.99, "latency_ms": 250,
   "short": {"span_ms": 300000, "good": 95, "causes": {"late": 5}},
   "long": {"span_ms": 3600000, "good": 1990,
            "causes": {"late": 8, "failed": 2}},
   "points": [[10, 0], [5, 2]]},
  {"name": "a<b>", "kind": "trainer", "target": 0.9, "latency_ms": 1000}]})";

Test(burn_report, computes_rates_and_time_until_budget_exhaustion) {
  const BurnReport report = Read(kBody);
  cr_assert_eq(report.objectives.size(), 2U);
  const ObjectiveBurn& objective = report.objectives.front();
  cr_expect_float_eq(objective.short_window.rate, 5, 1e-9);
  cr_expect_float_eq(objective.long_window.rate, 0.5, 1e-9);
  cr_expect_float_eq(objective.budget_remaining, 0.5, 1e-9);
  cr_assert(objective.time_until_exhausted.has_value());
  cr_expect_eq(objective.time_until_exhausted->count(), 360);
  cr_expect_not(report.objectives.back().time_until_exhausted.has_value());
  cr_expect_float_eq(report.objectives.back().budget_remaining, 1, 1e-9);
}

Test(burn_report,
     text_and_html_show_every_objective_without_external_resources) {
  const BurnReport report = Read(kBody);
  const std::string text = BurnReportText(report);
  cr_expect(text.find("failed 2, late 8") != std::string::npos);
  cr_expect(text.find("lasts 6min") != std::string::npos, "%s", text.c_str());
  const std::string page = BurnReportHtml(report);
  cr_expect(page.find("a&lt;b>") != std::string::npos);
  cr_expect(page.find("<svg") != std::string::npos);
  cr_expect(page.find("<script") == std::string::npos);
  cr_expect(page.find("http") == std::string::npos);
}

Test(burn_report, treats_a_response_with_unknown_members_as_empty) {
  cr_expect(Read("{}").objectives.empty());
  const BurnReport odd = Read(R"({"burns": [7, {"points": [[1], ["a", 2]]}]})");
  cr_assert_eq(odd.objectives.size(), 1U);
  cr_expect(BurnReportText(odd).find("spent on nothing") != std::string::npos);
}

}  // namespace
}  // namespace limpethatch
