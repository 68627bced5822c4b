#include "control/fleet_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr const char* kAnnouncement =
    "PUT /v1/instances/i-1 HTTP/1.1\r\nHost: control\r\n"
    "Content-Type: application/json\r\nContent-Length: 177\r\n\r\n"
    R"({"service":"desk","address":"127.0.0.1:9","zone":"z","version":"v1",)"
    R"("slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,)"
    R"("born":1777140000000,"stage":"both","models":[]})";

std::string Announce(const Endpoint& api) {
  return ExchangeBytes(api, kAnnouncement);
}

// Waits until the answer contains `part`.
std::string AnnounceUntil(const Endpoint& api, const std::string& part) {
  while (true) {
    const std::string answer = Announce(api);
    if (answer.find(part) != std::string::npos) {
      return answer;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

}  // namespace

// Instances that are no members answered 503 to announcements all day, and
// targets tried one after the other.
Test(instance_outside_group, points_targets_at_one_that_serves, .timeout = 60) {
  FleetFixture fixture;
  fixture.PutConfiguration(3);
  const auto outside = fixture.MakeInstanceBeside("127.0.0.5");
  const std::string answer = AnnounceUntil(outside->api(), " 307 ");
  bool names_member = false;
  for (const Endpoint& member : fixture.group()) {
    names_member =
        names_member || answer.find("Location: http://" + member.host + ":") !=
                            std::string::npos;
  }
  cr_assert(names_member, "%s", answer.c_str());
  cr_assert(answer.find("/v1/instances/i-1\r\n") != std::string::npos);
  const Endpoint& member = fixture.Leader().api();
  const std::string accepted = AnnounceUntil(member, " 200 ");
  cr_assert(accepted.find("\"heartbeat_address\":\"" + member.ToString()) !=
            std::string::npos);
  // The one without a copy of the state does not take the targets over.
  AnnounceUntil(outside->api(), " 307 ");
}

namespace {

uint64_t BytesSentWithin(const ControlInstance& instance, Duration time) {
  const uint64_t before = instance.bytes_sent();
  std::this_thread::sleep_for(time);
  return instance.bytes_sent() - before;
}

}  // namespace

// Pattern: many instances have a disk and few are members. What the others send
// must not grow with their number.
Test(instance_outside_group,
     sends_no_more_beside_others_of_its_kind,
     .timeout = 60) {
  constexpr Duration kTime = std::chrono::seconds(2);
  FleetFixture fixture;
  fixture.PutConfiguration(3);
  const auto outside = fixture.MakeInstanceBeside("127.0.0.5");
  AnnounceUntil(outside->api(), " 307 ");
  const uint64_t alone = BytesSentWithin(*outside, kTime);
  std::vector<std::unique_ptr<ControlInstance>> others;
  for (const char* host :
       {"127.0.0.6", "127.0.0.7", "127.0.0.8", "127.0.0.9", "127.0.0.10"}) {
    others.push_back(fixture.MakeInstanceBeside(host));
    AnnounceUntil(others.back()->api(), " 307 ");
  }
  const uint64_t beside = BytesSentWithin(*outside, kTime);
  cr_assert(beside < 2 * alone, "%lu bytes alone, %lu beside five others",
            static_cast<unsigned long>(alone),
            static_cast<unsigned long>(beside));
}

}  // namespace limpethatch
