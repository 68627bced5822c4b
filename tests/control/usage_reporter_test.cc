#include "programs/control/usage_reporter.h"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/free_endpoint.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/version/usage/usage_window.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);
constexpr uint64_t kFirst = 353'445'120;
// In place of a status: the call gets no answer.
constexpr int kSilent = 0;

class ManualWallClock : public WallClock {
 public:
  WallTime Now() const override { return now; }

  WallTime now;
};

// The platform: answers the calls with the given statuses, then with 200.
class Platform {
 public:
  explicit Platform(boost::asio::io_context& io)
      : server_(io, HttpServerLimits{}, [this](HttpExchange& exchange) {
          Serve(exchange);
        }) {
    if (server_.Listen(endpoint)) {
      std::abort();
    }
  }

  const Endpoint endpoint = FreeEndpoint();
  std::vector<HttpRequest> calls;
  std::vector<int> statuses;

 private:
  void Serve(HttpExchange& exchange) {
    const size_t call = calls.size();
    calls.push_back(exchange.request());
    HttpResponse response;
    response.status = call < statuses.size() ? statuses[call] : 200;
    if (response.status == kSilent) {
      // Longer than the time limit of a call.
      SleepFor(exchange.yield(), milliseconds(1500));
      response.status = 200;
    }
    exchange.Respond(response);
  }

  HttpServer server_;
};

// A control instance that leads, and a log that applies commands at once.
class ReporterFixture {
 public:
  explicit ReporterFixture(std::vector<int> statuses) {
    platform.statuses = std::move(statuses);
    wire::Command command;
    command.mutable_log_format_raise()->set_format(
        static_cast<uint32_t>(LogFormat::kOrganisations));
    Propose(command);
    wire::FleetConfiguration& configuration =
        *command.mutable_configuration_put()->mutable_configuration();
    configuration.set_version(1);
    configuration.add_organisations()->set_name("hule930");
    Propose(command);
    clock.now = UsageWindowEnd(kFirst - 1, kWindow) - seconds(1);
    Restart("control-1");
  }

  // Another instance, or the same one again, leads from now on.
  void Restart(const std::string& name) {
    ++leadership.term;
    leadership.active = true;
    // Long ago, so that the lease and the gateways are not waited for.
    leadership.since = Clock::now() - seconds(100);
    DutySettings settings;
    settings.platform = platform.endpoint;
    settings.names = {"usage"};
    reporter.emplace(
        io, settings, name, DutyLeaseOptions{milliseconds(1), milliseconds(1)},
        clock,
        UsageReporter::Host{
            [this](TimePoint) { return leadership; },
            [this]() -> const FleetLedger& { return ledger; },
            [this](const wire::Command& command) { return Propose(command); }});
  }
  bool Propose(const wire::Command& command) {
    if (log_available) {
      wire::CommandResult result;
      ledger.Apply(command, &result);
    }
    return log_available;
  }
  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      reporter->Run(Clock::now());
      io.restart();
      io.run_one_for(milliseconds(20));
    }
  }
  // Ends the windows up to `window`, so that they are recorded and due.
  void EndWindow(uint64_t window) {
    clock.now = UsageWindowEnd(window, kWindow) + milliseconds(4100);
  }
  void Collect(const std::string& gateway, uint64_t window, uint64_t requests) {
    wire::UsageCounts counts;
    counts.set_instance(gateway);
    counts.mutable_window()->set_number(window);
    wire::OrganisationUsage& usage = *counts.mutable_window()->add_counts();
    usage.set_organisation("hule930");
    usage.set_requests(requests);
    reporter->Receive(counts);
  }
  std::string HeaderOf(size_t call, const std::string& name) const {
    return std::string(platform.calls[call].headers.Get(name));
  }

  boost::asio::io_context io;
  ManualWallClock clock;
  FleetLedger ledger;
  bool log_available = true;
  DutyLeadership leadership;
  Platform platform{io};
  std::optional<UsageReporter> reporter;
};

}  // namespace

// Guards against a report that the platform does not understand, and against
// windows without requests that are left out.
Test(usage_reporter, each_window_is_reported_once, .timeout = 60) {
  ReporterFixture fixture({});
  fixture.RunUntil([&] { return fixture.ledger.usage().next_window() != 0; });
  cr_assert_eq(fixture.ledger.usage().next_window(), kFirst);
  fixture.clock.now = UsageWindowEnd(kFirst, kWindow) + seconds(1);
  fixture.Collect("gateway-1", kFirst, 400);
  fixture.Collect("gateway-2", kFirst, 12);
  fixture.EndWindow(kFirst + 1);
  fixture.RunUntil([&] {
    return fixture.reporter->windows_reported() == 2 &&
           fixture.ledger.usage().windows().empty();
  });
  cr_assert_eq(fixture.platform.calls.size(), 2);
  const HttpRequest& call = fixture.platform.calls[0];
  cr_assert(call.method == "POST");
  cr_assert(call.path == "/usage");
  cr_assert(call.body ==
            R"({"window_number":353445120,"counts":{"hule930":412}})");
  cr_assert(fixture.HeaderOf(0, "Duty-Holder") == "control-1");
  cr_assert(fixture.HeaderOf(0, "Fencing-Token") == "1");
  cr_assert(fixture.platform.calls[1].body ==
            R"({"window_number":353445121,"counts":{}})");
}

// Guards against a report that is given up, or changed, after a failure.
Test(usage_reporter,
     a_report_that_failed_is_repeated_with_the_same_bytes,
     .timeout = 60) {
  ReporterFixture fixture({429, kSilent, 500, 429});
  fixture.RunUntil([&] { return fixture.ledger.usage().next_window() != 0; });
  fixture.clock.now = UsageWindowEnd(kFirst, kWindow);
  fixture.Collect("gateway-1", kFirst, 5);
  fixture.EndWindow(kFirst);
  fixture.RunUntil([&] {
    // More counts for the window arrive after its record.
    fixture.Collect("gateway-2", kFirst, fixture.platform.calls.size());
    return fixture.reporter->windows_reported() == 1;
  });
  cr_assert_eq(fixture.platform.calls.size(), 5);
  for (const HttpRequest& call : fixture.platform.calls) {
    cr_assert(call.body ==
              R"({"window_number":353445120,"counts":{"hule930":5}})");
  }
}

// Guards against a second call with a token that the platform has refused.
Test(usage_reporter, a_refused_token_is_not_used_again, .timeout = 60) {
  ReporterFixture fixture({409});
  fixture.RunUntil([&] { return fixture.ledger.usage().next_window() != 0; });
  fixture.EndWindow(kFirst);
  fixture.RunUntil([&] { return fixture.platform.calls.size() == 1; });
  fixture.log_available = false;
  fixture.RunUntil([&] { return !fixture.reporter->holds_duty(); });
  // Without a new token in the log, nothing is sent.
  for (int i = 0; i < 50; ++i) {
    fixture.reporter->Run(Clock::now());
    fixture.io.restart();
    fixture.io.run_one_for(milliseconds(10));
  }
  cr_assert_eq(fixture.platform.calls.size(), 1);
  fixture.log_available = true;
  fixture.RunUntil([&] { return fixture.reporter->windows_reported() == 1; });
  cr_assert(fixture.HeaderOf(0, "Fencing-Token") == "1");
  cr_assert(fixture.HeaderOf(1, "Fencing-Token") == "2");
}

// Guards against other counts in the report of a leader that takes over from
// one that died between the record and the report, or before it had an answer.
Test(usage_reporter, the_next_leader_reports_what_was_recorded, .timeout = 60) {
  ReporterFixture fixture({500});
  fixture.RunUntil([&] { return fixture.ledger.usage().next_window() != 0; });
  fixture.clock.now = UsageWindowEnd(kFirst, kWindow);
  fixture.Collect("gateway-1", kFirst, 5);
  fixture.EndWindow(kFirst);
  fixture.RunUntil([&] { return fixture.platform.calls.size() == 1; });
  // The call under way ends before its sender does.
  fixture.io.restart();
  fixture.io.run_for(milliseconds(100));

  FleetLedger restored;
  cr_assert(restored.Restore(fixture.ledger.Snapshot()));
  fixture.ledger = std::move(restored);
  fixture.Restart("control-2");
  fixture.Collect("gateway-1", kFirst, 6);
  fixture.RunUntil([&] { return fixture.reporter->windows_reported() == 1; });
  cr_assert(fixture.platform.calls.back().body ==
            R"({"window_number":353445120,"counts":{"hule930":5}})");
  cr_assert(fixture.HeaderOf(fixture.platform.calls.size() - 1,
                             "Duty-Holder") == "control-2");
  cr_assert(fixture.HeaderOf(fixture.platform.calls.size() - 1,
                             "Fencing-Token") == "2");
}

// Guards against calls of an instance that lost the lease of the leader.
Test(usage_reporter, nothing_is_sent_without_the_lease, .timeout = 60) {
  ReporterFixture fixture({});
  fixture.RunUntil([&] { return fixture.ledger.usage().next_window() != 0; });
  fixture.EndWindow(kFirst);
  // Records the window and starts a report, whose coroutine runs later.
  fixture.reporter->Run(Clock::now());
  cr_assert(!fixture.ledger.usage().windows().empty());
  fixture.leadership.active = false;
  for (int i = 0; i < 50; ++i) {
    fixture.reporter->Run(Clock::now());
    fixture.io.restart();
    fixture.io.run_one_for(milliseconds(10));
  }
  cr_assert(fixture.platform.calls.empty());
  fixture.leadership.active = true;
  fixture.RunUntil([&] { return fixture.platform.calls.size() == 1; });
}

}  // namespace limpethatch
