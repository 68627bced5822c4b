#include <rapidcheck.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <string>
#include <thread>

#include "connection/free_endpoint.h"
#include "limpethatch/connection/http_client.h"
#include "programs/entry/entry.h"
#include "programs/entry/json_response.h"
#include "programs/entry/measured_exchange.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using boost::asio::ip::tcp;

constexpr const char* kOperatorKey = "operators-key-of-the-test";
constexpr Duration kCallTimeout = std::chrono::seconds(10);

TestSuite(entry);

std::string CreateKeyFile() {
  std::string path = "/tmp/limpethatch-entry-test-XXXXXX";
  const int file = mkstemp(path.data());
  const std::string text = std::string(kOperatorKey) + "\n";
  cr_assert(write(file, text.data(), text.size()) > 0);
  close(file);
  return path;
}

// An entry instance without control instances and targets.
struct EntryFixture {
  EntryFixture() {
    settings.process.id = "entry-1";
    settings.process.zone = "kigali-a";
    settings.process.log_level = LogLevel::kError;
    for (Endpoint* listener : {&settings.callers, &settings.targets,
                               &settings.operators, &settings.peers}) {
      *listener = FreeEndpoint();
    }
    settings.control = {FreeEndpoint()};
    settings.unready_time = Duration::zero();
    settings.operator_keys_file = CreateKeyFile();
    entry = std::make_unique<Entry>(settings);
    cr_assert(!entry->Start());
    entry_thread = std::thread([this] { entry->Run(); });
  }
  ~EntryFixture() {
    cr_expect_eq(Call("POST", "/v1/drain", kOperatorKey).status, 202);
    entry_thread.join();
    unlink(settings.operator_keys_file.c_str());
  }

  HttpResponse Call(const std::string& method,
                    const std::string& path,
                    const std::string& key) const {
    HttpRequest request;
    request.method = method;
    request.path = path;
    if (!key.empty()) {
      request.headers.Set("Authorization", "Bearer " + key);
    }
    boost::asio::io_context io;
    HttpClient client(io, {});
    HttpOutcome outcome;
    Spawn(io, [&](Yield yield) {
      HttpCallOptions options;
      options.deadline = Clock::now() + kCallTimeout;
      options.progress_timeout = kCallTimeout;
      outcome = client.Call(yield, settings.operators, request, options);
    });
    io.run();
    cr_assert(outcome.progress == CallProgress::kAnswered);
    return outcome.response;
  }

  EntrySettings settings;
  std::unique_ptr<Entry> entry;
  std::thread entry_thread;
};

Test(entry, operator_calls_need_a_key_and_a_drain_stops_the_process) {
  const EntryFixture fixture;
  for (const char* path : {"/v1/status", "/v1/manifest", "/v1/targets",
                           "/v1/history", "/v1/burn", "/v1/none"}) {
    cr_expect_eq(fixture.Call("GET", path, "").status, 401);
    cr_expect_eq(fixture.Call("GET", path, "another-key-altogether").status,
                 401);
  }
  cr_expect_eq(fixture.Call("POST", "/v1/drain", "").status, 401);
  cr_expect_eq(fixture.Call("GET", "/v1/drain", kOperatorKey).status, 405);
  cr_expect_eq(fixture.Call("GET", "/v1/targets", kOperatorKey).status, 200);
  cr_expect_eq(fixture.Call("GET", "/healthz", "").status, 200);
  cr_expect_eq(fixture.Call("GET", "/readyz", "").status, 503);
  const std::string metrics = fixture.Call("GET", "/metrics", "").body;
  cr_expect(metrics.find("limpethatch_manifest_version 0\n") !=
            std::string::npos);
  cr_expect(metrics.find("limpethatch_control_known 0\n") != std::string::npos);
}

Test(entry, start_fails_when_the_key_file_is_readable_by_others) {
  EntrySettings settings;
  for (Endpoint* listener : {&settings.callers, &settings.targets,
                             &settings.operators, &settings.peers}) {
    *listener = FreeEndpoint();
  }
  settings.control = {FreeEndpoint()};
  settings.operator_keys_file = CreateKeyFile();
  cr_assert_eq(chmod(settings.operator_keys_file.c_str(), 0644), 0);
  Entry entry(settings);
  cr_expect(entry.Start() == std::errc::permission_denied);
  unlink(settings.operator_keys_file.c_str());
}

// Sends `bytes` and shuts down the sending side. Returns the status of the
// response, or 0 if there is none.
int SendAndReadStatus(const Endpoint& endpoint, const std::string& bytes) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address(endpoint.host), endpoint.port},
                 error);
  cr_assert(!error);
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  socket.shutdown(tcp::socket::shutdown_send, error);
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
  return response.starts_with("HTTP/1.1 ") ? std::atoi(response.c_str() + 9)
                                           : 0;
}

std::string RandomRequest() {
  const auto path = *rc::gen::element<std::string>(
      "/svc/refill-api/stock", "/svc/", "/svc//", "/v1/steps",
      "/v1/steps/a/samples?after=-1&max=99999999999999999999", "/v1/weights",
      "/v1/completions", "/v1/manifest", "/v1/drain", "/", "*", "/%00\xff");
  const auto method =
      *rc::gen::element<std::string>("GET", "POST", "PUT", "HEAD", "\x01");
  const auto body = *rc::gen::element<std::string>(
      "", "{", "[]", "7", "{\"trainer\": 1, \"groups\": [[]]}",
      "{\"model\": {}, \"prompt\": [], \"max_tokens\": -1}",
      "{\"pool\": null, \"version\": 1e400}", "\xff\xfe",
      std::string(100'000, '['));
  std::string request = method + " " + path + " HTTP/1.1\r\nHost: x\r\n" +
                        "Content-Length: " + std::to_string(body.size()) +
                        "\r\nConnection: close\r\n\r\n" + body;
  const int mutation_count = *rc::gen::inRange(0, 3);
  for (int i = 0; i < mutation_count; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, request.size());
    request.replace(at, *rc::gen::inRange<size_t>(0, 4),
                    *rc::gen::element<std::string>("\r\n", " ", "\xff", ":",
                                                   "99999999999", ""));
  }
  return request;
}

Test(entry, malformed_requests_get_an_http_answer_and_cause_no_crash) {
  const EntryFixture fixture;
  cr_assert(rc::check([&fixture] {
    const Endpoint endpoint =
        *rc::gen::element(fixture.settings.callers, fixture.settings.targets,
                          fixture.settings.operators);
    const int status = SendAndReadStatus(endpoint, RandomRequest());
    RC_ASSERT(status == 0 || (status >= 200 && status < 600));
    RC_ASSERT(status != 500);
  }));
  cr_expect_eq(fixture.Call("GET", "/healthz", "").status, 200);
}

Test(entry, responses_are_classified_for_the_service_objective) {
  using std::chrono::seconds;
  const auto outcome = [](const HttpResponse& response, Duration duration) {
    return OutcomeOf(response, duration, seconds(1));
  };
  HttpResponse response;
  cr_expect(outcome(response, seconds(1)) == RequestOutcome::kGood);
  cr_expect(outcome(response, seconds(2)) == RequestOutcome::kLate);
  response.status = 404;  // Without kRanHeader it comes from the target.
  cr_expect(outcome(response, seconds(1)) == RequestOutcome::kGood);
  response.status = 500;
  cr_expect(outcome(response, seconds(1)) == RequestOutcome::kFailed);
  cr_expect(outcome(RefusalResponse(NoTarget("a")), {}) ==
            RequestOutcome::kRefused);
  cr_expect(outcome(RefusalResponse(Overloaded("a", {})), {}) ==
            RequestOutcome::kRefused);
  cr_expect(outcome(RefusalResponse(TargetFailed(Ran::kMayHaveRun)), {}) ==
            RequestOutcome::kFailed);
  cr_expect_not(outcome(RefusalResponse(BadRequest("x")), {}).has_value());
}

}  // namespace
}  // namespace limpethatch
