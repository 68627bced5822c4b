#include "limpethatch/connection/rcu_cell.h"

#include <atomic>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

std::atomic<int> live_pairs{0};

// Both members are equal until the value is destroyed.
struct Pair {
  explicit Pair(int number) : first(number), second(number) { ++live_pairs; }
  ~Pair() {
    first = -1;
    --live_pairs;
  }
  int first;
  int second;
};

}  // namespace

Test(rcu_cell, readers_never_see_partly_updated_values) {
  constexpr int kUpdates = 200;
  std::atomic<bool> stop{false};
  std::atomic<int> torn{0};
  {
    RcuCell<Pair> cell(std::make_unique<Pair>(0));
    std::vector<std::thread> readers;
    for (int reader = 0; reader < 4; ++reader) {
      readers.emplace_back([&] {
        int latest = 0;
        while (!stop) {
          cell.Read([&](const Pair& pair) {
            torn += pair.first != pair.second || pair.first < latest;
            latest = pair.first;
          });
        }
      });
    }
    for (int update = 0; update < kUpdates; ++update) {
      cell.Update([](const Pair& pair) {
        return std::make_unique<Pair>(pair.first + 1);
      });
    }
    stop = true;
    for (std::thread& reader : readers) {
      reader.join();
    }
    cr_assert_eq(cell.Read([](const Pair& pair) { return pair.first; }),
                 kUpdates);
    cr_assert_eq(live_pairs.load(), 1);
  }
  cr_assert_eq(torn.load(), 0);
  cr_assert_eq(live_pairs.load(), 0);
}

}  // namespace limpethatch
