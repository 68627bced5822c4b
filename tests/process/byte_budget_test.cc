#include "limpethatch/process/byte_budget.h"

#include <rapidcheck.h>

#include <memory>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {

// Pattern: all engines stream without an end, each within the limit of a
// sample.
Test(byte_budget, ending_those_above_their_share_keeps_the_sum_in_bounds) {
  cr_assert(rc::check("the sum stays within the budget and one step", [] {
    constexpr size_t kBudget = 1000;
    constexpr size_t kMaxStep = 50;
    constexpr size_t kHolders = 8;
    ByteBudget budget(kBudget);
    std::vector<std::unique_ptr<ByteBudget::Share>> shares;
    for (size_t i = 0; i < kHolders; ++i) {
      shares.push_back(std::make_unique<ByteBudget::Share>(budget));
    }
    for (int round = 0; round < 50; ++round) {
      for (auto& share : shares) {
        share->Set(share->bytes() + *rc::gen::inRange<size_t>(0, kMaxStep + 1));
        if (share->Exceeds()) {
          share = std::make_unique<ByteBudget::Share>(budget);
        }
      }
      RC_ASSERT(budget.bytes() <= kBudget + kHolders * kMaxStep);
    }
  }));
}

Test(byte_budget, a_holder_that_ends_gives_its_bytes_back) {
  ByteBudget budget(100);
  ByteBudget::Share small(budget);
  small.Set(10);
  {
    ByteBudget::Share large(budget);
    large.Set(95);
    cr_assert(large.Exceeds());
    cr_assert(!small.Exceeds());
  }
  cr_assert(budget.bytes() == 10);
  cr_assert(!small.Exceeds());
}

}  // namespace limpethatch
