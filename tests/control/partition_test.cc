#include <string>
#include <thread>

#include "control/fleet_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

std::string NameWeights(const Endpoint& api) {
  return ExchangeBytes(
      api,
      "POST /v1/version-put HTTP/1.1\r\nHost: control\r\n"
      "Content-Type: application/json\r\nContent-Length: 29\r\n\r\n"
      R"({"model":"model","version":2})");
}

void NameWeightsUntil(const Endpoint& api, const std::string& part) {
  while (NameWeights(api).find(part) == std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

}  // namespace

// An instance that was cut off held each call for 900 ms and answered 504;
// callers called it twice before they went on to one that could serve them.
Test(partition,
     an_instance_without_a_quorum_points_callers_at_the_other_side,
     .timeout = 60) {
  FleetFixture fixture;
  fixture.PutConfiguration(3);
  ControlInstance& cut_off = fixture.Leader();
  NameWeightsUntil(cut_off.api(), " 200 ");
  fixture.StopOneBeside(cut_off);
  NameWeightsUntil(cut_off.api(), " 200 ");
  fixture.StopOneBeside(cut_off);
  NameWeightsUntil(cut_off.api(), " 307 ");
  const std::string answer = NameWeights(cut_off.api());
  bool names_other = false;
  for (const Endpoint& member : fixture.group()) {
    names_other = names_other ||
                  (member.host != cut_off.api().host &&
                   answer.find("Location: http://" + member.host + ":" +
                               std::to_string(cut_off.api().port) +
                               "/v1/version-put\r\n") != std::string::npos);
  }
  cr_assert(names_other, "%s", answer.c_str());
}

}  // namespace limpethatch
