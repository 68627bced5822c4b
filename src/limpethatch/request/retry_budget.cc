#include "limpethatch/request/retry_budget.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr int64_t kUnitsPerRetry = 1000;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : deposit_(static_cast<int64_t>(options.ratio * kUnitsPerRetry)),
      capacity_(static_cast<int64_t>(options.burst * kUnitsPerRetry)),
      balance_(capacity_) {}

void RetryBudget::OnFirstAttempt() {
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance < capacity_ &&
         !balance_.compare_exchange_weak(
             balance, std::min(capacity_, balance + deposit_),
             std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TryAcquire() {
  int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kUnitsPerRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kUnitsPerRetry,
                                       std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace limpethatch
