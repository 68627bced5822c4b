#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string>

#include "limpethatch/process/metrics_text.h"
#include "limpethatch/process/operator_keys.h"
#include "limpethatch/process/service_meter.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

TestSuite(operator_keys);
TestSuite(metrics);

constexpr const char* kOld = "0123456789abcdef-old";
constexpr const char* kNew = "0123456789abcdef-new";

Test(operator_keys, compares_whole_texts) {
  cr_expect(EqualInConstantTime("abc", "abc"));
  cr_expect_not(EqualInConstantTime("abd", "abc"));
  cr_expect_not(EqualInConstantTime("abcabc", "abc"));
  cr_expect_not(EqualInConstantTime("", "abc"));
  cr_expect_not(EqualInConstantTime("ab", "abc"));
  cr_expect_not(EqualInConstantTime("abc", ""));
}

Test(operator_keys, two_keys_are_valid_side_by_side) {
  std::string problem;
  const auto keys = OperatorKeys::Parse(
      std::string("# rotated\n") + kOld + "\n\n  " + kNew + "\r\n", &problem);
  cr_assert(keys.has_value(), "%s", problem.c_str());
  cr_expect(keys->Allows(std::string("Bearer ") + kOld));
  cr_expect(keys->Allows(std::string("Bearer ") + kNew));
  cr_expect_not(keys->Allows(kOld));
  cr_expect_not(keys->Allows("Bearer "));
  cr_expect_not(keys->Allows("Bearer # rotated"));
  cr_expect_not(keys->Allows(std::string("Bearer ") + kOld + "x"));
}

Test(operator_keys, faults_name_the_line_and_never_the_key) {
  const std::string key = kOld;
  for (const std::string& text :
       {std::string(), std::string("# none\n"), std::string("tooshort\n"),
        key + "\n" + key + " and more\n", key + "\n" + kNew + "\n" + key}) {
    std::string problem;
    cr_expect_not(OperatorKeys::Parse(text, &problem).has_value());
    cr_expect_not(problem.empty());
    cr_expect(problem.find("0123456789") == std::string::npos);
    cr_expect(problem.find("tooshort") == std::string::npos);
  }
}

Test(operator_keys, a_file_that_others_may_read_is_refused) {
  std::string path = "/tmp/limpethatch-keys-XXXXXX";
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  const std::string text = std::string(kOld) + "\n";
  cr_assert_eq(write(file, text.data(), text.size()),
               static_cast<ssize_t>(text.size()));
  std::string problem;
  cr_expect(OperatorKeys::Load(path, &problem).has_value());
  for (const mode_t mode : {mode_t{0640}, mode_t{0604}, mode_t{0620}}) {
    cr_assert_eq(fchmod(file, mode), 0);
    cr_expect_not(OperatorKeys::Load(path, &problem).has_value());
    cr_expect(problem.find("mode") != std::string::npos);
  }
  close(file);
  unlink(path.c_str());
  cr_expect_not(OperatorKeys::Load(path, &problem).has_value());
}

Test(metrics, a_meter_counts_outcomes_and_estimates_quantiles) {
  const TimePoint start{std::chrono::hours(1)};
  ServiceMeter meter(start);
  for (int i = 1; i <= 1000; ++i) {
    meter.Count(i % 10 == 0 ? RequestOutcome::kLate : RequestOutcome::kGood,
                std::chrono::milliseconds((i * 7919) % 1000), start);
  }
  cr_expect_eq(GoodCount(meter.counts()), 900U);
  cr_expect_eq(BadCount(meter.counts()), 100U);
  const DurationSummary summary = meter.Durations();
  cr_expect_eq(summary.count, 1000U);
  cr_expect_float_eq(summary.sum_s, 499.5, 1e-6);
  cr_expect_float_eq(summary.median_s, 0.5, 0.05);
  cr_expect_float_eq(summary.p99_s, 0.99, 0.05);
}

Test(metrics, quantiles_are_those_of_the_last_whole_window) {
  TimePoint now{std::chrono::hours(1)};
  ServiceMeter meter(now);
  const auto count = [&](Duration duration) {
    for (int i = 0; i < 20; ++i) {
      meter.Count(RequestOutcome::kGood, duration, now);
    }
  };
  count(std::chrono::seconds(4));
  now += ServiceMeter::kQuantileWindow;
  count(std::chrono::seconds(1));
  cr_expect_float_eq(meter.Durations().median_s, 4, 1e-9);
  now += ServiceMeter::kQuantileWindow;
  count(std::chrono::seconds(1));
  cr_expect_float_eq(meter.Durations().median_s, 1, 1e-9);
}

Test(metrics, text_escapes_the_values_of_labels) {
  MetricsText text;
  text.Family("limpethatch_requests_total", MetricType::kCounter, "Requests.");
  text.Sample({{"service", "a\"b\\c\nd"}, {"outcome", "good"}}, 3);
  text.Single("limpethatch_draining", MetricType::kGauge, "Draining.", 0.5);
  cr_expect_eq(text.text(),
               "# HELP limpethatch_requests_total Requests.\n"
               "# TYPE limpethatch_requests_total counter\n"
               "limpethatch_requests_total{service=\"a\\\"b\\\\c\\nd\","
               "outcome=\"good\"} 3\n"
               "# HELP limpethatch_draining Draining.\n"
               "# TYPE limpethatch_draining gauge\n"
               "limpethatch_draining 0.5\n");
}

}  // namespace
}  // namespace limpethatch
