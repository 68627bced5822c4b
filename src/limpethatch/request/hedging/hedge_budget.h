// Limits the target time of hedges to a share of the target time of first
// attempts, for each route over all gateways together. Only the leader of the
// control instances has one, so the limit holds for any split of the requests
// over gateways. It starts empty: a new leader grants nothing that it has not
// been told of.
#ifndef LIMPETHATCH_REQUEST_HEDGING_HEDGE_BUDGET_H_
#define LIMPETHATCH_REQUEST_HEDGING_HEDGE_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Not thread-safe.
class HedgeBudget {
 public:
  // What was earned is spent within this time or lost, so that a long time
  // without late requests is not followed by a burst of hedges. The cost of one
  // hedge is kept longer; routes with little traffic would never reach it.
  static constexpr Duration kSavingTime = std::chrono::seconds(4);
  // A route without debt that nobody asked for during this time is forgotten.
  static constexpr Duration kIdleTime = std::chrono::minutes(10);

  struct Query {
    Duration earned{};   // Target time of first attempts, since the last query.
    Duration overrun{};  // Of earlier hedges beyond what was expected of them.
    Duration expected{};    // Target time of the hedge.
    double extra_work = 0;  // Limit as a share of `earned`; at most 1.
  };

  // Adds what the query earned, charges its overrun and, if the rest suffices,
  // the hedge. Returns whether the hedge is granted.
  bool Acquire(std::string_view route, const Query& query, TimePoint now);

  // Negative if hedges took longer than expected.
  Duration balance(std::string_view route) const;
  size_t routes() const { return accounts_.size(); }

 private:
  struct Deposit {
    TimePoint at;
    Duration amount;
  };
  struct Account {
    std::deque<Deposit> deposits;  // Oldest first.
    // Kept from expired deposits; the debt if negative. A debt never expires.
    Duration reserve{};
    Duration total{};  // The reserve and all deposits.
    TimePoint last_query_at;
  };

  static void Expire(Account& account, Duration max_reserve, TimePoint now);
  // Takes the amount from the reserve, then from the oldest deposits.
  static void Charge(Account& account, Duration amount);
  void ForgetIdleRoutes(TimePoint now);

  std::map<std::string, Account, std::less<>> accounts_;
  TimePoint forgotten_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_HEDGING_HEDGE_BUDGET_H_
