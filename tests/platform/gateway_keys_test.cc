#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/connection/yield.h"
#include "limpethatch/request/organisations/key_digest.h"
#include "platform/fake_exchange.h"
#include "platform/gateway_api.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr const char* kJob = "9c41d07be2a35f68";

// Knows one batch job, of organisation "a". Two organisations are configured,
// with the keys "key-a" and "key-b".
class KeyedGateway : public GatewayInterface {
 public:
  KeyedGateway() {
    wire::FleetConfiguration configuration;
    configuration.set_version(1);
    for (const char* prefix : {"/live/", "/open/", "/jobs/"}) {
      wire::Route& route = *configuration.add_routes();
      route.set_host("shop.example");
      route.set_path_prefix(prefix);
      route.set_kind(wire::ROUTE_IDEMPOTENT);
      route.add_services()->set_service("desk");
    }
    configuration.mutable_routes(1)->set_public_access(true);
    configuration.mutable_routes(2)->set_kind(wire::ROUTE_JOBS);
    without_organisations = std::make_shared<RouteTable>(configuration);
    configuration.set_keys_required(true);
    for (const char* name : {"a", "b"}) {
      wire::Organisation& organisation = *configuration.add_organisations();
      organisation.set_name(name);
      organisation.add_key_digests(
          EncodeKeyDigest(DigestOfKey(std::string("key-") + name)));
    }
    table = std::make_shared<RouteTable>(configuration);
  }

  RouteTablePtr routes() const override { return table; }
  bool IsConfigurationCurrent() const override { return current; }
  bool IsConfigurationOutdated() const override { return outdated; }
  void ServeLive(HttpExchange& exchange,
                 const wire::Route&,
                 const std::string& organisation) override {
    served_for.push_back(organisation);
    exchange.Respond({});
  }
  JobChange SubmitJob(Yield, const wire::JobSubmit& submit) override {
    const bool known = submit.organisation() == "a";
    return {known ? ChangeOutcome::kDone : ChangeOutcome::kNotDone, known};
  }
  JobChange EndJob(Yield,
                   const std::string& organisation,
                   const std::string&) override {
    return {ChangeOutcome::kDone, organisation == "a"};
  }
  std::optional<wire::JobPage> ReadJob(Yield,
                                       const std::string& organisation,
                                       const std::string&,
                                       uint64_t,
                                       Duration) override {
    wire::JobPage page;
    page.set_known(organisation == "a");
    return page;
  }
  std::optional<wire::JobBody> ReadBody(Yield,
                                        const std::string& organisation,
                                        const std::string&,
                                        const std::string&) override {
    wire::JobBody body;
    body.set_known(organisation == "a");
    return body;
  }

  RouteTablePtr table;
  RouteTablePtr without_organisations;
  bool current = true;
  bool outdated = false;
  std::vector<std::string> served_for;  // Organisations of live requests.
};

HttpResponse Call(KeyedGateway& gateway,
                  const std::string& method,
                  const std::string& path,
                  const std::string& key) {
  boost::asio::io_context io;
  HttpResponse answer;
  Spawn(io, [&](Yield yield) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.Set("Host", "shop.example");
    request.headers.Set("Request-Attempt-Id", kJob);
    if (!key.empty()) {
      request.headers.Set("X-Api-Key", key);
    }
    request.body = R"({"items":[{"id":"i","path":"/x"}]})";
    FakeExchange exchange(yield, std::move(request));
    platform::ServeGatewayCall(gateway, exchange);
    answer = exchange.answer;
  });
  io.run();
  return answer;
}

struct CallKind {
  const char* method;
  std::string path;
  int success = 200;
};

// Each call that needs a key.
const std::vector<CallKind>& KeyedCalls() {
  static const std::vector<CallKind> calls{
      {"POST", "/live/x"},
      {"POST", "/jobs/1", 202},
      {"GET", std::string("/v1/lots/") + kJob},
      {"DELETE", std::string("/v1/lots/") + kJob},
      {"GET", std::string("/v1/items/") + kJob}};
  return calls;
}

}  // namespace

// Guards against a call that works without a key, or with a revoked one.
Test(gateway_keys, calls_without_a_known_key_are_refused_401) {
  KeyedGateway gateway;
  for (const CallKind& call : KeyedCalls()) {
    for (const char* key : {"", "revoked"}) {
      const HttpResponse answer = Call(gateway, call.method, call.path, key);
      cr_assert_eq(answer.status, 401, "%s: %d", call.path.c_str(),
                   answer.status);
      cr_assert(answer.headers.Get("Retry-After").empty());
      cr_assert(answer.body.find("revoked") == std::string::npos);
    }
    const HttpResponse answer = Call(gateway, call.method, call.path, "key-a");
    cr_assert_eq(answer.status, call.success, "%s: %d", call.path.c_str(),
                 answer.status);
  }
  cr_assert(gateway.served_for == std::vector<std::string>{"a"});
}

// A gateway that is cut off may lack a key that was added since.
Test(gateway_keys, without_the_newest_configuration_no_key_is_called_unknown) {
  KeyedGateway gateway;
  gateway.current = false;
  for (const CallKind& call : KeyedCalls()) {
    for (const char* key : {"", "added"}) {
      const HttpResponse answer = Call(gateway, call.method, call.path, key);
      cr_assert_eq(answer.status, 503, "%s: %d", call.path.c_str(),
                   answer.status);
      cr_assert(!answer.headers.Get("Retry-After").empty());
    }
    cr_assert_eq(Call(gateway, call.method, call.path, "key-a").status,
                 call.success);
  }
}

// A gateway that is cut off may have a key that was revoked since.
Test(gateway_keys, with_an_outdated_configuration_no_key_is_served) {
  KeyedGateway gateway;
  gateway.current = false;
  gateway.outdated = true;
  for (const CallKind& call : KeyedCalls()) {
    for (const char* key : {"", "key-a", "unknown"}) {
      cr_assert_eq(Call(gateway, call.method, call.path, key).status, 503);
    }
  }
  cr_assert(gateway.served_for.empty());
}

Test(gateway_keys, without_a_configuration_nothing_is_served) {
  KeyedGateway gateway;
  gateway.table.reset();
  for (const CallKind& call : KeyedCalls()) {
    cr_assert_eq(Call(gateway, call.method, call.path, "key-a").status, 503);
  }
}

// Guards against refusing the clients of a public route, whatever they send.
Test(gateway_keys, a_public_route_needs_no_key) {
  KeyedGateway gateway;
  for (const char* key : {"", "unknown", "key-b"}) {
    cr_assert_eq(Call(gateway, "POST", "/open/x", key).status, 200);
  }
  gateway.current = false;
  cr_assert_eq(Call(gateway, "POST", "/open/x", "unknown").status, 200);
  cr_assert((gateway.served_for == std::vector<std::string>{"", "", "b", ""}));
}

// Guards against telling an organisation of the jobs of another, and against a
// refusal that asks to repeat what can't succeed.
Test(gateway_keys, the_job_of_another_organisation_does_not_exist) {
  KeyedGateway gateway;
  for (const CallKind& call : KeyedCalls()) {
    if (call.path == "/live/x") {
      continue;
    }
    const HttpResponse answer = Call(gateway, call.method, call.path, "key-b");
    cr_assert_eq(answer.status, 404, "%s: %d", call.path.c_str(),
                 answer.status);
    cr_assert(answer.headers.Get("Retry-After").empty());
  }
}

// Guards against answers about the method or the id before the key is checked.
Test(gateway_keys, the_key_is_checked_before_the_rest_of_the_request) {
  KeyedGateway gateway;
  for (const CallKind& call :
       {CallKind{"GET", "/jobs/1"}, CallKind{"PUT", "/v1/lots/x"},
        CallKind{"GET", "/v1/lots/\xFF"}, CallKind{"PUT", "/v1/items/x"}}) {
    cr_assert_eq(Call(gateway, call.method, call.path, "").status, 401);
  }
  cr_assert_eq(Call(gateway, "GET", "/nowhere/", "").status, 404);
}

// Guards against a change for fleets without organisations, and against a 404
// for the job of an organisation that a cut-off gateway does not know of yet.
Test(gateway_keys, without_organisations_keys_are_ignored) {
  KeyedGateway gateway;
  gateway.table = gateway.without_organisations;
  for (const char* key : {"", "key-a", "unknown"}) {
    cr_assert_eq(Call(gateway, "POST", "/live/x", key).status, 200);
    cr_assert_eq(Call(gateway, "GET", "/v1/lots/x", key).status, 404);
  }
  cr_assert((gateway.served_for == std::vector<std::string>{"", "", ""}));
  gateway.current = false;
  cr_assert_eq(Call(gateway, "GET", "/v1/lots/x", "").status, 404);
  cr_assert_eq(Call(gateway, "GET", "/v1/lots/x", "key-a").status, 503);
  cr_assert_eq(Call(gateway, "GET", "/v1/items/x", "key-a").status, 503);
}

}  // namespace limpethatch
