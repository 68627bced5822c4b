#include "limpethatch/request/usage/usage_counter.h"

#include <map>
#include <string>

#include "limpethatch/request/usage/request_usage.h"
#include "limpethatch/version/usage/usage_window.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLength = seconds(5);
constexpr uint64_t kWindow = 1000;

// The time `after` after the beginning of the window.
WallTime In(uint64_t window, Duration after) {
  return UsageWindowEnd(window - 1, kLength) + after;
}

uint64_t CountOf(const UsageCounter& counter,
                 const std::string& organisation,
                 uint64_t number) {
  for (const wire::UsageWindow& window : counter.AllCounts()) {
    for (const wire::OrganisationUsage& usage : window.counts()) {
      if (window.number() == number && usage.organisation() == organisation) {
        return usage.requests();
      }
    }
  }
  return 0;
}

UsageCounter EnabledCounter() {
  UsageCounter counter;
  counter.SetWindowLength(kLength);
  return counter;
}

}  // namespace

// Guards against a request that counts once for each of its attempts.
Test(request_usage, a_request_counts_once_in_the_window_of_its_first_attempt) {
  UsageCounter counter = EnabledCounter();
  RequestUsage usage(counter, "a");
  usage.OnSent(In(kWindow, milliseconds(4900)));
  usage.OnSent(In(kWindow + 1, milliseconds(50)));
  cr_assert_eq(CountOf(counter, "a", kWindow), 1);
  cr_assert_eq(CountOf(counter, "a", kWindow + 1), 0);
}

// Guards against counts of requests that targets refused, and against a request
// that counts in the window of a refused attempt.
Test(request_usage, an_attempt_that_did_not_run_does_not_count) {
  UsageCounter counter = EnabledCounter();
  RequestUsage usage(counter, "a");
  const size_t first = usage.OnSent(In(kWindow, milliseconds(4900)));
  usage.OnNotRun(first);
  cr_assert_eq(CountOf(counter, "a", kWindow), 0);
  const size_t second = usage.OnSent(In(kWindow + 1, milliseconds(50)));
  const size_t third = usage.OnSent(In(kWindow + 2, milliseconds(50)));
  cr_assert_eq(CountOf(counter, "a", kWindow + 1), 1);
  usage.OnNotRun(second);
  cr_assert_eq(CountOf(counter, "a", kWindow + 1), 0);
  cr_assert_eq(CountOf(counter, "a", kWindow + 2), 1);
  usage.OnNotRun(third);
  usage.OnNotRun(third);
  cr_assert_eq(CountOf(counter, "a", kWindow + 2), 0);
}

// Guards against messages in deployments without organisations or reports.
Test(usage_counter, nothing_is_counted_without_an_organisation_or_a_window) {
  UsageCounter counter;
  RequestUsage unwanted(counter, "a");
  unwanted.OnNotRun(unwanted.OnSent(In(kWindow, seconds(1))));
  cr_assert(counter.AllCounts().empty());
  counter.SetWindowLength(kLength);
  RequestUsage anonymous(counter, "");
  anonymous.OnSent(In(kWindow, seconds(1)));
  cr_assert(!counter.NextReport(In(kWindow + 2, seconds(0)), TimePoint()));
}

// Guards against counts that are lost with a message or a leader, and against
// messages that never end.
Test(usage_counter, counts_are_sent_again_until_the_window_is_recorded) {
  UsageCounter counter = EnabledCounter();
  counter.Add("a", kWindow);
  const TimePoint now = TimePoint() + seconds(100);
  cr_assert(!counter.NextReport(In(kWindow + 1, milliseconds(200)), now));
  const WallTime wall = In(kWindow + 1, milliseconds(400));
  const auto counts = counter.NextReport(wall, now);
  cr_assert(counts.has_value());
  cr_assert_eq(counts->number(), kWindow);
  cr_assert_eq(counts->counts(0).requests(), 1);
  cr_assert(!counter.NextReport(wall, now));
  counter.OnUnanswered(kWindow, now);
  cr_assert(
      counter.NextReport(wall, now + UsageCounter::kRetryDelay).has_value());
  const TimePoint later =
      now + UsageCounter::kRetryDelay + UsageCounter::kRepeatPeriod;
  counter.OnRecorded(kWindow);
  cr_assert(counter.NextReport(wall, later).has_value());
  counter.OnRecorded(kWindow + 1);
  cr_assert(!counter.NextReport(wall, later + seconds(9)));
  // The attempt of a request that began before the record was refused only now.
  counter.Subtract("a", kWindow);
  counter.Add("a", kWindow);
  cr_assert(!counter.NextReport(wall, later + seconds(9)));
}

// Guards against a count that the leader keeps although the request turned out
// not to have run.
Test(usage_counter, counts_that_were_taken_back_are_replaced_by_none) {
  UsageCounter counter = EnabledCounter();
  counter.Add("a", kWindow);
  const WallTime wall = In(kWindow + 1, seconds(1));
  const TimePoint now = TimePoint() + seconds(100);
  cr_assert(counter.NextReport(wall, now).has_value());
  counter.Subtract("a", kWindow);
  const auto counts =
      counter.NextReport(wall, now + UsageCounter::kRepeatPeriod);
  cr_assert(counts.has_value());
  cr_assert(counts->counts().empty());
}

// Guards against memory that grows while no leader can be reached.
Test(usage_counter, windows_that_ended_long_ago_are_dropped) {
  UsageCounter counter = EnabledCounter();
  counter.Add("a", kWindow);
  counter.Add("a", kWindow);
  counter.Add("b", kWindow + 1);
  const auto counts = counter.NextReport(In(kWindow + 1, seconds(61)),
                                         TimePoint() + seconds(100));
  cr_assert(counts.has_value());
  cr_assert_eq(counts->number(), kWindow + 1);
  cr_assert_eq(counter.dropped(), 2);
}

}  // namespace limpethatch
