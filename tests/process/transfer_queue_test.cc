#include "limpethatch/process/transfer_queue.h"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1000};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TransferQueue QueueWith(int receivers) {
  TransferQueue queue(kTimeout);
  for (int i = 0; i < receivers; ++i) {
    queue.OnConfirmed("receiver-" + std::to_string(i), 0);
  }
  return queue;
}

}  // namespace

// A large configuration was sent to all gateways at once, and once more for
// each time that a gateway asked while it waited.
Test(transfer_queue, every_receiver_gets_a_version_once_and_a_few_at_a_time) {
  constexpr int kReceivers = 104;
  constexpr size_t kLimit = 8;
  TransferQueue queue = QueueWith(kReceivers);
  std::vector<std::string> sent;
  for (int slice = 0; slice < kReceivers; ++slice) {
    const auto next = queue.Next(3, kLimit, kStart + milliseconds(slice));
    cr_assert_leq(next.size(), kLimit);
    sent.insert(sent.end(), next.begin(), next.end());
    for (const std::string& receiver : next) {
      queue.OnConfirmed(receiver, 0);  // It asks again while it waits.
    }
  }
  std::sort(sent.begin(), sent.end());
  cr_assert_eq(sent.size(), kReceivers);
  cr_assert(std::adjacent_find(sent.begin(), sent.end()) == sent.end());
}

Test(transfer_queue, a_lost_transfer_is_repeated) {
  TransferQueue queue = QueueWith(1);
  cr_assert_eq(queue.Next(3, 8, kStart).size(), 1);
  cr_assert(queue.Next(3, 8, kStart + kTimeout - milliseconds(1)).empty());
  cr_assert_eq(queue.Next(3, 8, kStart + kTimeout).size(), 1);
  queue.OnConnectionLost("receiver-0");
  cr_assert_eq(queue.Next(3, 8, kStart + kTimeout).size(), 1);
  queue.OnConfirmed("receiver-0", 3);
  cr_assert(queue.Next(3, 8, kStart + 5 * kTimeout).empty());
}

Test(transfer_queue, a_receiver_that_restarted_does_not_wait) {
  TransferQueue queue = QueueWith(1);
  queue.OnConfirmed("receiver-0", 2);
  cr_assert_eq(queue.Next(3, 8, kStart).size(), 1);
  queue.OnConfirmed("receiver-0", 0);
  cr_assert_eq(queue.Next(3, 8, kStart).size(), 1);
}

Test(transfer_queue, a_newer_version_does_not_wait_for_the_older) {
  TransferQueue queue = QueueWith(1);
  cr_assert_eq(queue.Next(3, 8, kStart).size(), 1);
  cr_assert_eq(queue.Next(4, 8, kStart).size(), 1);
  cr_assert(queue.Next(4, 8, kStart).empty());
}

Test(transfer_queue,
     whatever_is_lost_each_receiver_has_the_version_in_the_end) {
  cr_assert(rc::check([] {
    const int receivers = *rc::gen::inRange(1, 30);
    const auto limit = *rc::gen::inRange<size_t>(1, 10);
    TransferQueue queue = QueueWith(receivers);
    int lossy_slices = *rc::gen::inRange(0, 40);
    int confirmed = 0;
    TimePoint now = kStart;
    for (int slice = 0; slice < 2000 && confirmed < receivers; ++slice) {
      now += milliseconds(*rc::gen::inRange(1, 300));
      for (const std::string& receiver : queue.Next(7, limit, now)) {
        if (lossy_slices > 0 && *rc::gen::arbitrary<bool>()) {
          --lossy_slices;
          continue;
        }
        queue.OnConfirmed(receiver, 7);
        ++confirmed;
      }
    }
    RC_ASSERT(confirmed == receivers);
  }));
}

}  // namespace limpethatch
