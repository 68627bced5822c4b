// Limits the retries of one service to a share of its first tries.
#ifndef LIMPETHATCH_REQUEST_RETRY_BUDGET_H_
#define LIMPETHATCH_REQUEST_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace limpethatch {

struct RetryBudgetOptions {
  double ratio = 0.1;  // Retries allowed for each first try.
  double burst = 10;   // Retries that may be saved up, and that a start has.
};

// A token bucket of atomics: over any time the retries granted are at most
// `burst` + `ratio` * first tries.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void OnFirstAttempt();
  // Takes the token for one retry; false if there is none.
  bool TryAcquire();

 private:
  // In thousandths of a retry.
  const int64_t deposit_;
  const int64_t capacity_;
  std::atomic<int64_t> balance_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_RETRY_BUDGET_H_
