// Limits the retries of one service to a share of its first attempts.
#ifndef LIMPETHATCH_REQUEST_RETRY_BUDGET_H_
#define LIMPETHATCH_REQUEST_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace limpethatch {

struct RetryBudgetOptions {
  double ratio = 0.1;  // Retries earned by each first attempt.
  double burst = 10;   // Capacity in retries; also the initial balance.
};

// A lock-free token bucket: in any period, the number of retries granted is at
// most `burst` + `ratio` * first attempts. Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void OnFirstAttempt();
  // Takes the token for one retry; returns false if there is none.
  bool TryAcquire();

 private:
  // In thousandths of a retry.
  const int64_t deposit_;
  const int64_t capacity_;
  std::atomic<int64_t> balance_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_RETRY_BUDGET_H_
