#include "programs/gateway/fleet_subscriber.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// A subscriber whose watch requests go nowhere; the tests hand it the news.
class SubscriberFixture {
 public:
  explicit SubscriberFixture(const std::string& id = "gateway")
      : settings(MakeSettings(id)) {
    subscriber.Start();
  }

  static GatewaySettings MakeSettings(const std::string& id) {
    GatewaySettings settings;
    settings.process.id = id;
    settings.peers = {"127.0.0.1", 7000};
    // Only the hosts are used.
    settings.seeds = {{"127.0.0.2", 1}, {"127.0.0.3", 1}, {"127.0.0.4", 1}};
    return settings;
  }

  // Hands over news from the control instance at `host`.
  void Receive(const std::string& host, bool quorum_contact, uint64_t version) {
    wire::FleetNews news;
    news.set_from(host + ":7000");
    news.set_quorum_contact(quorum_contact);
    news.set_epoch(1);
    news.mutable_configuration()->set_version(version);
    for (const std::string& reachable : reachable_hosts) {
      news.add_control_endpoints(reachable + ":7000");
    }
    subscriber.OnFleetNews(news);
  }
  // Hands over news of one target from the current control instance.
  void ReceiveTarget(uint64_t born_ms, uint64_t sequence, bool draining) {
    wire::FleetNews news;
    news.set_from(CurrentHost() + ":7000");
    news.set_quorum_contact(true);
    news.set_epoch(++epoch_);
    wire::TargetRecord& target = *news.add_targets();
    target.set_id("i-1");
    target.set_service("desk");
    target.set_address("127.0.0.9:80");
    target.set_born_ms(born_ms);
    target.set_sequence(sequence);
    target.set_draining(draining);
    subscriber.OnFleetNews(news);
  }
  bool HasTarget() const {
    return subscriber.targets().Find("desk") != nullptr;
  }
  uint64_t version() const {
    return subscriber.routes() ? subscriber.routes()->version() : 0;
  }
  // The host from which quorum contact counts now. Changes the contact.
  std::string CurrentHost() {
    for (const std::string& host : hosts) {
      Receive(host, true, 1);
      if (subscriber.has_quorum_contact()) {
        return host;
      }
    }
    return "";
  }

  const std::vector<std::string> hosts{"127.0.0.2", "127.0.0.3", "127.0.0.4"};
  std::vector<std::string> reachable_hosts = hosts;
  boost::asio::io_context io;
  TimerService timers{io};
  Messenger messenger{io, {}, [](std::string_view) {}};
  const GatewaySettings settings;
  FleetSubscriber subscriber{
      timers,
      messenger,
      settings,
      {[](auto&) {}, [](auto&) {}, [](auto&) {}, [](auto&) {}, [](auto&) {},
       [this](Duration length) { usage_window = length; }}};
  Duration usage_window{};

 private:
  uint64_t epoch_ = 100;
};

}  // namespace

// A gateway that had just started took an old configuration from a control
// instance that was not in the group any more.
Test(fleet_subscriber, the_first_configuration_comes_with_quorum_contact) {
  SubscriberFixture fixture;
  fixture.Receive("127.0.0.2", false, 46);
  fixture.Receive("127.0.0.3", false, 46);
  cr_assert_eq(fixture.version(), 0);
  fixture.Receive("127.0.0.4", true, 49);
  cr_assert_eq(fixture.version(), 49);
}

// After a power failure gateways serve before a leader is elected.
Test(fleet_subscriber, if_no_instance_has_quorum_contact_the_newest_is_used) {
  SubscriberFixture fixture;
  for (int round = 0; round < 3; ++round) {
    fixture.Receive("127.0.0.2", false, 46);
    fixture.Receive("127.0.0.3", false, 49);
    fixture.Receive("127.0.0.4", false, 47);
  }
  cr_assert_eq(fixture.version(), 49);
}

Test(fleet_subscriber, a_configuration_in_force_is_never_replaced_by_an_older) {
  SubscriberFixture fixture;
  fixture.Receive("127.0.0.2", true, 49);
  fixture.Receive("127.0.0.3", true, 46);
  cr_assert_eq(fixture.version(), 49);
  fixture.Receive("127.0.0.3", false, 50);
  cr_assert_eq(fixture.version(), 50);
}

// Control instances of earlier releases do not state which version is in force.
Test(fleet_subscriber, news_of_an_earlier_release_confirm_the_configuration) {
  SubscriberFixture fixture;
  fixture.Receive("127.0.0.2", true, 49);
  wire::FleetNews news;
  news.set_from("127.0.0.2:7000");
  news.set_quorum_contact(true);
  news.set_state_age_ms(0);
  fixture.subscriber.OnFleetNews(news);
  cr_assert(
      fixture.subscriber.configuration_freshness().IsCurrent(Clock::now()));
}

// Instances that were replaced cost a timeout each while a change was due.
Test(fleet_subscriber, a_reachable_instance_is_asked_before_the_others) {
  SubscriberFixture fixture;
  const std::string first = fixture.CurrentHost();
  for (const std::string& reachable : fixture.hosts) {
    if (reachable == first) {
      continue;
    }
    SubscriberFixture other;
    other.reachable_hosts = {first, reachable};
    cr_assert(other.CurrentHost() == first);
    other.Receive(first, false, 1);
    cr_assert_not(other.subscriber.has_quorum_contact());
    other.Receive(reachable, true, 1);
    cr_assert(other.subscriber.has_quorum_contact());
  }
}

// All gateways that left an instance went on to the same one.
Test(fleet_subscriber, gateways_that_leave_an_instance_spread_over_the_others) {
  std::map<std::string, std::set<std::string>> next_hosts;
  for (int i = 0; i < 60; ++i) {
    SubscriberFixture fixture("gateway-" + std::to_string(i));
    const std::string left = fixture.CurrentHost();
    fixture.Receive(left, false, 1);
    next_hosts[left].insert(fixture.CurrentHost());
  }
  cr_assert_eq(next_hosts.size(), 3);
  for (const auto& [left, next] : next_hosts) {
    cr_assert_eq(next.size(), 2, "from %s", left.c_str());
  }
}

// A target that had said in an answer that it was leaving was used again when
// an announcement from before arrived.
Test(fleet_subscriber, a_leaving_target_stays_out_until_it_starts_again) {
  SubscriberFixture fixture;
  fixture.ReceiveTarget(5, 1, false);
  cr_assert(fixture.HasTarget());
  cr_assert(fixture.subscriber.MarkLeaving("i-1", 5));
  cr_assert_not(fixture.HasTarget());
  fixture.ReceiveTarget(5, 2, false);
  cr_assert_not(fixture.HasTarget());
  fixture.ReceiveTarget(6, 1, false);
  cr_assert(fixture.HasTarget());
}

Test(fleet_subscriber, another_instances_news_do_not_end_a_targets_draining) {
  SubscriberFixture fixture;
  fixture.ReceiveTarget(5, 2, true);
  cr_assert_not(fixture.HasTarget());
  fixture.ReceiveTarget(5, 2, false);
  cr_assert_not(fixture.HasTarget());
}

// Guards against gateways that do not count although the leader reports, and
// against some that count for nobody.
Test(fleet_subscriber, requests_are_counted_only_if_control_states_a_window) {
  SubscriberFixture fixture;
  const std::string host = fixture.CurrentHost();
  cr_assert(fixture.usage_window == Duration::zero());
  wire::FleetNews news;
  news.set_from(host + ":7000");
  news.set_quorum_contact(true);
  news.set_usage_window_ms(5000);
  fixture.subscriber.OnFleetNews(news);
  cr_assert(fixture.usage_window == std::chrono::seconds(5));
}

}  // namespace limpethatch
