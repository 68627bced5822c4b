#include "limpethatch/request/hedging/hedge_budget.h"

#include <algorithm>
#include <cmath>

namespace limpethatch {
namespace {

// Deposits within this time are added up, which bounds their number.
constexpr Duration kDepositPeriod = std::chrono::milliseconds(100);

Duration ShareOf(Duration time, double share) {
  if (!(share > 0) || time <= Duration::zero()) {
    return {};
  }
  return Duration(static_cast<Duration::rep>(
      std::floor(static_cast<double>(time.count()) * std::min(share, 1.0))));
}

}  // namespace

bool HedgeBudget::Acquire(std::string_view route,
                          const Query& query,
                          TimePoint now) {
  ForgetIdleRoutes(now);
  Account& account = accounts_[std::string(route)];
  account.last_query_at = now;
  const Duration expected =
      std::max<Duration>(query.expected, std::chrono::milliseconds(1));
  Expire(account, expected, now);
  if (const Duration earned = ShareOf(query.earned, query.extra_work);
      earned > Duration::zero()) {
    account.total += earned;
    if (account.deposits.empty() ||
        now - account.deposits.back().at >= kDepositPeriod) {
      account.deposits.push_back({now, earned});
    } else {
      account.deposits.back().amount += earned;
    }
  }
  Charge(account, std::max(query.overrun, Duration::zero()));
  if (!(query.extra_work > 0) || account.total < expected) {
    return false;
  }
  Charge(account, expected);
  return true;
}

Duration HedgeBudget::balance(std::string_view route) const {
  const auto found = accounts_.find(route);
  return found == accounts_.end() ? Duration() : found->second.total;
}

void HedgeBudget::Expire(Account& account,
                         Duration max_reserve,
                         TimePoint now) {
  while (!account.deposits.empty() &&
         now - account.deposits.front().at > kSavingTime) {
    account.reserve += account.deposits.front().amount;
    account.deposits.pop_front();
  }
  if (const Duration excess = account.reserve - max_reserve;
      excess > Duration::zero()) {
    account.reserve -= excess;
    account.total -= excess;
  }
}

void HedgeBudget::Charge(Account& account, Duration amount) {
  account.total -= amount;
  account.reserve -= amount;
  while (account.reserve < Duration::zero() && !account.deposits.empty()) {
    Deposit& oldest = account.deposits.front();
    const Duration taken = std::min(oldest.amount, -account.reserve);
    account.reserve += taken;
    oldest.amount -= taken;
    if (oldest.amount > Duration::zero()) {
      return;
    }
    account.deposits.pop_front();
  }
}

void HedgeBudget::ForgetIdleRoutes(TimePoint now) {
  if (now - forgotten_at_ < kIdleTime) {
    return;
  }
  forgotten_at_ = now;
  std::erase_if(accounts_, [&](const auto& entry) {
    const Account& account = entry.second;
    return now - account.last_query_at >= kIdleTime &&
           account.total >= Duration::zero();
  });
}

}  // namespace limpethatch
