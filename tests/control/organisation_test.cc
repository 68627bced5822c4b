#include <string>

#include "control/fleet_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr Duration kPause = std::chrono::milliseconds(50);

std::string RequestOf(const std::string& method,
                      const std::string& path,
                      const std::string& id,
                      const std::string& key) {
  const std::string body = R"({"items":[{"id":"item","path":"/x"}]})";
  return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "Request-Attempt-Id: " + id + "\r\nX-Api-Key: " + key +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

int StatusOf(const GatewayInstance& gateway, const std::string& request) {
  const std::string answer = gateway.Call(request);
  constexpr size_t kStatusAt = 9;
  return answer.size() < kStatusAt + 3
             ? 0
             : std::atoi(answer.substr(kStatusAt, 3).c_str());
}

// Repeats the request while it is refused 503, such as until the log format is
// raised.
int FinalStatusOf(const GatewayInstance& gateway, const std::string& request) {
  int status = 0;
  while ((status = StatusOf(gateway, request)) == 503) {
    std::this_thread::sleep_for(kPause);
  }
  return status;
}

}  // namespace

// Guards against jobs that another organisation can see, take or end, and
// against a revoked key that still works or ends a job.
Test(organisation, a_job_is_served_for_any_key_of_its_organisation_only) {
  FleetFixture fixture;
  fixture.PutConfiguration(2, 1, {{"a", "ka"}, {"b", "kb"}});
  GatewayInstance& gateway = fixture.AddGateway("127.0.0.10");
  const std::string lot = "/v1/lots/job";
  const std::string body = "/v1/items/job?id=item";
  const auto submit = [](const std::string& id, const std::string& key) {
    return RequestOf("POST", "/j/x", id, key);
  };
  // An end of b precedes the submission of a.
  cr_assert_eq(FinalStatusOf(gateway, RequestOf("DELETE", lot, "r", "kb")),
               200);
  cr_assert_eq(FinalStatusOf(gateway, submit("job", "ka")), 202);
  cr_assert_eq(FinalStatusOf(gateway, submit("job", "ka")), 202);
  cr_assert_eq(FinalStatusOf(gateway, submit("job", "kb")), 404);
  cr_assert_eq(FinalStatusOf(gateway, submit("other", "unknown")), 401);
  for (const std::string& path : {lot, body}) {
    const std::string get = RequestOf("GET", path, "r", "ka");
    cr_assert_eq(FinalStatusOf(gateway, get), 200);
    cr_assert_eq(FinalStatusOf(gateway, RequestOf("GET", path, "r", "kb")),
                 404);
  }
  cr_assert_eq(FinalStatusOf(gateway, RequestOf("DELETE", lot, "r", "kb")),
               404);

  fixture.PutConfiguration(2, 2, {{"a", "ka2"}, {"b", "kb"}});
  while (StatusOf(gateway, RequestOf("GET", lot, "r", "ka")) != 401) {
    std::this_thread::sleep_for(kPause);
  }
  cr_assert_eq(FinalStatusOf(gateway, RequestOf("GET", body, "r", "ka2")), 200);
  cr_assert_eq(FinalStatusOf(gateway, RequestOf("DELETE", lot, "r", "ka")),
               401);
  cr_assert_eq(FinalStatusOf(gateway, RequestOf("DELETE", lot, "r", "ka2")),
               200);
  cr_assert_eq(FinalStatusOf(gateway, RequestOf("GET", body, "r", "ka2")), 404);
}

}  // namespace limpethatch
