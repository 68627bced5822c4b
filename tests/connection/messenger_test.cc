#include "limpethatch/connection/messenger.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "connection/free_endpoint.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using limpethatch::Endpoint;
using limpethatch::Messenger;
using limpethatch::MessengerOptions;

namespace {

constexpr auto kReceiveTimeout = 10s;

class Inbox {
 public:
  Messenger::Receiver receiver() {
    return [this](std::string_view message) {
      std::scoped_lock lock(mutex_);
      messages_.emplace_back(message);
      arrived_.notify_all();
    };
  }
  // Returns the next message, or "" if none arrives within `timeout`.
  std::string Next(std::chrono::milliseconds timeout = kReceiveTimeout) {
    std::unique_lock lock(mutex_);
    if (!arrived_.wait_for(lock, timeout, [&] { return !messages_.empty(); })) {
      return "";
    }
    std::string first = messages_.front();
    messages_.pop_front();
    return first;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<std::string> messages_;
};

}  // namespace

Test(messenger,
     complete_messages_arrive_in_both_directions_through_a_translated_address) {
  Inbox a_inbox, b_inbox;
  const Endpoint a_address = FreeEndpoint(), b_address = FreeEndpoint();
  const Endpoint b_alias{"10.9.8.7", 1};
  Messenger a({.translation = {{b_alias, b_address}}}, a_inbox.receiver());
  Messenger b({}, b_inbox.receiver());
  cr_assert(!a.Listen(a_address));
  cr_assert(!b.Listen(b_address));
  const std::string large(3'000'000, 'x');
  a.Send(b_alias, large);
  cr_assert(b_inbox.Next() == large);
  b.Send(a_address, std::string("a\0b", 3));
  cr_assert(a_inbox.Next() == std::string("a\0b", 3));
  cr_assert(a.bytes_sent() == large.size() + 8);
  cr_assert(b.bytes_received() == large.size() + 8);
  cr_assert(static_cast<bool>(a.Listen(b_address)),
            "listening on an address in use must fail");
}

Test(messenger,
     an_oversize_message_is_dropped_on_either_side_and_later_ones_arrive) {
  Inbox inbox;
  const Endpoint address = FreeEndpoint();
  Messenger receiver({.max_message_bytes = 100}, inbox.receiver());
  cr_assert(!receiver.Listen(address));
  Messenger same_limit({.max_message_bytes = 100}, [](auto) {});
  same_limit.Send(address, std::string(101, 'x'));
  cr_assert(same_limit.bytes_sent() == 0);
  same_limit.Send(address, "small");
  cr_assert(inbox.Next() == "small");
  Messenger unlimited({}, [](auto) {});
  unlimited.Send(address, std::string(101, 'x'));
  unlimited.Send(address, "behind");
  for (std::string got; (got = inbox.Next(100ms)) != "again";) {
    cr_assert(got.empty() || got == "behind");
    unlimited.Send(address, "again");
  }
}

Test(messenger, a_restarted_peer_is_reached_again_after_a_reset) {
  Inbox inbox;
  const Endpoint address = FreeEndpoint();
  Messenger sender({}, [](auto) {});
  {
    Messenger first({}, inbox.receiver());
    cr_assert(!first.Listen(address));
    sender.Send(address, "one");
    cr_assert(inbox.Next() == "one");
  }
  Messenger second({}, inbox.receiver());
  cr_assert(!second.Listen(address));
  sender.Reset(address);
  cr_assert(sender.open_peers() == 0);
  sender.Send(address, "two");
  cr_assert(inbox.Next() == "two");
}

Test(messenger, a_full_queue_drops_further_messages) {
  Messenger sender({.max_queued_per_peer = 4}, [](auto) {});
  const Endpoint unreachable = FreeEndpoint();
  for (int i = 0; i < 100; ++i) {
    sender.Send(unreachable, "1234");
  }
  cr_assert(sender.bytes_sent() >= 4 * 12);
  cr_assert(sender.bytes_sent() <= 6 * 12, "the queue is bounded");
}

Test(messenger, the_queue_for_an_unreachable_peer_stays_within_the_byte_limit) {
  Messenger sender({.max_queued_bytes_per_peer = 1000}, [](auto) {});
  const Endpoint unreachable = FreeEndpoint();
  for (int i = 0; i < 100; ++i) {
    sender.Send(unreachable, std::string(300, 'x'));
  }
  cr_assert(sender.bytes_sent() >= 3 * 308);
  cr_assert(sender.bytes_sent() <= 1000);
}

Test(messenger, a_message_above_the_byte_limit_is_sent_alone) {
  Inbox inbox;
  const Endpoint address = FreeEndpoint();
  Messenger receiver({}, inbox.receiver());
  cr_assert(!receiver.Listen(address));
  Messenger sender({.max_queued_bytes_per_peer = 1000}, [](auto) {});
  sender.Send(address, std::string(2000, 'x'));
  cr_assert(inbox.Next() == std::string(2000, 'x'));
}

Test(messenger, an_idle_peer_is_closed) {
  Messenger sender({.max_idle_time = 1ms}, [](auto) {});
  sender.Send(FreeEndpoint(), "x");
  std::this_thread::sleep_for(5ms);
  sender.Send(FreeEndpoint(), "x");
  cr_assert(sender.open_peers() == 1, "only the peer just used is kept");
}
