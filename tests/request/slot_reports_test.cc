#include "limpethatch/request/hedging/slot_reports.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

TargetTable MakeTable(uint64_t incarnation = 1) {
  std::vector<Target> targets(2);
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i].id = "i-" + std::to_string(i);
    targets[i].service = "desk";
    targets[i].slots = 6;
    targets[i].incarnation = incarnation;
  }
  return TargetTable(std::move(targets), nullptr);
}

}  // namespace

// A hedge that waits for a slot is in the way of first attempts.
Test(slot_reports, the_last_free_slot_may_be_used_and_no_other) {
  const TargetTable table = MakeTable();
  const RoutedTarget& target = *table.FindTarget("i-0");
  SlotReports reports;
  reports.OnAnswer(target, 5, 0, kStart);
  cr_assert(reports.HasFreeSlot(target, kStart), "one slot is left");
  reports.OnAnswer(target, 6, 0, kStart);
  cr_assert(!reports.HasFreeSlot(target, kStart));
  cr_assert(reports.FindFull(table, "desk", kStart) ==
            std::vector<std::string>{"i-0"});
}

Test(slot_reports, own_calls_since_the_report_count) {
  const TargetTable table = MakeTable();
  const RoutedTarget& target = *table.FindTarget("i-0");
  SlotReports reports;
  CallTicket answered(target, RequestClass::kLookup, kStart);
  reports.OnAnswer(target, 5, 0, kStart);  // 4 of other gateways.
  answered.Finish(CallOutcome::kAnswered, kStart);
  CallTicket first(target, RequestClass::kLookup, kStart);
  cr_assert(reports.HasFreeSlot(target, kStart));
  CallTicket second(target, RequestClass::kLookup, kStart);
  cr_assert(!reports.HasFreeSlot(target, kStart));
}

Test(slot_reports, a_target_with_waiting_requests_has_no_free_slot) {
  const TargetTable table = MakeTable();
  const RoutedTarget& target = *table.FindTarget("i-0");
  SlotReports reports;
  reports.OnAnswer(target, 2, 1, kStart);
  cr_assert(!reports.HasFreeSlot(target, kStart));
}

// An old report says nothing about a target that other gateways use.
Test(slot_reports, an_old_report_shows_no_free_slot) {
  const TargetTable table = MakeTable();
  const RoutedTarget& target = *table.FindTarget("i-0");
  SlotReports reports;
  reports.OnAnswer(target, 1, 0, kStart);
  cr_assert(reports.HasFreeSlot(target, kStart + SlotReports::kMaxAge));
  cr_assert(!reports.HasFreeSlot(
      target, kStart + SlotReports::kMaxAge + milliseconds(1)));
}

Test(slot_reports, a_target_without_reports_is_judged_by_own_calls) {
  const TargetTable table = MakeTable();
  const RoutedTarget& target = *table.FindTarget("i-1");
  const SlotReports reports;
  std::vector<CallTicket> calls;
  for (int i = 0; i < 6; ++i) {
    cr_assert(reports.HasFreeSlot(target, kStart));
    calls.emplace_back(target, RequestClass::kLookup, kStart);
  }
  cr_assert(!reports.HasFreeSlot(target, kStart));
}

Test(slot_reports, reports_of_gone_targets_and_earlier_starts_do_not_count) {
  const TargetTable table = MakeTable();
  SlotReports reports;
  reports.OnAnswer(*table.FindTarget("i-0"), 6, 3, kStart);
  const TargetTable restarted = MakeTable(2);
  cr_assert(reports.HasFreeSlot(*restarted.FindTarget("i-0"), kStart));
  reports.Prune(TargetTable());
  cr_assert(reports.HasFreeSlot(*table.FindTarget("i-0"), kStart));
}

}  // namespace limpethatch
