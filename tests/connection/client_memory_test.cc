#include "limpethatch/connection/client_memory.h"

#include <rapidcheck.h>

#include <memory>
#include <vector>

#include "limpethatch/connection/client_limits.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::seconds;
using Phase = ClientMemory::Phase;
using Share = ClientMemory::Share;

constexpr size_t kKilobyte = 1024;
constexpr size_t kBudget = 1024 * kKilobyte;
const TimePoint kStart{};

// A connection that gives its memory back as soon as it is told to close.
struct Connection {
  explicit Connection(const std::shared_ptr<ClientMemory>& memory)
      : share(memory, [this] { closed = true; }) {}

  bool closed = false;
  Share share;
};

// Guards against bodies that together fill the memory of the process.
Test(client_memory, reservations_never_exceed_the_budget) {
  cr_assert(rc::check("held bytes stay within the budget", [] {
    const auto memory = std::make_shared<ClientMemory>(kBudget);
    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < 10; ++i) {
      connections.push_back(std::make_unique<Connection>(memory));
    }
    for (int step = 0; step < 100; ++step) {
      auto& connection = connections[*rc::gen::inRange<size_t>(0, 10)];
      const size_t bytes = *rc::gen::inRange<size_t>(0, kBudget / 2);
      const size_t before = connection->share.bytes();
      if (!connection->share.TryHold(bytes)) {
        RC_ASSERT(connection->share.bytes() == before);
      }
      if (*rc::gen::inRange(0, 10) == 0) {
        connection = std::make_unique<Connection>(memory);
      }
      RC_ASSERT(memory->held_bytes() <= kBudget);
    }
    connections.clear();
    RC_ASSERT(memory->held_bytes() == 0);
  }));
}

// Guards against large bodies that leave ordinary requests no memory.
Test(client_memory, large_holders_leave_room_for_small_ones) {
  const auto memory = std::make_shared<ClientMemory>(kBudget);
  Connection large(memory);
  cr_assert(!large.share.TryHold(kBudget));
  cr_assert(large.share.TryHold(kBudget - kBudget / 8));
  cr_assert(memory->spare_bytes() == 0);
  Connection other(memory);
  cr_assert(!other.share.TryHold(100 * kKilobyte));
  cr_assert(other.share.TryHold(50 * kKilobyte));
}

// Guards against closing ordinary requests instead of those that stay open.
Test(client_memory, the_connection_that_holds_most_for_longest_is_closed) {
  const auto memory = std::make_shared<ClientMemory>(kBudget);
  Connection running(memory);
  Connection lasting(memory);
  Connection recent(memory);
  running.share.TryHold(400 * kKilobyte);
  running.share.BeginPhase(Phase::kRunning, kStart);
  lasting.share.TryHold(200 * kKilobyte);
  lasting.share.BeginPhase(Phase::kReading, kStart + seconds(1));
  recent.share.TryHold(250 * kKilobyte);
  recent.share.BeginPhase(Phase::kReading, kStart + seconds(9));
  const TimePoint now = kStart + seconds(10);
  cr_assert(memory->MakeRoom(100 * kKilobyte, now));
  cr_assert(lasting.closed && !recent.closed && !running.closed);
  // What it gives back is enough.
  cr_assert(memory->MakeRoom(100 * kKilobyte, now));
  cr_assert(!recent.closed);
  lasting.share.Hold(0);
  cr_assert(memory->MakeRoom(800 * kKilobyte, now));
  cr_assert(recent.closed);
  recent.share.Hold(0);
  // A request that runs is never closed.
  cr_assert(!memory->MakeRoom(800 * kKilobyte, now));
  cr_assert(!running.closed);
}

// Guards against a process that runs out of descriptors for targets and peers.
Test(client_memory, connections_leave_the_reserved_descriptors_free) {
  cr_assert(rc::check("connections and the reserve fit the limit", [] {
    const auto descriptors = *rc::gen::inRange<size_t>(256, 20'000);
    ClientLimits limits;
    limits.reserved_descriptors = *rc::gen::inRange<size_t>(0, 2000);
    const size_t reserved =
        std::min<size_t>(limits.reserved_descriptors, descriptors / 4);
    const size_t connections =
        limits.ServerLimits(descriptors, 1).max_connections;
    RC_ASSERT(connections + reserved <= descriptors);
    RC_ASSERT(connections >= std::min<size_t>(descriptors / 2, 4096));
  }));
}

// Guards against a budget that does not follow the memory of the machine.
Test(client_memory, the_budget_is_a_part_of_the_memory_unless_it_is_set) {
  ClientLimits limits;
  cr_assert(limits.Budget(2) == ClientLimits::kDefaultMemoryBudget);
  limits.memory = 96 * kKilobyte * kKilobyte;
  cr_assert(limits.Budget(2) == 48 * kKilobyte * kKilobyte);
  limits.memory_budget = 20 * kKilobyte * kKilobyte;
  cr_assert(limits.Budget(2) == 20 * kKilobyte * kKilobyte);
}

}  // namespace
}  // namespace limpethatch
