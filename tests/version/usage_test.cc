#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/version/fleet_ledger.h"
#include "limpethatch/version/usage/usage_ledger.h"
#include "limpethatch/version/usage/usage_recorder.h"
#include "limpethatch/version/usage/usage_report_queue.h"
#include "limpethatch/version/usage/usage_window.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);
constexpr uint64_t kFirst = 1000;
constexpr Duration kLongLed = seconds(100);

// The time `after` after the end of the window.
WallTime AfterEnd(uint64_t window, Duration after) {
  return UsageWindowEnd(window, kWindow) + after;
}

wire::UsageWindow Window(uint64_t number,
                         const std::map<std::string, uint64_t>& counts) {
  wire::UsageWindow window;
  window.set_number(number);
  for (const auto& [organisation, requests] : counts) {
    wire::OrganisationUsage& usage = *window.add_counts();
    usage.set_organisation(organisation);
    usage.set_requests(requests);
  }
  return window;
}

wire::UsageCounts Counts(const std::string& gateway,
                         uint64_t incarnation,
                         uint64_t window,
                         const std::map<std::string, uint64_t>& counts) {
  wire::UsageCounts message;
  message.set_instance(gateway);
  message.set_incarnation(incarnation);
  *message.mutable_window() = Window(window, counts);
  return message;
}

wire::UsageRecord Record(const wire::UsageWindow& window) {
  wire::UsageRecord record;
  *record.mutable_window() = window;
  return record;
}

UsageLedger StartedLedger(uint64_t first = kFirst) {
  UsageLedger ledger;
  wire::UsageRecord record;
  record.set_first_window(first);
  ledger.Apply(record);
  return ledger;
}

bool HasCounts(const UsageLedger& ledger,
               uint64_t window,
               const std::map<std::string, uint64_t>& counts) {
  const auto found = ledger.windows().find(window);
  return found != ledger.windows().end() &&
         found->second.SerializeAsString() ==
             Window(window, counts).SerializeAsString();
}

}  // namespace

// Guards against two reports of a window with different counts: the record of a
// leader that died before it sent the report stands.
Test(usage_ledger, the_first_record_of_a_window_stands) {
  UsageLedger ledger = StartedLedger();
  ledger.Apply(Record(Window(kFirst, {{"a", 3}})));
  ledger.Apply(Record(Window(kFirst, {{"a", 4}})));
  ledger.Apply(Record(Window(kFirst - 1, {{"a", 5}})));
  cr_assert(HasCounts(ledger, kFirst, {{"a", 3}}));
  cr_assert_eq(ledger.windows().size(), 1);
  cr_assert_eq(ledger.next_window(), kFirst + 1);
}

// Guards against a settled window that is recorded again, with other counts, by
// a command that was under way.
Test(usage_ledger, a_settled_window_is_not_recorded_again) {
  UsageLedger ledger = StartedLedger();
  ledger.Apply(Record(Window(kFirst, {{"a", 3}})));
  wire::UsageRecord settled;
  settled.add_settled(kFirst);
  ledger.Apply(settled);
  ledger.Apply(Record(Window(kFirst, {{"a", 4}})));
  cr_assert(ledger.windows().empty());
}

// Guards against windows before the first one, whose counts are incomplete, and
// against a second start that moves the first one.
Test(usage_ledger, nothing_is_recorded_before_the_first_window) {
  UsageLedger ledger;
  ledger.Apply(Record(Window(kFirst, {{"a", 3}})));
  cr_assert(ledger.windows().empty());
  ledger = StartedLedger();
  wire::UsageRecord again;
  again.set_first_window(kFirst + 9);
  ledger.Apply(again);
  cr_assert_eq(ledger.next_window(), kFirst);
}

// Guards against a replica that reports other windows after it was restored.
Test(usage_ledger, a_snapshot_of_the_fleet_keeps_the_usage) {
  FleetLedger fleet;
  wire::CommandResult result;
  wire::Command command;
  command.mutable_log_format_raise()->set_format(
      static_cast<uint32_t>(LogFormat::kOrganisations));
  fleet.Apply(command, &result);
  command.mutable_usage_record()->set_first_window(kFirst);
  cr_assert(fleet.Apply(command, &result));
  for (const uint64_t number : {kFirst, kFirst + 1}) {
    *command.mutable_usage_record()->mutable_window() =
        Window(number, {{"a", number}, {"b", 1}});
    fleet.Apply(command, &result);
  }
  command.mutable_usage_record()->Clear();
  command.mutable_usage_record()->add_settled(kFirst);
  fleet.Apply(command, &result);
  FleetLedger restored;
  cr_assert(restored.Restore(fleet.Snapshot()));
  cr_assert_eq(restored.usage().next_window(), kFirst + 2);
  cr_assert_eq(restored.usage().windows().size(), 1);
  cr_assert(
      HasCounts(restored.usage(), kFirst + 1, {{"a", kFirst + 1}, {"b", 1}}));
}

// Guards against windows that began before all requests were counted.
Test(usage_recorder, the_first_window_begins_after_the_configuration) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  const WallTime now = AfterEnd(kFirst - 1, milliseconds(10));
  cr_assert(!recorder.Plan(UsageLedger(), false, now, kLongLed));
  const auto record = recorder.Plan(UsageLedger(), true, now, kLongLed);
  cr_assert(record.has_value());
  cr_assert_eq(record->first_window(), kFirst + 1);
}

// Guards against counts that are added twice when a gateway repeats them, and
// against lost ones when it starts again within a window.
Test(usage_recorder, repeated_counts_replace_those_of_the_same_incarnation) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  const UsageLedger ledger = StartedLedger();
  const WallTime now = AfterEnd(kFirst, seconds(1));
  for (const wire::UsageCounts& counts :
       {Counts("g1", 1, kFirst, {{"a", 2}, {"b", 1}}),
        Counts("g1", 1, kFirst, {{"a", 2}, {"b", 1}}),
        Counts("g1", 1, kFirst, {{"a", 3}}),
        Counts("g1", 2, kFirst, {{"a", 10}}),
        Counts("g2", 1, kFirst, {{"c", 7}})}) {
    cr_assert(recorder.Collect(counts, ledger, now) ==
              UsageCountsOutcome::kCollected);
  }
  const auto record =
      recorder.Plan(ledger, true, AfterEnd(kFirst, seconds(4)), kLongLed);
  cr_assert(record.has_value());
  UsageLedger applied = ledger;
  applied.Apply(*record);
  cr_assert(HasCounts(applied, kFirst, {{"a", 13}, {"c", 7}}));
}

// Guards against a window that is never reported because nothing ran in it.
Test(usage_recorder, a_window_without_requests_is_recorded) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  UsageLedger ledger = StartedLedger();
  cr_assert(!recorder.Plan(ledger, true, AfterEnd(kFirst, milliseconds(3990)),
                           kLongLed));
  const auto record =
      recorder.Plan(ledger, true, AfterEnd(kFirst, seconds(4)), kLongLed);
  cr_assert(record.has_value());
  ledger.Apply(*record);
  cr_assert(HasCounts(ledger, kFirst, {}));
}

// Guards against counts that are taken for included although the window was
// recorded without them, and against warnings about repeats.
Test(usage_recorder, counts_after_the_record_are_late_unless_they_are_repeats) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  UsageLedger ledger = StartedLedger();
  const WallTime now = AfterEnd(kFirst, seconds(4));
  recorder.Collect(Counts("g1", 1, kFirst, {{"a", 2}}), ledger, now);
  const auto record = recorder.Plan(ledger, true, now, kLongLed);
  // Until the record is applied, it stays the same.
  cr_assert(recorder.Collect(Counts("g2", 1, kFirst, {{"a", 1}}), ledger,
                             now) == UsageCountsOutcome::kLate);
  cr_assert(recorder.Plan(ledger, true, now, kLongLed)->SerializeAsString() ==
            record->SerializeAsString());
  ledger.Apply(*record);
  cr_assert(recorder.Collect(Counts("g1", 1, kFirst, {{"a", 2}}), ledger,
                             now) == UsageCountsOutcome::kRecorded);
  cr_assert(recorder.Collect(Counts("g1", 1, kFirst, {{"a", 3}}), ledger,
                             now) == UsageCountsOutcome::kLate);
  cr_assert(recorder.Collect(Counts("g1", 1, kFirst - 1, {{"a", 3}}), ledger,
                             now) == UsageCountsOutcome::kRecorded);
}

// Guards against a new leader that records a window before the gateways have
// repeated their counts.
Test(usage_recorder, a_new_leader_waits_for_the_counts) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  const UsageLedger ledger = StartedLedger();
  const WallTime now = AfterEnd(kFirst, seconds(5));
  cr_assert(!recorder.Plan(ledger, true, now, milliseconds(2400)));
  cr_assert(recorder.Plan(ledger, true, now, milliseconds(2500)).has_value());
}

// Guards against reports of windows that nobody awaits any more, after a time
// without a leader, and against a log that keeps them for ever.
Test(usage_recorder, old_windows_are_skipped_and_settled) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  UsageLedger ledger = StartedLedger();
  ledger.Apply(Record(Window(kFirst, {{"a", 1}})));
  const uint64_t oldest = kFirst + 100;
  const WallTime now = AfterEnd(oldest, seconds(60));
  const auto record = recorder.Plan(ledger, true, now, kLongLed);
  cr_assert(record.has_value());
  ledger.Apply(*record);
  cr_assert_eq(ledger.windows().size(), 1);
  cr_assert_geq(ledger.windows().begin()->first, oldest);
  cr_assert_leq(ledger.windows().begin()->first, oldest + 1);
}

// Guards against memory that a gateway with a wrong clock, or many counts,
// takes at the leader.
Test(usage_recorder, what_is_collected_is_bounded) {
  UsageRecorder recorder{UsageRecorderOptions{}};
  const UsageLedger ledger = StartedLedger();
  const WallTime now = AfterEnd(kFirst - 1, seconds(1));
  cr_assert(recorder.Collect(Counts("g1", 1, kFirst + 2, {{"a", 1}}), ledger,
                             now) == UsageCountsOutcome::kNotStored);
  const std::string name(UsageRecorder::kMaxBytes / 4, 'a');
  std::map<UsageCountsOutcome, int> outcomes;
  for (uint64_t incarnation = 0; incarnation < 5; ++incarnation) {
    ++outcomes[recorder.Collect(Counts("g1", incarnation, kFirst, {{name, 1}}),
                                ledger, now)];
  }
  cr_assert_eq(outcomes[UsageCountsOutcome::kCollected], 3);
  cr_assert_eq(outcomes[UsageCountsOutcome::kNotStored], 2);
  // Room again once the window is old.
  cr_assert(recorder.Collect(Counts("g1", 1, kFirst + 20, {{name, 1}}), ledger,
                             AfterEnd(kFirst + 20, seconds(0))) ==
            UsageCountsOutcome::kCollected);
}

// Guards against a platform that is flooded while it fails, and against one
// refused window that holds up the others.
Test(usage_report_queue, failures_back_off_and_one_window_blocks_no_other) {
  UsageLedger ledger = StartedLedger();
  for (uint64_t number = kFirst; number < kFirst + 3; ++number) {
    ledger.Apply(Record(Window(number, {})));
  }
  UsageReportQueue queue;
  TimePoint now = TimePoint() + seconds(100);
  Duration delay = UsageReportQueue::kFirstBackOff;
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(queue.Next(ledger, now)->number(), kFirst);
    queue.OnAnswer(kFirst, UsageReportOutcome::kUnavailable, now);
    cr_assert(!queue.Next(ledger, now + delay - milliseconds(1)));
    now += delay;
    delay = std::min(2 * delay, UsageReportQueue::kMaxBackOff);
  }
  queue.OnAnswer(kFirst, UsageReportOutcome::kRefused, now);
  now += UsageReportQueue::kCallSpacing;
  cr_assert_eq(queue.Next(ledger, now)->number(), kFirst + 1);
  queue.OnAnswer(kFirst + 1, UsageReportOutcome::kAcknowledged, now);
  now += UsageReportQueue::kCallSpacing;
  cr_assert_eq(queue.Next(ledger, now)->number(), kFirst);
  cr_assert(queue.AcknowledgedIn(ledger) == std::vector<uint64_t>{kFirst + 1});
  wire::UsageRecord settled;
  settled.add_settled(kFirst + 1);
  ledger.Apply(settled);
  cr_assert(queue.AcknowledgedIn(ledger).empty());
}

// Guards against reports of one window with different counts, and against
// windows that are left out, whatever leaders, gateways and answers do.
Test(usage_recorder, each_window_is_reported_with_the_same_counts) {
  setenv("RC_PARAMS", "seed=1 max_success=2000", 1);
  cr_assert(rc::check("a window always has the same counts", [] {
    constexpr size_t kSteps = 300;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        kSteps,
        rc::gen::pair(
            rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 11)),
            rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 256))));
    UsageRecorder recorder{UsageRecorderOptions{}};
    UsageReportQueue queue;
    UsageLedger ledger = StartedLedger();
    WallTime wall = AfterEnd(kFirst - 1, Duration::zero());
    TimePoint now = TimePoint() + seconds(1000);
    TimePoint leading_since = now - kLongLed;
    std::map<uint64_t, std::string> reported;
    std::vector<wire::UsageRecord> under_way;
    for (const auto& [kind, choice] : steps) {
      if (kind < 3) {
        const uint64_t window =
            UsageWindowAt(wall, kWindow) - static_cast<uint64_t>(choice % 3);
        recorder.Collect(Counts("g" + std::to_string(choice % 4), choice % 2,
                                window, {{"a", choice}, {"b", 1}}),
                         ledger, wall);
      } else if (kind < 6) {
        const Duration time = milliseconds(15 * choice);
        now += time;
        wall += time;
      } else if (kind == 6 && choice < 128) {
        // Another instance leads, with a restored ledger. What the old leader
        // proposed may be lost, or be committed later than new proposals.
        if (choice % 2 == 0) {
          under_way.clear();
        }
        recorder.Reset();
        queue.Reset();
        leading_since = now;
        UsageLedger restored;
        restored.Restore(ledger.Snapshot());
        ledger = restored;
      } else if (kind < 8) {
        if (auto record =
                recorder.Plan(ledger, true, wall, now - leading_since)) {
          for (const uint64_t settled : queue.AcknowledgedIn(ledger)) {
            record->add_settled(settled);
          }
          under_way.insert(
              choice % 2 == 0 ? under_way.begin() : under_way.end(), *record);
        }
      } else if (kind == 8) {
        if (!under_way.empty()) {
          ledger.Apply(under_way.front());
          under_way.erase(under_way.begin());
        }
      } else if (const wire::UsageWindow* window = queue.Next(ledger, now)) {
        const std::string bytes = window->SerializeAsString();
        const auto [first, added] =
            reported.try_emplace(window->number(), bytes);
        RC_ASSERT(first->second == bytes);
        // No window of the last minute is left out.
        RC_ASSERT(window->number() == kFirst ||
                  reported.contains(window->number() - 1) ||
                  ledger.windows().contains(window->number() - 1) ||
                  wall > AfterEnd(window->number() - 1, seconds(60)));
        queue.OnAnswer(window->number(),
                       choice % 8 == 0   ? UsageReportOutcome::kUnavailable
                       : choice % 8 == 1 ? UsageReportOutcome::kRefused
                                         : UsageReportOutcome::kAcknowledged,
                       now);
      }
    }
    RC_CLASSIFY(reported.size() >= 3, "three windows");
  }));
}

}  // namespace limpethatch
