#include "limpethatch/process/order_lease.h"

#include <chrono>
#include <optional>

#include "process/consensus_simulation.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr OrderLeaseOptions kOptions{milliseconds(500), seconds(1)};

std::optional<Order> IssueAt(ConsensusSimulation& simulation, size_t replica) {
  const Consensus& consensus = simulation.at(replica);
  const TimePoint now = simulation.now(replica);
  return OrderLease(kOptions).Issue(now, consensus.term(),
                                    consensus.leading_since(),
                                    consensus.LeaseEnd(now));
}

// Runs until a replica may issue orders; returns its index, or size() if none
// may within `limit`.
size_t WaitForIssuer(ConsensusSimulation& simulation, Duration limit) {
  size_t issuer = simulation.size();
  simulation.RunUntil(limit, [&] {
    for (size_t i = 0; i < simulation.size() && issuer == simulation.size();
         ++i) {
      issuer = IssueAt(simulation, i) ? i : issuer;
    }
    return issuer != simulation.size();
  });
  return issuer;
}

}  // namespace

// The target ignores the term and reads a request for up to the delivery bound.
// The half-written order of the old leader must have expired before the new
// leader issues its first.
Test(order_lease, a_leader_frozen_while_writing_an_order_issues_no_more) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConsensusSimulation simulation(3, seed);
    const size_t old = WaitForIssuer(simulation, seconds(20));
    cr_assert_lt(old, simulation.size());
    const Order half_written = *IssueAt(simulation, old);
    const TimePoint read_until = simulation.now(old) + kOptions.delivery_bound;
    simulation.SetFrozen(old, true);
    simulation.Run(milliseconds(5));

    size_t next = simulation.size();
    cr_assert(simulation.RunUntil(seconds(30), [&] {
      const auto leader = simulation.Leader();
      next = leader && *leader != old && IssueAt(simulation, *leader)
                 ? *leader
                 : simulation.size();
      return next != simulation.size();
    }));
    const Order fresh = *IssueAt(simulation, next);
    cr_assert_gt(fresh.term, half_written.term);
    cr_assert_gt(simulation.now(old), read_until);
    cr_assert_not(half_written.MaySend(simulation.now(old)));

    simulation.Run(seconds(30));
    simulation.SetFrozen(old, false);
    cr_assert_not(IssueAt(simulation, old).has_value());
    cr_assert_not(half_written.MaySend(simulation.now(old)));
    simulation.Run(seconds(1));
    cr_assert_not(IssueAt(simulation, old).has_value());
    cr_assert_str_empty(simulation.violation().c_str());
  }
}

Test(order_lease, an_isolated_leader_stops_before_the_next_one_issues) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConsensusSimulation simulation(3, seed);
    const size_t old = WaitForIssuer(simulation, seconds(20));
    cr_assert_lt(old, simulation.size());
    simulation.SetIsolated(old, true);
    bool overlap = false;
    cr_assert(simulation.RunUntil(seconds(30), [&] {
      size_t issuers = 0;
      bool others = false;
      for (size_t i = 0; i < simulation.size(); ++i) {
        const bool may_issue = IssueAt(simulation, i).has_value();
        issuers += may_issue;
        others = others || (may_issue && i != old);
      }
      overlap = overlap || issuers > 1;
      return others;
    }));
    cr_assert_not(overlap);
  }
}

}  // namespace limpethatch
