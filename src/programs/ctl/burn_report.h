// What a burn report says of each objective, worked out from its counts.
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

// A rate of 1 burns the error budget of a time in just that time.
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
  // Share of the long window's error budget that is not spent.
  double budget_remaining = 1;
  // How long that share lasts at the short window's rate; nothing if nothing
  // burns.
  std::optional<std::chrono::seconds> time_until_exhausted;
  std::map<std::string, uint64_t> causes;             // Of the long window.
  std::vector<std::pair<uint64_t, uint64_t>> points;  // Good and bad.
};

struct BurnReport {
  std::chrono::milliseconds covered{};  // Since the leader began to count.
  std::vector<ObjectiveBurn> objectives;
};

// What `lasts` says, in words.
std::string ExhaustionText(const ObjectiveBurn& objective);

// Reads the answer of GET /v1/burn.
BurnReport ReadBurnReport(const boost::json::object& body);

// The report as text with bars.
std::string BurnReportText(const BurnReport& report);
// The report as one HTML page that needs nothing else.
std::string BurnReportHtml(const BurnReport& report);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_BURN_REPORT_H_
