#include "limpethatch/version/crash_ledger.h"

#include "limpethatch/version/fleet_ledger.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::CrashEvidence Crash(const std::string& target,
                          uint64_t incarnation,
                          const std::vector<std::string>& requests) {
  wire::CrashEvidence evidence;
  for (const std::string& request : requests) {
    wire::CrashedRun& run = *evidence.add_crashed_runs();
    run.set_request(request);
    run.mutable_process()->set_target(target);
    run.mutable_process()->set_incarnation(incarnation);
  }
  return evidence;
}

}  // namespace

Test(crash_ledger, a_request_is_refused_after_it_crashed_three_processes) {
  CrashLedger ledger;
  ledger.Apply(Crash("i-1", 1, {"a"}));
  ledger.Apply(Crash("i-1", 1, {"a"}));  // Reported again.
  ledger.Apply(Crash("i-2", 1, {"a"}));
  cr_assert(!ledger.IsRefused("a"));
  cr_assert(ledger.CrashCount("a") == 2);
  ledger.Apply(Crash("i-1", 2, {"a"}));
  cr_assert(ledger.IsRefused("a"));
  cr_assert(!ledger.IsRefused("b"));
}

// Guards against refusing the requests that merely shared a target with the
// one that crashes targets.
Test(crash_ledger, requests_beside_the_one_that_crashes_targets_are_cleared) {
  CrashLedger ledger;
  ledger.Apply(Crash("i-1", 1, {"poison", "unlucky"}));
  ledger.Apply(Crash("i-2", 1, {"poison", "unlucky"}));
  cr_assert(ledger.CrashCount("unlucky") == 2);
  ledger.Apply(Crash("i-3", 1, {"poison", "other"}));
  cr_assert(ledger.IsRefused("poison"));
  cr_assert(ledger.CrashCount("unlucky") == 0);
  ledger.Apply(Crash("i-4", 1, {"unlucky"}));
  cr_assert(ledger.CrashCount("unlucky") == 1);
}

// Guards against refusing the wrong one of two requests that were always
// together: the next crash tells them apart.
Test(crash_ledger, the_request_with_more_crashes_explains_them) {
  CrashLedger ledger;
  for (const char* target : {"i-1", "i-2", "i-3"}) {
    ledger.Apply(Crash(target, 1, {"a", "b"}));
  }
  cr_assert(ledger.IsRefused("a") != ledger.IsRefused("b"));
  ledger.Apply(Crash("i-4", 1, {"b"}));
  cr_assert(ledger.IsRefused("b"));
  cr_assert(ledger.CrashCount("a") == 0);
}

Test(crash_ledger, a_request_that_finished_since_is_not_suspect_any_more) {
  CrashLedger ledger;
  for (const char* target : {"i-1", "i-2"}) {
    ledger.Apply(Crash(target, 1, {"a", "b"}));
  }
  wire::CrashEvidence evidence;
  evidence.add_finished("a");
  ledger.Apply(evidence);
  cr_assert(ledger.CrashCount("a") == 0);
  cr_assert(ledger.CrashCount("b") == 2);
  cr_assert(ledger.LiveSuspects().requests_size() == 1);
}

Test(crash_ledger, a_process_that_is_heard_from_again_has_not_crashed) {
  CrashLedger ledger;
  for (uint64_t incarnation : {1, 2, 3}) {
    ledger.Apply(Crash("i-1", incarnation, {"a"}));
  }
  cr_assert(ledger.IsRefused("a"));
  wire::CrashEvidence evidence;
  evidence.add_forgotten()->set_target("i-1");
  evidence.mutable_forgotten(0)->set_incarnation(2);
  ledger.Apply(evidence);
  cr_assert(!ledger.IsRefused("a"));
  cr_assert(ledger.processes().size() == 2);
}

Test(crash_ledger, only_a_crash_without_other_requests_counts_as_alone) {
  CrashLedger ledger;
  ledger.Apply(Crash("i-1", 1, {"a", "b"}));
  cr_assert(!ledger.CrashedAlone("a"));
  ledger.Apply(Crash("i-2", 1, {"a"}));
  cr_assert(ledger.CrashedAlone("a"));
  cr_assert(!ledger.CrashedAlone("b"));
}

Test(crash_ledger, the_oldest_requests_are_dropped_beyond_the_limit) {
  CrashLedger ledger;
  for (size_t i = 0; i < CrashLedger::kMaxRequests + 2; ++i) {
    ledger.Apply(Crash("i-1", 1, {std::to_string(i)}));
  }
  cr_assert(ledger.CrashCount("1") == 0);
  cr_assert(ledger.CrashCount("2") == 1);
  cr_assert(ledger.LiveSuspects().requests_size() ==
            static_cast<int>(CrashLedger::kMaxRequests));
}

// Guards against losing the count with the leader.
Test(crash_ledger, a_snapshot_of_the_fleet_keeps_the_crashes) {
  FleetLedger fleet;
  for (uint64_t incarnation : {1, 2, 3}) {
    wire::Command command;
    *command.mutable_crash_evidence() = Crash("i-1", incarnation, {"a"});
    wire::CommandResult result;
    cr_assert(fleet.Apply(command, &result));
  }
  FleetLedger restored;
  cr_assert(restored.Restore(fleet.Snapshot()));
  cr_assert(restored.crashes().IsRefused("a"));
}

// Guards against news to all gateways that grow with the samples in flight.
Test(crash_ledger, gateways_are_told_of_live_requests_only) {
  CrashLedger ledger;
  ledger.Apply(Crash("i-1", 1, {"a", CrashLedger::NameOfSample("s")}));
  cr_assert_eq(ledger.LiveSuspects().requests_size(), 1);
  cr_assert_eq(ledger.CrashCount(CrashLedger::NameOfSample("s")), 1);
}

}  // namespace limpethatch
