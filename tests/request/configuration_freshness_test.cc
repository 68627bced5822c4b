#include "limpethatch/request/configuration_freshness.h"

#include <optional>
#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

// A gateway that has been up for a minute, has version 9 in force, and knows of
// three control instances.
class GatewayFixture {
 public:
  GatewayFixture() {
    freshness.OnInForce(9);
    freshness.SetInstances(3);
    Report("a", 9, milliseconds(100));
  }
  void Report(const std::string& instance,
              uint64_t version,
              std::optional<Duration> age,
              bool knows_leader = true) {
    freshness.OnReport({instance, version, age, knows_leader}, now);
  }

  TimePoint now = kStart + seconds(60);
  ConfigurationFreshness freshness{kStart};
};

}  // namespace

Test(configuration_freshness, a_copy_is_current_while_it_is_confirmed) {
  GatewayFixture gateway;
  for (int i = 0; i < 10; ++i) {
    cr_assert(gateway.freshness.IsCurrent(gateway.now));
    cr_assert_not(gateway.freshness.IsOutdated(gateway.now));
    gateway.now += milliseconds(700);
    gateway.Report("a", 9, milliseconds(600));
  }
}

// A gateway answered 404 two seconds after it had lost its control instance.
Test(configuration_freshness, an_unconfirmed_copy_does_not_stay_current) {
  GatewayFixture gateway;
  gateway.now += milliseconds(1300);
  cr_assert(gateway.freshness.IsCurrent(gateway.now));
  gateway.Report("b", 9, std::nullopt);
  gateway.now += milliseconds(100);
  cr_assert_not(gateway.freshness.IsCurrent(gateway.now));
}

// A gateway ran a request by a route that the new version had moved, while most
// control instances told it that they were without a quorum.
Test(configuration_freshness, a_copy_is_outdated_if_a_majority_cannot_confirm) {
  GatewayFixture gateway;
  gateway.now += seconds(3);
  cr_assert_not(gateway.freshness.IsOutdated(gateway.now));
  gateway.Report("b", 9, std::nullopt);
  cr_assert_not(gateway.freshness.IsOutdated(gateway.now),
                "the gateway may be cut off with one control instance");
  gateway.Report("c", 9, std::nullopt);
  cr_assert(gateway.freshness.IsOutdated(gateway.now));
  gateway.Report("a", 9, milliseconds(50));
  cr_assert_not(gateway.freshness.IsOutdated(gateway.now));
}

// Refused for as long as the control group was split in two halves, although no
// change was possible in that time.
Test(configuration_freshness, without_a_leader_known_routes_are_used) {
  GatewayFixture gateway;
  gateway.now += seconds(3);
  for (const std::string instance : {"a", "b", "c"}) {
    gateway.Report(instance, 9, std::nullopt, false);
  }
  cr_assert_not(gateway.freshness.IsOutdated(gateway.now));
  cr_assert_not(gateway.freshness.IsCurrent(gateway.now));
}

Test(configuration_freshness, an_announced_version_confirms_no_older_one) {
  GatewayFixture gateway;
  gateway.Report("a", 13, milliseconds(0));
  cr_assert(gateway.freshness.ExpectsTransfer(gateway.now));
  for (int i = 0; i < 3; ++i) {
    gateway.now += milliseconds(700);
    for (const std::string instance : {"a", "b", "c"}) {
      gateway.Report(instance, 13, milliseconds(0));
    }
  }
  cr_assert_not(gateway.freshness.ExpectsTransfer(gateway.now));
  cr_assert_not(gateway.freshness.IsCurrent(gateway.now));
  cr_assert(gateway.freshness.IsOutdated(gateway.now));
  gateway.freshness.OnInForce(13);
  gateway.Report("a", 13, milliseconds(0));
  cr_assert(gateway.freshness.IsCurrent(gateway.now));
  cr_assert_not(gateway.freshness.IsOutdated(gateway.now));
}

Test(configuration_freshness, a_gateway_that_just_started_serves_what_it_has) {
  GatewayFixture gateway;
  ConfigurationFreshness started(gateway.now);
  started.OnInForce(9);
  started.SetInstances(3);
  for (const std::string instance : {"a", "b", "c"}) {
    started.OnReport({instance, 9, std::nullopt, true}, gateway.now);
  }
  cr_assert_not(started.IsOutdated(gateway.now + seconds(1)));
  cr_assert_not(started.IsCurrent(gateway.now + seconds(1)));
}

}  // namespace limpethatch
