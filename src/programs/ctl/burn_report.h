// Burn rates and remaining error budgets, computed from the counts of
// GET /v1/burn.
#ifndef LIMPETHATCH_PROGRAMS_CTL_BURN_REPORT_H_
#define LIMPETHATCH_PROGRAMS_CTL_BURN_REPORT_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpethatch {

// A burn rate of 1 spends the error budget of a window in exactly that window.
struct BurnRate {
  std::chrono::milliseconds span{};
  uint64_t total = 0;
  uint64_t bad = 0;
  double rate = 0;
};

struct ObjectiveBurn {
  std::string name;
  std::string kind;  // "service" or "trainer".
  double target = 0;
  std::chrono::milliseconds latency{};
  BurnRate short_window;
  BurnRate long_window;
  // Unspent fraction of the long window's error budget.
  double budget_remaining = 1;
  // Time until the remaining budget is exhausted at the short window's rate;
  // nullopt if that rate is 0.
  std::optional<std::chrono::seconds> time_until_exhausted;
  std::map<std::string, uint64_t> causes;             // In the long window.
  std::vector<std::pair<uint64_t, uint64_t>> points;  // Good and bad counts.
};

struct BurnReport {
  std::chrono::milliseconds covered{};  // Since the leader started counting.
  std::vector<ObjectiveBurn> objectives;
};

// Describes `time_until_exhausted` in words.
std::string ExhaustionText(const ObjectiveBurn& objective);

// Reads the response body of GET /v1/burn; missing or malformed members count
// as absent.
BurnReport ReadBurnReport(const boost::json::object& body);

// The report as plain text with bars.
std::string BurnReportText(const BurnReport& report);
// The report as a self-contained HTML page without external resources.
std::string BurnReportHtml(const BurnReport& report);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_BURN_REPORT_H_
