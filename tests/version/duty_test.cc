#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/process/duties/duty_lease.h"
#include "limpethatch/version/duties/duty_ledger.h"
#include "limpethatch/version/fleet_ledger.h"
#include "version/duty_simulation.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DutySimulation;

wire::Command Claim(const std::string& holder,
                    uint64_t term,
                    uint64_t refused_token = 0) {
  wire::Command command;
  wire::DutyClaim& claim = *command.mutable_duty_claim();
  claim.set_duty("usage");
  claim.set_holder(holder);
  claim.set_term(term);
  claim.set_refused_token(refused_token);
  return command;
}

uint64_t TokenAfter(const wire::Command& command, FleetLedger* ledger) {
  wire::CommandResult result;
  cr_assert(ledger->Apply(command, &result));
  return ledger->duties().Find("usage").token;
}

FleetLedger LedgerOfFormat(LogFormat format) {
  FleetLedger ledger;
  wire::Command command;
  command.mutable_log_format_raise()->set_format(static_cast<uint32_t>(format));
  wire::CommandResult result;
  ledger.Apply(command, &result);
  return ledger;
}

// The first time from `since` on at which the lease yields a token.
Duration WaitFor(DutyLease& lease,
                 const DutyLeadership& leadership,
                 const DutyHolding& holding) {
  Duration waited{};
  while (!lease.TokenAt(leadership.since + waited, leadership, holding)) {
    waited += milliseconds(100);
    if (waited > seconds(10)) {
      break;
    }
  }
  return waited;
}

}  // namespace

// Guards against a token that two holders share, and against one that rises
// without need.
Test(duty_ledger, the_token_rises_with_each_change_of_the_holder_only) {
  FleetLedger ledger = LedgerOfFormat(LogFormat::kOrganisations);
  cr_assert_eq(TokenAfter(Claim("a", 1), &ledger), 1);
  cr_assert_eq(TokenAfter(Claim("a", 2), &ledger), 1);
  cr_assert_eq(TokenAfter(Claim("b", 3), &ledger), 2);
  FleetLedger restored;
  cr_assert(restored.Restore(ledger.Snapshot()));
  cr_assert_eq(TokenAfter(Claim("a", 4), &restored), 3);
  cr_assert_eq(TokenAfter(Claim("a", 4, 3), &restored), 6);
  cr_assert_eq(TokenAfter(Claim("a", 4, 3), &restored), 6);
}

// Guards against a claim of a deposed leader that takes the duty from the
// present one.
Test(duty_ledger, a_claim_of_an_older_term_is_ignored) {
  FleetLedger ledger = LedgerOfFormat(LogFormat::kOrganisations);
  TokenAfter(Claim("a", 5), &ledger);
  cr_assert_eq(TokenAfter(Claim("b", 4), &ledger), 1);
  cr_assert(ledger.duties().Find("usage") == (DutyHolding{"a", 1, 5}));
}

// Replicas of earlier builds ignore the commands: all replicas have the same
// state only if none applies them.
Test(duty_ledger, claims_and_records_are_kept_from_their_log_format_on) {
  FleetLedger ledger = LedgerOfFormat(LogFormat::kEndsOfUnknownJobs);
  cr_assert_eq(TokenAfter(Claim("a", 1), &ledger), 0);
  wire::Command command;
  command.mutable_usage_record()->set_first_window(7);
  wire::CommandResult result;
  cr_assert(ledger.Apply(command, &result));
  cr_assert_eq(ledger.usage().next_window(), 0);
}

// Guards against a new holder whose call overtakes one of the former holder.
Test(duty_lease, a_new_holder_waits_for_the_calls_of_the_former_one) {
  DutyLease lease("b", {seconds(3), milliseconds(300)});
  const DutyLeadership leadership{true, 2, TimePoint() + seconds(100)};
  cr_assert(WaitFor(lease, leadership, {"b", 2, 2}) == milliseconds(3300));
}

// Guards against a late report after each election that the holder wins again.
Test(duty_lease, the_holder_of_before_does_not_wait_again) {
  DutyLease lease("a", {seconds(3), milliseconds(300)});
  WaitFor(lease, {true, 1, TimePoint() + seconds(100)}, {"a", 1, 1});
  const DutyLeadership again{true, 3, TimePoint() + seconds(200)};
  cr_assert(WaitFor(lease, again, {"a", 1, 3}) == Duration::zero());
}

// Guards against calls before the claim of this term is applied, as another
// instance may have claimed the duty in between.
Test(duty_lease, nothing_is_sent_before_the_claim_of_the_term_is_applied) {
  DutyLease lease("a", {seconds(3), milliseconds(300)});
  WaitFor(lease, {true, 1, TimePoint() + seconds(100)}, {"a", 1, 1});
  const DutyLeadership again{true, 3, TimePoint() + seconds(200)};
  cr_assert(lease.MustClaim(again, {"a", 1, 1}));
  cr_assert(!lease.TokenAt(again.since + seconds(9), again, {"a", 1, 1}));
  cr_assert(!lease.TokenAt(again.since + seconds(9), {false, 3, again.since},
                           {"a", 1, 3}));
}

// Guards against calls with a token that the platform has refused, and against
// an instance that never acts again after a loss of the log.
Test(duty_lease, a_refused_token_is_replaced_before_the_next_call) {
  DutyLease lease("a", {seconds(3), milliseconds(300)});
  const DutyLeadership leadership{true, 1, TimePoint() + seconds(100)};
  WaitFor(lease, leadership, {"a", 1, 1});
  const TimePoint refused_at = leadership.since + seconds(20);
  lease.OnRefused(1, refused_at);
  cr_assert(!lease.TokenAt(refused_at + seconds(9), leadership, {"a", 1, 1}));
  cr_assert(lease.MustClaim(leadership, {"a", 1, 1}));
  cr_assert(!lease.TokenAt(refused_at + seconds(3), leadership, {"a", 2, 1}));
  cr_assert(lease.TokenAt(refused_at + seconds(4), leadership, {"a", 2, 1}) ==
            2U);
}

// Guards against any order of elections, cuts, restarts and restores in which
// the platform, which need not check tokens, carries out calls out of order.
Test(duty_lease, tokens_never_fall_and_holders_never_alternate) {
  setenv("RC_PARAMS", "seed=1 max_success=2000", 1);
  cr_assert(rc::check("no two holders, no lower token, no A, B, A", [] {
    constexpr size_t kSteps = 300;
    DutySimulation simulation;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        kSteps,
        rc::gen::pair(
            rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange(0, int{DutySimulation::kKinds})),
            rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 256))));
    for (const auto& [kind, choice] : steps) {
      simulation.Step(static_cast<uint8_t>(kind), static_cast<uint8_t>(choice));
    }
    RC_ASSERT(!simulation.used_refused_token());
    const auto calls = simulation.Executed();
    RC_CLASSIFY(!calls.empty(), "calls");
    RC_CLASSIFY(!calls.empty() && calls.back().holder != calls.front().holder,
                "several holders");
    std::map<uint64_t, std::string> holder_of;
    for (size_t i = 0; i < calls.size(); ++i) {
      RC_ASSERT(holder_of.try_emplace(calls[i].token, calls[i].holder)
                    .first->second == calls[i].holder);
      RC_ASSERT(i == 0 || calls[i - 1].token <= calls[i].token);
      for (size_t j = 0; j < i; ++j) {
        for (size_t k = j + 1; k < i && calls[j].holder == calls[i].holder;
             ++k) {
          RC_ASSERT(calls[k].holder == calls[i].holder ||
                    calls[i].executed_at - calls[j].executed_at >=
                        DutySimulation::kLease);
        }
      }
    }
  }));
}

}  // namespace limpethatch
