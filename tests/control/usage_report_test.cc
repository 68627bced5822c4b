#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "control/fleet_fixture.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/json_document.h"
#include "limpethatch/process/json_reader.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOrganisation = "hule930";
constexpr Duration kWindow = seconds(1);

struct Report {
  std::string holder;
  uint64_t token = 0;
  uint64_t window = 0;
  uint64_t requests = 0;
  std::string body;
};

Report DecodeReport(const HttpRequest& request) {
  Report report;
  report.holder = request.headers.Get("Duty-Holder");
  report.token = std::stoull(std::string(request.headers.Get("Fencing-Token")));
  report.body = request.body;
  JsonFaults faults;
  const JsonDocument document(request.body, faults);
  JsonReader reader(document, faults);
  reader.Read("window_number", &report.window, Presence::kRequired);
  if (auto counts = reader.Child("counts", Presence::kRequired)) {
    counts->Read(kOrganisation, &report.requests, Presence::kOptional);
  }
  return report;
}

// The platform, on a thread of its own. Acknowledges all reports.
class Platform {
 public:
  Platform() {
    if (server_.Listen(endpoint)) {
      std::abort();
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Platform() {
    io_.stop();
    thread_.join();
  }

  std::vector<Report> Reports() {
    const std::lock_guard lock(mutex_);
    return reports_;
  }
  // Waits until the window is reported.
  void WaitFor(uint64_t window) {
    while (Reports().empty() || Reports().back().window < window) {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  const Endpoint endpoint = FreeEndpoint();

 private:
  void Serve(HttpExchange& exchange) {
    {
      const std::lock_guard lock(mutex_);
      reports_.push_back(DecodeReport(exchange.request()));
    }
    HttpResponse response;
    response.status = 200;
    exchange.Respond(response);
  }

  boost::asio::io_context io_{1};
  HttpServer server_{io_, HttpServerLimits{},
                     [this](HttpExchange& exchange) { Serve(exchange); }};
  std::mutex mutex_;
  std::vector<Report> reports_;
  std::thread thread_;
};

// What counts requests in a gateway, on a thread of its own.
class CountingGateway {
 public:
  CountingGateway(const std::string& host, const std::vector<Endpoint>& group)
      : endpoint_{host, group[0].port},
        client_(io_, messenger_, MakeOptions(host, endpoint_, group)) {
    if (messenger_.Listen(endpoint_)) {
      std::abort();
    }
    sender_.SetWindowLength(kWindow);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~CountingGateway() {
    io_.stop();
    thread_.join();
    messenger_.StopReceiving();
  }

  // Counts a request that is sent now; returns its window.
  uint64_t Count() {
    const uint64_t window = *counter_.WindowAt(clock_.Now());
    boost::asio::post(io_,
                      [this, window] { counter_.Add(kOrganisation, window); });
    return window;
  }

 private:
  static ControlClientOptions MakeOptions(const std::string& host,
                                          const Endpoint& endpoint,
                                          const std::vector<Endpoint>& group) {
    ControlClientOptions options;
    options.instance = host;
    options.zone = "z";
    options.reply_to = endpoint;
    options.replicas = group;
    return options;
  }
  void OnMessage(std::string_view bytes) {
    wire::Envelope envelope;
    envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    client_.OnReply(envelope.reply());
  }

  const Endpoint endpoint_;
  boost::asio::io_context io_{1};
  TimerService timers_{io_};
  Messenger messenger_{io_, {}, [this](std::string_view bytes) {
                         OnMessage(bytes);
                       }};
  ControlClient client_;
  const SystemWallClock clock_;
  UsageCounter counter_;
  UsageSender sender_{io_, timers_, client_, counter_, clock_, "gateway"};
  std::thread thread_;
};

}  // namespace

// Guards against reports that get lost, change or name another holder for a
// token when the leader is killed.
Test(usage_report,
     windows_are_reported_across_a_change_of_leader,
     .timeout = 120) {
  Platform platform;
  DutySettings duties;
  duties.platform = platform.endpoint;
  duties.names = {"usage"};
  duties.usage_window = kWindow;
  FleetFixture fleet(duties);
  fleet.PutConfiguration(1, 1, {{kOrganisation, "key"}});
  CountingGateway gateway("127.0.0.5", fleet.group());
  std::map<uint64_t, uint64_t> counted;
  const auto count_for = [&](Duration time) {
    uint64_t window = 0;
    for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
      window = gateway.Count();
      ++counted[window];
      std::this_thread::sleep_for(milliseconds(10));
    }
    return window;
  };
  platform.WaitFor(count_for(seconds(2)));
  fleet.Leader().Stop();
  platform.WaitFor(count_for(seconds(3)));

  const std::vector<Report> reports = platform.Reports();
  std::map<uint64_t, std::string> bodies;
  std::map<uint64_t, std::string> holders;
  std::map<std::string, uint64_t> requests_by_holder;
  uint64_t last_token = 0;
  for (const Report& report : reports) {
    cr_assert(bodies.try_emplace(report.window, report.body).first->second ==
              report.body);
    cr_assert(holders.try_emplace(report.token, report.holder).first->second ==
              report.holder);
    cr_assert_geq(report.token, last_token);
    last_token = report.token;
    cr_assert_leq(report.requests, counted[report.window]);
    requests_by_holder[report.holder] += report.requests;
  }
  // No window is left out.
  cr_assert_eq(bodies.rbegin()->first - bodies.begin()->first + 1,
               bodies.size());
  cr_assert_geq(requests_by_holder.size(), 2);
  for (const auto& [holder, requests] : requests_by_holder) {
    cr_assert_gt(requests, 0, "%s", holder.c_str());
  }
}

}  // namespace limpethatch
