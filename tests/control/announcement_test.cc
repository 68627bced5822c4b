#include <map>
#include <string>

#include "control/target_news.h"
#include "platform/control_api.h"
#include "platform/fake_exchange.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr const char* kEngineAddress = "127.0.0.8:80";
constexpr uint64_t kEngineBorn = 1'770'000'000'000;

using Members = std::map<std::string, std::string>;

// What an engine announces: the JSON text of each member.
Members AnnouncementOf(const std::string& address, uint64_t born) {
  return {{"service", "\"coach\""},
          {"address", "\"" + address + "\""},
          {"zone", "\"z\""},
          {"version", "\"v1\""},
          {"slots", "12"},
          {"state", "\"ready\""},
          {"cold_remaining_ms", "0"},
          {"stage", "\"both\""},
          {"models", R"([{"name":"model","version":1,"adapters":[]}])"},
          {"sequence", "1"},
          {"born", std::to_string(born)}};
}

// Announces a target and returns the status of the answer.
int Announce(ControlFixture& fixture,
             const std::string& id,
             const Members& members) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/v1/instances/" + id;
  std::string body;
  for (const auto& [name, value] : members) {
    body += (body.empty() ? "{\"" : ",\"") + name + "\":" + value;
  }
  request.body = body + "}";
  int status = 0;
  Spawn(fixture.io(), [&](Yield yield) {
    FakeExchange exchange(yield, request);
    platform::ServeControlCall(*fixture.service().fleet(), exchange);
    status = exchange.status;
  });
  fixture.RunUntil([&] { return status != 0; });
  return status;
}

}  // namespace

// Guards against entries of another writer that take the addresses of engines:
// the engines counted as gone, though they went on announcing themselves.
Test(announcement, an_entry_with_a_missing_member_takes_no_address) {
  ControlFixture fixture;
  fixture.PutConfiguration(1, 1);
  TargetNews news(fixture);
  cr_assert_eq(
      Announce(fixture, "i-1", AnnouncementOf(kEngineAddress, kEngineBorn)),
      200);
  const Members other = AnnouncementOf(kEngineAddress, kEngineBorn + 1);
  for (const auto& [name, value] : other) {
    Members incomplete = other;
    incomplete.erase(name);
    cr_assert_eq(Announce(fixture, "agent-" + name, incomplete), 400, "%s",
                 name.c_str());
    incomplete[name] = "{}";
    cr_assert_eq(Announce(fixture, "agent-" + name, incomplete), 400, "%s",
                 name.c_str());
  }
  for (const char* model :
       {R"({"version":1,"adapters":[]})", R"({"name":"model","adapters":[]})",
        R"({"name":"model","version":1})",
        R"({"name":"model","version":1,"adapters":"none"})", "1"}) {
    Members incomplete = other;
    incomplete["models"] = "[" + std::string(model) + "]";
    cr_assert_eq(Announce(fixture, "agent", incomplete), 400, "%s", model);
  }
  Members without_models = other;
  without_models.erase("stage");
  without_models.erase("models");
  cr_assert_eq(Announce(fixture, "agent", without_models), 400);
  cr_assert_eq(
      Announce(fixture, "i-2", AnnouncementOf("127.0.0.9:80", kEngineBorn)),
      200);
  fixture.RunUntil([&] { return news.targets.contains("i-2"); });
  cr_assert(news.targets.contains("i-1"));
  cr_assert_not(news.targets["i-1"].gone());
  cr_assert_eq(news.targets.size(), 2);
}

}  // namespace limpethatch
