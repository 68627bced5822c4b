#include "programs/gateway/gateway.h"

#include <unistd.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "connection/endless_server.h"
#include "connection/free_endpoint.h"
#include "envelope.pb.h"
#include "limpethatch/request/organisations/key_digest.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kAttemptId = "9c41d07be2a35f68";

// Sends raw bytes on a new connection and returns the bytes of the first read;
// empty on an error.
std::string Exchange(const Endpoint& to, const std::string& bytes) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address_v4(to.host), to.port}, error);
  if (error) {
    return "";
  }
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  std::string answer(64UL * 1024, '\0');
  const size_t size = socket.read_some(boost::asio::buffer(answer), error);
  answer.resize(error ? 0 : size);
  return answer;
}

std::string Post(const std::string& path,
                 const std::string& extra_headers = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "Request-Attempt-Id: " + kAttemptId + "\r\nDeadline-Ms: 2000\r\n" +
         extra_headers + "Content-Length: 4\r\n\r\nbody";
}

std::string StatusOf(const std::string& answer) {
  return answer.size() < 12 ? "" : answer.substr(9, 3);
}

// A control instance that answers each watch request with one configuration and
// the targets added to it. As the leader it grants or denies permits.
class FakeControl {
 public:
  explicit FakeControl(const Endpoint& endpoint)
      : endpoint_(endpoint), messenger_({}, [this](std::string_view bytes) {
          wire::Envelope envelope;
          if (!envelope.ParseFromArray(bytes.data(),
                                       static_cast<int>(bytes.size()))) {
            return;
          }
          if (envelope.has_watch()) {
            Answer(envelope.watch());
          } else if (envelope.has_request()) {
            Answer(envelope.request());
          }
        }) {}

  void Start() { cr_assert(!messenger_.Listen(endpoint_)); }
  void AddTarget(const std::string& id,
                 const Endpoint& address,
                 const std::string& software_version = "v1") {
    wire::TargetRecord& target = *news_.add_targets();
    target.set_id(id);
    target.set_service("desk");
    target.set_address(address.ToString());
    target.set_zone("z");
    target.set_slots(6);
    target.set_born_ms(1);
    target.set_software_version(software_version);
  }
  void AddRelay(const Endpoint& address) {
    wire::RelayGateway& relay = *news_.mutable_relays()->add_gateways();
    relay.set_address(address.ToString());
    relay.set_zone("z");
  }
  // With organisations, requests need a key, except on "/p/".
  void AddOrganisation(const std::string& name, const std::string& key) {
    wire::Organisation& organisation = organisations_.emplace_back();
    organisation.set_name(name);
    organisation.add_key_digests(EncodeKeyDigest(DigestOfKey(key)));
  }
  // Call it only while no gateway runs.
  void MarkGone(const std::string& id) {
    for (wire::TargetRecord& target : *news_.mutable_targets()) {
      if (target.id() == id) {
        target.set_gone(true);
      }
    }
  }
  std::atomic<bool> has_quorum_contact{true};
  // Whether it names two more control instances, which do not exist.
  std::atomic<bool> has_peers{false};
  // Whether it follows a leader.
  std::atomic<bool> has_leader{true};
  std::atomic<bool> grants_permits{true};
  std::atomic<int> permits_requested{0};
  std::atomic<bool> grants_hedges{true};
  std::atomic<int> hedges_requested{0};
  std::atomic<size_t> streams_recorded{0};
  std::atomic<int> leaving_reports{0};

 private:
  void Answer(const wire::ControlRequest& request) {
    wire::Envelope envelope;
    wire::ControlReply& reply = *envelope.mutable_reply();
    reply.set_id(request.id());
    reply.set_outcome(wire::ControlReply::OK);
    if (request.has_target_permit()) {
      ++permits_requested;
      reply.mutable_target_permit()->set_granted(grants_permits);
      reply.mutable_target_permit()->set_wait_ms(grants_permits ? 0 : 2500);
    }
    if (request.has_hedge_permit()) {
      ++hedges_requested;
      reply.mutable_hedge_permit()->set_granted(grants_hedges);
    }
    leaving_reports += request.has_target_leaving() ? 1 : 0;
    if (request.has_stream_begun()) {
      stream_origins_[request.stream_begun().attempt()] =
          request.stream_begun().software_version();
      streams_recorded = stream_origins_.size();
    }
    if (request.has_stream_origin()) {
      const auto found =
          stream_origins_.find(request.stream_origin().attempt());
      reply.mutable_stream_origin()->set_known(found != stream_origins_.end());
      if (found != stream_origins_.end()) {
        reply.mutable_stream_origin()->set_software_version(found->second);
      }
    }
    Endpoint to;
    ParseEndpoint(request.reply_to(), &to);
    messenger_.Send(to, envelope.SerializeAsString());
  }

  void Answer(const wire::Watch& watch) {
    wire::Envelope envelope;
    wire::FleetNews& news = *envelope.mutable_fleet_news();
    news = news_;
    news.set_from(endpoint_.ToString());
    news.set_quorum_contact(has_quorum_contact);
    news.set_epoch(1);
    news.set_revision(7);
    news.set_state_age_ms(0);
    if (has_leader) {
      news.set_leader("127.0.0.9:1");
    }
    news.add_control_endpoints(endpoint_.ToString());
    if (has_peers) {
      news.add_control_endpoints(
          Endpoint{"127.0.0.3", endpoint_.port}.ToString());
      news.add_control_endpoints(
          Endpoint{"127.0.0.4", endpoint_.port}.ToString());
    }
    wire::FleetConfiguration& configuration = *news.mutable_configuration();
    configuration.set_version(3);
    wire::ServiceDeclaration& service = *configuration.add_services();
    service.set_name("desk");
    service.set_health_path("/health");
    wire::Route& route = *configuration.add_routes();
    route.set_name("lookup");
    route.set_host("shop.example");
    route.set_path_prefix("/l/");
    route.set_kind(wire::ROUTE_IDEMPOTENT);
    route.set_max_attempts(2);
    route.set_timeout_ms(1500);
    wire::WeightedService& weighted_service = *route.add_services();
    weighted_service.set_service("desk");
    weighted_service.set_weight(1);
    wire::Route& stream = *configuration.add_routes();
    stream = route;
    stream.set_name("stream");
    stream.set_path_prefix("/s/");
    stream.set_kind(wire::ROUTE_STREAM);
    stream.set_resumable(true);
    wire::Route& order = *configuration.add_routes();
    order = route;
    order.set_name("order");
    order.set_path_prefix("/o/");
    order.set_kind(wire::ROUTE_NON_IDEMPOTENT);
    wire::Route& slow = *configuration.add_routes();
    slow = route;
    slow.set_name("slow");
    slow.set_path_prefix("/slow/");
    slow.set_timeout_ms(600'000);
    wire::Route& open = *configuration.add_routes();
    open = route;
    open.set_name("open");
    open.set_path_prefix("/p/");
    open.set_public_access(true);
    configuration.set_keys_required(!organisations_.empty());
    configuration.mutable_organisations()->Add(organisations_.begin(),
                                               organisations_.end());
    configuration.mutable_limits()->set_max_header_bytes(2048);
    configuration.mutable_limits()->set_max_body_bytes(100);
    Endpoint to;
    ParseEndpoint(watch.reply_to(), &to);
    messenger_.Send(to, envelope.SerializeAsString());
  }

  const Endpoint endpoint_;
  wire::FleetNews news_;
  std::vector<wire::Organisation> organisations_;
  std::map<std::string, std::string> stream_origins_;  // Messenger's thread.
  Messenger messenger_;
};

// A target whose server runs on its own thread.
class FakeTarget {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit FakeTarget(Handler handler)
      : endpoint_(FreeEndpoint()),
        handler_(std::move(handler)),
        server_(io_, HttpServerLimits{}, [this](HttpExchange& exchange) {
          ++calls;
          exchange.Respond(handler_(exchange.request()));
        }) {
    cr_assert(!server_.Listen(endpoint_));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~FakeTarget() {
    io_.stop();
    thread_.join();
  }

  const Endpoint& endpoint() const { return endpoint_; }
  std::atomic<int> calls{0};

 private:
  boost::asio::io_context io_;
  const Endpoint endpoint_;
  const Handler handler_;
  HttpServer server_;
  std::thread thread_;
};

HttpResponse SignedAnswer(const HttpRequest& request, const std::string& id) {
  HttpResponse response;
  response.headers.Set("Request-Attempt-Id", id);
  response.headers.Set("Server-Stamp", "stamp");
  response.body = "for " + std::string(request.headers.Get("Expect-Instance")) +
                  " " + request.body;
  return response;
}

// A gateway that runs on its own thread, and the control instance to which it
// subscribes.
class GatewayFixture {
 public:
  GatewayFixture() {
    settings.process.id = "gateway";
    settings.process.zone = "z";
    settings.callers = FreeEndpoint();
    settings.readiness = FreeEndpoint();
    settings.peers = FreeEndpoint();
    settings.relay = FreeEndpoint();
    settings.metrics = FreeEndpoint();
    // Only the host of a seed is used. The control instance listens on the
    // gateway's own port at another loopback address.
    settings.seeds = {{"127.0.0.2", 1}};
    settings.accept_time = milliseconds(100);
    settings.stop_time = seconds(2);
    control = std::make_unique<FakeControl>(
        Endpoint{"127.0.0.2", settings.peers.port});
  }
  ~GatewayFixture() {
    if (thread_.joinable()) {
      raise(SIGTERM);
      thread_.join();
    }
  }

  void Start() {
    gateway_ = std::make_unique<Gateway>(settings, "none");
    cr_assert(!gateway_->Start());
    thread_ = std::thread([this] { gateway_->Run(); });
  }
  // Waits until the gateway has stopped, and closes what it left open, as the
  // end of its process does.
  void WaitUntilStopped() {
    thread_.join();
    gateway_.reset();
  }
  bool Ready() const {
    const std::string answer = Exchange(
        settings.readiness, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    return StatusOf(answer) == "200";
  }
  bool WaitUntilReady(bool ready) const {
    for (int i = 0; i < 500 && Ready() != ready; ++i) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    return Ready() == ready;
  }
  std::string Call(const std::string& bytes) const {
    return Exchange(settings.callers, bytes);
  }

  GatewaySettings settings;
  std::unique_ptr<FakeControl> control;

 private:
  std::unique_ptr<Gateway> gateway_;
  std::thread thread_;
};

}  // namespace

Test(gateway,
     without_a_configuration_it_is_not_ready_and_refuses_with_retry_after) {
  GatewayFixture fixture;
  fixture.Start();
  cr_assert(!fixture.Ready());
  const std::string answer = fixture.Call(Post("/l/x"));
  cr_assert(StatusOf(answer) == "503", "%s", answer.c_str());
  cr_assert(answer.find("Retry-After") != std::string::npos);
}

Test(gateway,
     a_request_reaches_its_target_and_the_answer_comes_back_unchanged) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string answer = fixture.Call(Post("/l/x"));
  cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
  cr_assert(answer.find("Server-Stamp: stamp") != std::string::npos);
  cr_assert(answer.find("for i-1 body") != std::string::npos);
  cr_assert(StatusOf(fixture.Call(Post("/other/x"))) == "404");
}

Test(gateway, an_answer_of_another_request_never_reaches_the_caller) {
  FakeTarget mismatching_target([](const HttpRequest& request) {
    return SignedAnswer(request, "another");
  });
  FakeTarget matching_target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", mismatching_target.endpoint());
  fixture.control->AddTarget("i-2", matching_target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  for (int i = 0; i < 10; ++i) {
    const std::string answer = fixture.Call(Post("/l/x"));
    cr_assert(answer.find("for i-2 body") != std::string::npos, "%s",
              answer.c_str());
  }
}

Test(gateway, a_refusal_by_every_target_is_answered_503_with_retry_after) {
  FakeTarget refusing_target([](const HttpRequest&) {
    HttpResponse response;
    response.status = 503;
    response.headers.Set("Not-Run", "1");
    return response;
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", refusing_target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string answer = fixture.Call(Post("/l/x"));
  cr_assert(StatusOf(answer) == "503");
  cr_assert(answer.find("Retry-After") != std::string::npos);
  cr_assert(answer.find("targets_full") != std::string::npos);
}

Test(gateway, malformed_requests_are_rejected_and_the_gateway_keeps_serving) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string large_header =
      Post("/l/x", "X-Long: " + std::string(5000, 'x') + "\r\n");
  cr_assert(StatusOf(fixture.Call(large_header)) == "431");
  const std::string large_body =
      "POST /l/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: "
      "101\r\n\r\n" +
      std::string(101, 'x');
  cr_assert(StatusOf(fixture.Call(large_body)) == "413");
  const std::string two_lengths =
      "POST /l/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
      "Content-Length: 5\r\n\r\nbody";
  cr_assert(StatusOf(fixture.Call(two_lengths)) == "400");
  const std::string length_and_chunks =
      "POST /l/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  cr_assert(StatusOf(fixture.Call(length_and_chunks)) == "400");
  cr_assert(StatusOf(fixture.Call("\x16\x03\x01\x02\x00 nonsense\r\n\r\n")) ==
            "400");
  cr_assert(target.calls == 0);
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
}

Test(gateway, cut_off_with_one_control_instance_it_is_not_ready_but_serves) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->has_peers = true;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  fixture.control->has_quorum_contact = false;
  cr_assert(fixture.WaitUntilReady(false));
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200",
            "requests are still served without quorum contact");
  fixture.control->has_quorum_contact = true;
  cr_assert(fixture.WaitUntilReady(true));
}

Test(gateway, without_quorum_contact_it_is_not_ready_but_keeps_serving) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->has_leader = false;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  fixture.control->has_quorum_contact = false;
  cr_assert(fixture.WaitUntilReady(false));
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200",
            "requests are still served without quorum contact");
  fixture.control->has_quorum_contact = true;
  cr_assert(fixture.WaitUntilReady(true));
}

// A gateway ran requests by routes that a newer configuration had moved, while
// the control instances told it that they could not confirm its own.
Test(gateway, a_route_that_no_control_instance_can_confirm_is_not_used) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
  fixture.control->has_quorum_contact = false;
  std::string answer;
  for (int i = 0; i < 500 && StatusOf(answer) != "503"; ++i) {
    std::this_thread::sleep_for(milliseconds(20));
    answer = fixture.Call(Post("/l/x"));
  }
  cr_assert(StatusOf(answer) == "503", "%s", answer.c_str());
  cr_assert(answer.find("Retry-After") != std::string::npos);
  fixture.control->has_quorum_contact = true;
  cr_assert(fixture.WaitUntilReady(true));
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
}

// A gateway whose copy was old answered 404 for routes that had been added.
Test(gateway, without_quorum_contact_it_does_not_claim_that_a_route_is_absent) {
  GatewayFixture fixture;
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  cr_assert(StatusOf(fixture.Call(Post("/other/x"))) == "404");
  fixture.control->has_quorum_contact = false;
  cr_assert(fixture.WaitUntilReady(false));
  const std::string answer = fixture.Call(Post("/other/x"));
  cr_assert(StatusOf(answer) == "503", "%s", answer.c_str());
  cr_assert(answer.find("Retry-After") != std::string::npos);
  fixture.control->has_quorum_contact = true;
  cr_assert(fixture.WaitUntilReady(true));
  cr_assert(StatusOf(fixture.Call(Post("/other/x"))) == "404");
}

// Targets that had stated a rate limit got several times as many requests.
Test(gateway, a_target_with_a_rate_limit_gets_a_request_only_with_a_permit) {
  std::atomic<bool> limited = true;
  FakeTarget target([&](const HttpRequest& request) {
    HttpResponse response = SignedAnswer(request, kAttemptId);
    if (limited) {
      response.headers.Set("Server-Limit", "2.5");
    }
    return response;
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string first = fixture.Call(Post("/l/x"));
  cr_assert(StatusOf(first) == "200");
  cr_assert(first.find("Server-Limit: 2.5") != std::string::npos);
  cr_assert_eq(fixture.control->permits_requested, 0);

  fixture.control->grants_permits = false;
  const std::string denied = fixture.Call(Post("/l/x"));
  cr_assert(StatusOf(denied) == "503", "%s", denied.c_str());
  cr_assert(denied.find("Retry-After: 2.500") != std::string::npos);
  cr_assert(denied.find("rate_limit") != std::string::npos);
  cr_assert_eq(target.calls, 1);

  fixture.control->grants_permits = true;
  limited = false;
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
  cr_assert_eq(fixture.control->permits_requested, 2);
  cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
  cr_assert_eq(fixture.control->permits_requested, 2,
               "the last answer stated no limit");
}

Test(gateway, a_target_without_a_rate_limit_serves_if_a_permit_is_denied) {
  FakeTarget limited([](const HttpRequest& request) {
    HttpResponse response = SignedAnswer(request, kAttemptId);
    response.headers.Set("Server-Limit", "0.5");
    return response;
  });
  FakeTarget unlimited([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", limited.endpoint());
  fixture.control->AddTarget("i-2", unlimited.endpoint());
  fixture.control->grants_permits = false;
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  for (int i = 0; i < 40; ++i) {
    cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
  }
  cr_assert_leq(limited.calls, 1);
}

namespace {

// Two targets, which can be stalled for the next requests.
class HedgedFixture {
 public:
  explicit HedgedFixture(std::optional<HedgingSettings> hedging) {
    fixture.settings.hedging = hedging;
    fixture.control->AddTarget("i-1", first_.endpoint());
    fixture.control->AddTarget("i-2", second_.endpoint());
    fixture.control->Start();
    fixture.Start();
    cr_assert(fixture.WaitUntilReady(true));
  }
  ~HedgedFixture() { Release(); }

  // Enough answers for a hedge delay.
  void WarmUp() const {
    for (size_t i = 0; i < HedgeDelay::kMinSamples + 16; ++i) {
      cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
    }
  }
  void StallNext(int requests = 1) { stalls_left_ = requests; }
  void Release() { released_ = true; }
  int stalled() const { return stalled_; }
  int calls() const { return first_.calls + second_.calls; }
  std::string Metrics() const {
    return Exchange(fixture.settings.metrics,
                    "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  GatewayFixture fixture;

 private:
  HttpResponse Answer(const HttpRequest& request) {
    if (stalls_left_-- > 0) {
      ++stalled_;
      while (!released_) {
        std::this_thread::sleep_for(milliseconds(2));
      }
    }
    return SignedAnswer(request, kAttemptId);
  }

  std::atomic<int> stalls_left_{0};
  std::atomic<int> stalled_{0};
  std::atomic<bool> released_{false};
  FakeTarget first_{
      [this](const HttpRequest& request) { return Answer(request); }};
  FakeTarget second_{
      [this](const HttpRequest& request) { return Answer(request); }};
};

}  // namespace

// Guards against a change for deployments that do not set a limit.
Test(gateway, without_the_setting_hedges_need_no_permit) {
  HedgedFixture hedged(std::nullopt);
  hedged.WarmUp();
  hedged.StallNext();
  cr_assert(StatusOf(hedged.fixture.Call(Post("/l/x"))) == "200",
            "the request was not hedged");
  cr_assert_eq(hedged.stalled(), 1);
  cr_assert_eq(hedged.fixture.control->hedges_requested, 0);
  cr_assert(hedged.Metrics().find("limpethatch_hedge_permits") ==
            std::string::npos);
}

Test(gateway, a_late_request_is_hedged_with_a_permit) {
  HedgedFixture hedged(HedgingSettings{.extra_work = 0.02});
  hedged.WarmUp();
  hedged.StallNext();
  cr_assert(StatusOf(hedged.fixture.Call(Post("/l/x"))) == "200",
            "the request was not hedged: %s", hedged.Metrics().c_str());
  cr_assert_eq(hedged.stalled(), 1);
  cr_assert(hedged.fixture.control->hedges_requested > 0);
  cr_assert(hedged.Metrics().find("limpethatch_hedges_won_total 0\n") ==
            std::string::npos);
}

Test(gateway, a_denied_hedge_is_not_sent) {
  HedgedFixture hedged(HedgingSettings{.extra_work = 0.02});
  hedged.fixture.control->grants_hedges = false;
  hedged.WarmUp();
  const int calls_before = hedged.calls();
  const int asked_before = hedged.fixture.control->hedges_requested;
  hedged.StallNext();
  std::thread release([&] {
    // Denied twice, so that the first denial did not end the asking.
    while (hedged.fixture.control->hedges_requested < asked_before + 2) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    hedged.Release();
  });
  const std::string answer = hedged.fixture.Call(Post("/l/x"));
  release.join();
  cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
  cr_assert_eq(hedged.calls(), calls_before + 1);
  cr_assert(hedged.Metrics().find("limpethatch_hedges_total 0\n") !=
            std::string::npos);
}

// A limit of 0 and a route that may not be repeated: the answer of the stalled
// target is the only one.
Test(gateway, a_hard_stop_and_orders_are_never_hedged) {
  for (const bool is_order : {false, true}) {
    HedgedFixture hedged(HedgingSettings{.extra_work = is_order ? 0.2 : 0});
    hedged.WarmUp();
    const int calls_before = hedged.calls();
    const int asked_before = hedged.fixture.control->hedges_requested;
    hedged.StallNext();
    std::thread release([&] {
      while (hedged.stalled() == 0) {
        std::this_thread::sleep_for(milliseconds(2));
      }
      // Longer than the hedge delay without the setting.
      std::this_thread::sleep_for(milliseconds(200));
      hedged.Release();
    });
    const std::string answer =
        hedged.fixture.Call(Post(is_order ? "/o/x" : "/l/x"));
    release.join();
    cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
    cr_assert_eq(hedged.calls(), calls_before + 1);
    cr_assert_eq(hedged.fixture.control->hedges_requested, asked_before);
  }
}

namespace {

std::string AskWhere(const GatewayFixture& fixture, const std::string& query) {
  return Exchange(fixture.settings.metrics,
                  "POST /where HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                      std::to_string(query.size()) + "\r\n\r\n" + query);
}

}  // namespace

// Guards against an explanation that sends the request, or that differs from
// what happens to it.
Test(gateway, where_names_the_candidates_and_the_choice_without_a_call) {
  HedgedFixture hedged(HedgingSettings{.extra_work = 0.02});
  hedged.WarmUp();
  const int calls = hedged.calls();
  const std::string answer =
      AskWhere(hedged.fixture,
               R"({"host":"shop.example","path":"/l/x","body_bytes":4})");
  cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
  for (const char* part :
       {R"("instance":"gateway")", R"("quorum_contact_age_ms":)",
        R"("configuration_version":3)", R"("configuration_current":true)",
        R"("route":"lookup")", R"("service":"desk")", R"("target":"i-1")",
        R"("target":"i-2")", R"("excluded_by":[])", R"("choice":"i-)",
        R"("delay_ms":)", R"("possible":true)"}) {
    cr_assert(answer.find(part) != std::string::npos, "%s in %s", part,
              answer.c_str());
  }
  cr_assert(answer.find("refused") == std::string::npos);
  cr_assert_eq(hedged.calls(), calls);
}

Test(gateway, where_says_why_a_request_would_be_refused) {
  HedgedFixture hedged(HedgingSettings{.extra_work = 0});
  const auto ask = [&](const std::string& query) {
    return AskWhere(hedged.fixture, query);
  };
  cr_assert(ask(R"({"host":"shop.example","path":"/other"})")
                .find(R"("refused":"no_route")") != std::string::npos);
  cr_assert(ask(R"({"host":"shop.example","path":"/l/x","body_bytes":101})")
                .find(R"("refused":"body_too_large")") != std::string::npos);
  cr_assert(ask(R"({"host":"shop.example","path":"/l/x"})")
                    .find(R"("possible":false)") != std::string::npos,
            "a hard stop still hedges");
  cr_assert(StatusOf(ask("{")) == "400");
  cr_assert(StatusOf(ask(R"({"host":"shop.example"})")) == "400");
}

// Guards against two answers to one caller, and against an attempt that its
// winner leaves open.
Test(gateway, attempts_that_are_answered_at_once_give_the_caller_one_answer) {
  HedgedFixture hedged(HedgingSettings{.extra_work = 0.02});
  hedged.WarmUp();
  hedged.StallNext(2);
  std::thread release([&] {
    while (hedged.stalled() < 2) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    hedged.Release();
  });
  const std::string answer = hedged.fixture.Call(Post("/l/x"));
  release.join();
  cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
  cr_assert(answer.find("HTTP/1.1", 1) == std::string::npos);
  hedged.WarmUp();
}

namespace {

// Two gateways of one control instance, which are stopped and started together.
class GatewayPair {
 public:
  GatewayPair(FakeControl& control, const GatewaySettings& common)
      : control_(control) {
    for (int i = 0; i < 2; ++i) {
      GatewaySettings& settings = settings_.emplace_back(common);
      settings.process.id = "gateway-" + std::to_string(i);
      settings.peers.host = "127.0.0." + std::to_string(11 + i);
      settings.callers = FreeEndpoint();
      settings.readiness = FreeEndpoint();
      settings.relay = FreeEndpoint();
      settings.metrics = FreeEndpoint();
    }
  }
  ~GatewayPair() { Stop(); }

  // Starts both, without any memory of earlier ones, and waits until they are
  // ready.
  void Start() {
    for (const GatewaySettings& settings : settings_) {
      Gateway& gateway =
          *gateways_.emplace_back(std::make_unique<Gateway>(settings, "none"));
      cr_assert(!gateway.Start());
      threads_.emplace_back([&gateway] { gateway.Run(); });
    }
    for (const GatewaySettings& settings : settings_) {
      std::string answer;
      for (int i = 0; i < 500 && StatusOf(answer) != "200"; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        answer = Exchange(settings.readiness,
                          "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      }
      cr_assert(StatusOf(answer) == "200");
    }
  }
  void Stop() {
    if (gateways_.empty()) {
      return;
    }
    raise(SIGTERM);
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
    gateways_.clear();
  }
  void WaitUntilRecorded(size_t streams) const {
    for (int i = 0; i < 500 && control_.streams_recorded < streams; ++i) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    cr_assert_eq(control_.streams_recorded, streams);
  }
  // Asks one of them for a stream, or for the rest of the one that the attempt
  // `resumes` began.
  std::string Call(int gateway,
                   const std::string& attempt,
                   const std::string& resumes = "") const {
    const std::string resumption =
        resumes.empty() ? ""
                        : "Last-Event-Id: 3\r\nResumes: " + resumes + "\r\n";
    return Exchange(settings_[static_cast<size_t>(gateway)].callers,
                    "POST /s/x HTTP/1.1\r\nHost: shop.example\r\n"
                    "Request-Attempt-Id: " +
                        attempt + "\r\nDeadline-Ms: 2000\r\n" + resumption +
                        "Content-Length: 4\r\n\r\nbody");
  }

 private:
  FakeControl& control_;
  std::vector<GatewaySettings> settings_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<std::thread> threads_;
};

// The software version that the body of an answer names.
std::string VersionOf(const std::string& answer) {
  return answer.find("by v1") != std::string::npos   ? "v1"
         : answer.find("by v2") != std::string::npos ? "v2"
                                                     : "";
}

FakeTarget::Handler AnswerAs(const std::string& version) {
  return [version](const HttpRequest& request) {
    HttpResponse response = SignedAnswer(
        request, std::string(request.headers.Get("Request-Attempt-Id")));
    response.body = "by " + version;
    return response;
  };
}

}  // namespace

// All gateways were killed while streams ran, and clients took them up: streams
// were joined from two software versions, or refused although theirs still
// served.
Test(gateway, streams_go_on_at_their_software_after_all_gateways_were_killed) {
  constexpr int kStreams = 24;
  FakeTarget old_target(AnswerAs("v1"));
  FakeTarget new_target(AnswerAs("v2"));
  GatewayFixture fixture;
  fixture.control->AddTarget("i-old", old_target.endpoint(), "v1");
  fixture.control->AddTarget("i-new", new_target.endpoint(), "v2");
  fixture.control->Start();
  GatewayPair gateways(*fixture.control, fixture.settings);
  gateways.Start();
  std::map<std::string, std::string> begun_by;
  for (int i = 0; i < kStreams; ++i) {
    const std::string attempt = "begun-" + std::to_string(i);
    begun_by[attempt] = VersionOf(gateways.Call(i % 2, attempt));
    cr_assert_not(begun_by[attempt].empty());
  }
  cr_assert(old_target.calls > 0 && new_target.calls > 0);
  gateways.WaitUntilRecorded(kStreams);

  gateways.Stop();
  gateways.Start();
  int gateway = 1;
  for (const auto& [attempt, version] : begun_by) {
    gateway = 1 - gateway;
    const std::string answer =
        gateways.Call(gateway, "second-" + attempt, attempt);
    cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
    cr_assert(VersionOf(answer) == version, "%s", answer.c_str());
  }

  gateways.Stop();
  fixture.control->MarkGone("i-old");
  gateways.Start();
  for (const auto& [attempt, version] : begun_by) {
    gateway = 1 - gateway;
    const std::string answer =
        gateways.Call(gateway, "third-" + attempt, attempt);
    const bool is_served = version == "v2";
    cr_assert(StatusOf(answer) == (is_served ? "200" : "503"), "%s",
              answer.c_str());
    cr_assert(VersionOf(answer) == (is_served ? "v2" : ""));
  }
}

// A take-up of a stream whose beginning nobody knows was passed on to any
// target.
Test(gateway, a_stream_is_only_continued_by_the_software_that_began_it) {
  const auto answer = [](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  };
  FakeTarget old_target(answer);
  FakeTarget new_target(answer);
  GatewayFixture fixture;
  fixture.control->AddTarget("i-old", old_target.endpoint(), "v1");
  fixture.control->AddTarget("i-new", new_target.endpoint(), "v2");
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));

  const std::string unknown = fixture.Call(
      Post("/s/x", "Last-Event-Id: 3\r\nResumes: 0123456789abcdef\r\n"));
  cr_assert(StatusOf(unknown) == "503", "%s", unknown.c_str());
  cr_assert(unknown.find("unknown_software_version") != std::string::npos);
  cr_assert_eq(old_target.calls + new_target.calls, 0);

  cr_assert(StatusOf(fixture.Call(Post("/s/x"))) == "200");
  const int new_calls = new_target.calls;
  const int old_calls = old_target.calls;
  cr_assert_eq(new_calls + old_calls, 1);
  for (int i = 1; i <= 10; ++i) {
    cr_assert(StatusOf(fixture.Call(
                  Post("/s/x", std::string("Last-Event-Id: 3\r\nResumes: ") +
                                   kAttemptId + "\r\n"))) == "200");
  }
  cr_assert_eq(new_target.calls, 11 * new_calls);
  cr_assert_eq(old_target.calls, 11 * old_calls);
}

// A gateway that was out of step with control did not know of targets of a new
// software version, and continued streams that these had begun elsewhere.
Test(gateway,
     one_that_is_out_of_step_does_not_guess_who_began_a_stream,
     .timeout = 30) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-old", target.endpoint(), "v1");
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string resumption =
      Post("/s/x", "Last-Event-Id: 3\r\nResumes: 0123456789abcdef\r\n");
  cr_assert(StatusOf(fixture.Call(resumption)) == "200");
  int answered = target.calls;
  fixture.control->has_quorum_contact = false;
  std::string answer;
  for (int i = 0; i < 200 && StatusOf(answer) != "503"; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
    answer = fixture.Call(resumption);
    answered += StatusOf(answer) == "200" ? 1 : 0;
  }
  cr_assert(StatusOf(answer) == "503", "%s", answer.c_str());
  cr_assert(answer.find("unknown_software_version") != std::string::npos);
  // What it refuses does not reach the target.
  cr_assert_eq(target.calls, answered);
}

// An answer without an end filled the memory of the gateway until the deadline.
Test(gateway, an_endless_answer_is_cut_off_and_the_gateway_keeps_serving) {
  constexpr size_t kCutOffAndSocketBuffers = 24UL * 1024 * 1024;
  EndlessServer endless(std::string("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: ") +
                            kAttemptId + "\r\nServer-Stamp: s\r\n\r\n",
                        "x");
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", endless.endpoint());
  fixture.control->AddTarget("i-2", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  for (int i = 0; i < 4; ++i) {
    const size_t before = endless.bytes_sent();
    cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
    cr_assert_lt(endless.bytes_sent() - before, kCutOffAndSocketBuffers);
  }
}

namespace {

// Two gateways. Control tells the first one addresses of the targets at which
// nothing listens, as if it were cut off from them, and the second one theirs.
class CutOffFixture {
 public:
  explicit CutOffFixture(const Endpoint& target) {
    for (const char* id : {"i-1", "i-2"}) {
      cut_off.control->AddTarget(id, FreeEndpoint());
      other.control->AddTarget(id, target);
    }
    cut_off.control->AddRelay(other.settings.relay);
    other.control->AddRelay(cut_off.settings.relay);
  }
  void Start() {
    for (GatewayFixture* side : {&cut_off, &other}) {
      side->control->Start();
      side->Start();
      cr_assert(side->WaitUntilReady(true));
    }
  }
  // The value of a counter of the gateway that is not cut off.
  std::string CallsForGateways() const {
    const std::string text = Exchange(
        other.settings.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string name = "\nlimpethatch_calls_for_gateways_total ";
    const size_t start = text.find(name) + name.size();
    return text.substr(start, text.find('\n', start) - start);
  }

  GatewayFixture cut_off;
  GatewayFixture other;
};

}  // namespace

// Callers of gateways that could reach no target were refused, while other
// gateways could reach them.
Test(gateway, one_that_reaches_no_target_hands_requests_to_another) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  CutOffFixture fixture(target.endpoint());
  fixture.Start();
  for (const char* path : {"/l/x", "/o/x", "/l/y"}) {
    const std::string answer = fixture.cut_off.Call(Post(path));
    cr_assert(StatusOf(answer) == "200", "%s", answer.c_str());
    cr_assert(answer.find("Server-Stamp: stamp") != std::string::npos);
    cr_assert(answer.find(" body") != std::string::npos);
    cr_assert(answer.find("Relay-") == std::string::npos, "%s", answer.c_str());
  }
  cr_assert_eq(target.calls, 3, "%d runs of 3 requests", target.calls.load());
}

// Guards against a second run of what must run once, and against a loop: a
// relay whose target fails does not hand the request on.
Test(gateway, a_relayed_request_that_may_have_run_is_not_repeated) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, "another");
  });
  CutOffFixture fixture(target.endpoint());
  fixture.Start();
  const std::string answer = fixture.cut_off.Call(Post("/o/x"));
  cr_assert(StatusOf(answer) == "502", "%s", answer.c_str());
  cr_assert(answer.find("Relay-") == std::string::npos);
  cr_assert_eq(target.calls, 1);
}

Test(gateway, two_that_reach_no_target_refuse_instead_of_handing_on_for_ever) {
  CutOffFixture fixture(FreeEndpoint());
  fixture.Start();
  for (int i = 0; i < 3; ++i) {
    const std::string answer = fixture.cut_off.Call(Post("/o/x"));
    cr_assert(StatusOf(answer) == "503", "%s", answer.c_str());
    cr_assert(answer.find("Retry-After") != std::string::npos);
  }
  cr_assert(fixture.CallsForGateways() <= "3", "%s",
            fixture.CallsForGateways().c_str());
}

// A target that answers with what it was told of the client.
HttpResponse IdentityAnswer(const HttpRequest& request) {
  HttpResponse response = SignedAnswer(request, kAttemptId);
  response.body = "tenant=" + std::string(request.headers.Get("Tenant")) +
                  " key=" + std::string(request.headers.Get("X-Api-Key")) + ".";
  return response;
}

// Guards against targets that learn a key or believe a client, directly and by
// way of another gateway, and against requests that lose their organisation
// there.
Test(gateway, targets_are_told_the_organisation_of_the_key) {
  FakeTarget target(IdentityAnswer);
  CutOffFixture fixture(target.endpoint());
  for (GatewayFixture* side : {&fixture.cut_off, &fixture.other}) {
    side->control->AddOrganisation("hule930", "k1");
  }
  fixture.Start();
  const std::string claim = "Tenant: victim\r\n";
  for (GatewayFixture* side : {&fixture.cut_off, &fixture.other}) {
    const std::string named =
        side->Call(Post("/l/x", claim + "X-Api-Key: k1\r\n"));
    cr_assert(named.find("tenant=hule930 key=.") != std::string::npos, "%s",
              named.c_str());
    const std::string unnamed =
        side->Call(Post("/p/x", claim + "X-Api-Key: unknown\r\n"));
    cr_assert(unnamed.find("tenant= key=.") != std::string::npos, "%s",
              unnamed.c_str());
    cr_assert(StatusOf(side->Call(Post("/l/x", claim))) == "401");
  }
  cr_assert_eq(target.calls, 4);
}

// Guards against a request that another gateway serves although it knows that
// its key was revoked.
Test(gateway, a_relayed_request_needs_a_key_that_the_relay_knows) {
  FakeTarget target(IdentityAnswer);
  CutOffFixture fixture(target.endpoint());
  fixture.cut_off.control->AddOrganisation("hule930", "revoked");
  fixture.other.control->AddOrganisation("hule930", "k2");
  fixture.Start();
  const std::string answer =
      fixture.cut_off.Call(Post("/l/x", "X-Api-Key: revoked\r\n"));
  cr_assert(StatusOf(answer) == "503", "%s", answer.c_str());
  cr_assert(answer.find("revoked") == std::string::npos);
  cr_assert_eq(target.calls, 0);
}

// Guards against a change for fleets without organisations.
Test(gateway, without_organisations_headers_are_passed_on) {
  FakeTarget target(IdentityAnswer);
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string answer =
      fixture.Call(Post("/l/x", "Tenant: any\r\nX-Api-Key: k1\r\n"));
  cr_assert(answer.find("tenant=any key=k1.") != std::string::npos, "%s",
            answer.c_str());
}

// Guards against asking other gateways because of one target that is down.
Test(gateway, a_target_that_is_down_does_not_send_requests_to_other_gateways) {
  FakeTarget target([](const HttpRequest& request) {
    return SignedAnswer(request, kAttemptId);
  });
  CutOffFixture fixture(target.endpoint());
  fixture.cut_off.control->AddTarget("i-3", target.endpoint());
  fixture.Start();
  for (int i = 0; i < 40; ++i) {
    cr_assert(StatusOf(fixture.cut_off.Call(Post("/l/x"))) == "200");
  }
  cr_assert(fixture.CallsForGateways().size() == 1, "%s calls for 40 requests",
            fixture.CallsForGateways().c_str());
}

// Guards against work that goes on after its caller has left.
Test(gateway, a_relayed_request_is_cancelled_with_its_caller) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  const Endpoint endpoint = FreeEndpoint();
  tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address_v4(endpoint.host), endpoint.port});
  CutOffFixture fixture(endpoint);
  fixture.Start();
  tcp::socket caller(io);
  caller.connect(
      {boost::asio::ip::make_address_v4(fixture.cut_off.settings.callers.host),
       fixture.cut_off.settings.callers.port});
  const std::string request =
      "POST /slow/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Attempt-Id: a\r\n"
      "Deadline-Ms: 600000\r\nContent-Length: 4\r\n\r\nbody";
  boost::asio::write(caller, boost::asio::buffer(request));
  tcp::socket target(io);
  acceptor.accept(target);
  caller.close();
  // Ends when the relay closes its connection, long before the deadline.
  boost::system::error_code error;
  std::string received(64UL * 1024, '\0');
  boost::asio::read(target, boost::asio::buffer(received), error);
  cr_assert(error == boost::asio::error::eof ||
            error == boost::asio::error::connection_reset);
}

// Guards against requests that a planned stop cuts off without an answer.
Test(gateway,
     a_planned_stop_answers_what_is_still_active_at_its_end,
     .timeout = 30) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  const Endpoint endpoint = FreeEndpoint();
  tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address_v4(endpoint.host), endpoint.port});
  GatewayFixture fixture;
  fixture.settings.stop_time = milliseconds(500);
  fixture.control->AddTarget("i-1", endpoint);
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  std::thread stopper([&] {
    tcp::socket target(io);
    acceptor.accept(target);
    raise(SIGTERM);
    // The target stays silent until the gateway closes the connection.
    boost::system::error_code error;
    std::string received(64UL * 1024, '\0');
    boost::asio::read(target, boost::asio::buffer(received), error);
  });
  const std::string answer = fixture.Call(
      "POST /slow/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Attempt-Id: a\r\n"
      "Deadline-Ms: 600000\r\nContent-Length: 4\r\n\r\nbody");
  fixture.WaitUntilStopped();
  stopper.join();
  cr_assert(StatusOf(answer) == "502", "%s", answer.c_str());
  cr_assert(answer.find("process_ends") != std::string::npos);
}

// A target that said in its answers that it was leaving got requests until its
// announcement arrived, or for ever if an older one came later.
Test(gateway, a_target_that_says_it_leaves_gets_no_more_requests) {
  for (const int status : {200, 503, 500, 404}) {
    FakeTarget leaving_target([status](const HttpRequest& request) {
      HttpResponse response = SignedAnswer(request, kAttemptId);
      response.status = status;
      if (status == 503) {
        response.headers.Set("Not-Run", "1");
      }
      response.headers.Set("Server-Leaving", "1");
      return response;
    });
    FakeTarget staying_target([](const HttpRequest& request) {
      return SignedAnswer(request, kAttemptId);
    });
    GatewayFixture fixture;
    fixture.control->AddTarget("i-1", leaving_target.endpoint());
    fixture.control->AddTarget("i-2", staying_target.endpoint());
    fixture.control->Start();
    fixture.Start();
    cr_assert(fixture.WaitUntilReady(true));
    for (int i = 0; i < 200 && leaving_target.calls == 0; ++i) {
      fixture.Call(Post("/l/x"));
    }
    cr_assert_eq(leaving_target.calls, 1, "status %d", status);
    // Control goes on to announce it as ready with each answer to a watch.
    for (int i = 0; i < 40; ++i) {
      cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
      std::this_thread::sleep_for(milliseconds(25));
    }
    cr_assert_eq(leaving_target.calls, 1, "status %d: %d calls", status,
                 leaving_target.calls.load());
    cr_assert_eq(fixture.control->leaving_reports, 1);
  }
}

// Guards against requests that wait at a full target while another is free.
Test(gateway, a_target_that_says_it_is_full_gets_few_requests) {
  const auto make_handler = [](std::string load) {
    return [load](const HttpRequest& request) {
      HttpResponse response = SignedAnswer(request, kAttemptId);
      response.headers.Set("Server-Load", load);
      return response;
    };
  };
  FakeTarget full_target(make_handler("6,3,6,100"));
  FakeTarget free_target(make_handler("0,0,6,100"));
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", full_target.endpoint());
  fixture.control->AddTarget("i-2", free_target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  for (int i = 0; i < 60; ++i) {
    cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
  }
  // A tenth of the requests goes there in any case, so that no target's figures
  // draw all of them.
  cr_assert(full_target.calls <= 12, "%d", full_target.calls.load());
}

// Guards against probes that are sent although they are not enabled, or the
// reverse, and against requests that are lost by them.
Test(gateway, targets_are_probed_only_if_the_settings_say_so) {
  for (const bool enabled : {false, true}) {
    std::atomic<int> probes{0};
    const auto handler = [&](const HttpRequest& request) {
      HttpResponse response = SignedAnswer(request, kAttemptId);
      probes += request.path == "/health" ? 1 : 0;
      response.headers.Set("Server-Load", "0,0,6,100");
      return response;
    };
    FakeTarget first(handler);
    FakeTarget second(handler);
    GatewayFixture fixture;
    fixture.settings.target_probes = enabled;
    fixture.control->AddTarget("i-1", first.endpoint());
    fixture.control->AddTarget("i-2", second.endpoint());
    fixture.control->Start();
    fixture.Start();
    cr_assert(fixture.WaitUntilReady(true));
    for (int i = 0; i < 10; ++i) {
      cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
      // Longer than figures are used without a probe.
      std::this_thread::sleep_for(milliseconds(60));
    }
    cr_assert((probes > 0) == enabled, "%d", probes.load());
    cr_assert(first.calls + second.calls - probes == 10);
  }
}

// Guards against a target whose wrong figures draw all requests, stop requests
// or go unnoticed.
Test(gateway, wrong_load_figures_are_counted_and_draw_a_bounded_share) {
  for (const char* load : {"0,0,4000000000,0", "x,,,", "0,0,6,100,"}) {
    FakeTarget wrong_target([load](const HttpRequest& request) {
      HttpResponse response = SignedAnswer(request, kAttemptId);
      response.headers.Set("Server-Load", load);
      return response;
    });
    FakeTarget right_target([](const HttpRequest& request) {
      HttpResponse response = SignedAnswer(request, kAttemptId);
      response.headers.Set("Server-Load", "5,0,6,250");
      return response;
    });
    GatewayFixture fixture;
    fixture.control->AddTarget("i-1", wrong_target.endpoint());
    fixture.control->AddTarget("i-2", right_target.endpoint());
    fixture.control->Start();
    fixture.Start();
    cr_assert(fixture.WaitUntilReady(true));
    for (int i = 0; i < 100; ++i) {
      cr_assert(StatusOf(fixture.Call(Post("/l/x"))) == "200");
    }
    cr_assert(wrong_target.calls <= 95, "%s: %d", load,
              wrong_target.calls.load());
    const std::string metrics = Exchange(
        fixture.settings.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string counted = "limpethatch_implausible_loads_total " +
                                std::to_string(wrong_target.calls.load()) +
                                "\n";
    cr_assert(metrics.find(counted) != std::string::npos, "%s",
              metrics.c_str());
  }
}

namespace {

// A target that sends `answer` and closes each connection.
class ClosingTarget {
 public:
  explicit ClosingTarget(std::string answer)
      : endpoint_(FreeEndpoint()),
        answer_(std::move(answer)),
        acceptor_(io_, Address()) {
    thread_ = std::thread([this] {
      while (!stopping_) {
        boost::asio::ip::tcp::socket socket(io_);
        boost::system::error_code error;
        acceptor_.accept(socket, error);
        std::string request(4096, '\0');
        socket.read_some(boost::asio::buffer(request), error);
        if (!error) {
          ++calls;
          boost::asio::write(socket, boost::asio::buffer(answer_), error);
        }
      }
    });
  }
  ~ClosingTarget() {
    stopping_ = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket waker(io_);
    waker.connect(Address(), ignored);
    waker.close(ignored);
    thread_.join();
  }

  const Endpoint& endpoint() const { return endpoint_; }
  std::atomic<int> calls{0};

 private:
  boost::asio::ip::tcp::endpoint Address() const {
    return {boost::asio::ip::make_address_v4(endpoint_.host), endpoint_.port};
  }

  const Endpoint endpoint_;
  const std::string answer_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace

// Callers got a 200 with an empty or short body, framed as complete, from a
// target that had ended within its answer.
Test(gateway, an_answer_that_ends_early_is_a_failure) {
  const std::string head =
      std::string("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: ") + kAttemptId +
      "\r\nServer-Stamp: stamp\r\n";
  for (const std::string& answer :
       {head.substr(0, 12), head.substr(0, 40), head, head + "\r\n",
        head + "Content-Length: 9\r\n\r\nbod",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"}) {
    ClosingTarget target(answer);
    GatewayFixture fixture;
    fixture.control->AddTarget("i-1", target.endpoint());
    fixture.control->Start();
    fixture.Start();
    cr_assert(fixture.WaitUntilReady(true));
    const std::string received = fixture.Call(Post("/o/x"));
    cr_assert(StatusOf(received) == "502", "%s\n%s", answer.c_str(),
              received.c_str());
    cr_assert_eq(target.calls, 1);
  }
}

// Guards against passing on what is no answer of a target: the status 000 of a
// target in trouble, or an interim answer as the final one.
Test(gateway, an_answer_with_an_odd_status_never_reaches_the_caller) {
  const std::string rest = std::string(" Odd\r\nRequest-Attempt-Id: ") +
                           kAttemptId +
                           "\r\nServer-Stamp: stamp\r\n"
                           "Content-Length: 2\r\n\r\nok";
  for (const char* status : {"000", "099", "100", "101", "199", "600", "999"}) {
    for (const char* path : {"/o/x", "/l/x", "/s/x"}) {
      ClosingTarget target("HTTP/1.1 " + std::string(status) + rest);
      GatewayFixture fixture;
      fixture.control->AddTarget("i-1", target.endpoint());
      fixture.control->Start();
      fixture.Start();
      cr_assert(fixture.WaitUntilReady(true));
      const std::string received = fixture.Call(Post(path));
      cr_assert(StatusOf(received) == "502", "%s %s\n%s", status, path,
                received.c_str());
      cr_assert(received.find("Server-Stamp") == std::string::npos);
      cr_assert_eq(target.calls, 1);
    }
  }
  ClosingTarget target("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200" + rest);
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string received = fixture.Call(Post("/o/x"));
  cr_assert(StatusOf(received) == "200", "%s", received.c_str());
  cr_assert(received.ends_with("\r\n\r\nok"));
}

// The text of an error, at times with its head, stood in the middle of a stream
// that had broken off, or the stream ended as if it were complete.
Test(gateway, a_stream_that_breaks_off_is_never_mixed_with_another_answer) {
  ClosingTarget breaking_target(
      std::string("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: ") + kAttemptId +
      "\r\nServer-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n"
      "f\r\nid: 1\ndata: a\n\n\r\n");
  FakeTarget failing_target([](const HttpRequest& request) {
    HttpResponse response = SignedAnswer(request, kAttemptId);
    response.status = 500;
    response.body = "out of order";
    return response;
  });
  GatewayFixture fixture;
  fixture.control->AddTarget("i-1", breaking_target.endpoint());
  fixture.control->AddTarget("i-2", failing_target.endpoint());
  fixture.control->Start();
  fixture.Start();
  cr_assert(fixture.WaitUntilReady(true));
  const std::string resumption = "Last-Event-Id: 1\r\nResumes: a\r\n";
  for (int i = 0; i < 20; ++i) {
    const std::string answer =
        fixture.Call(Post("/s/x", i % 2 == 0 ? "" : resumption));
    const std::string status = StatusOf(answer);
    cr_assert(status == "502" || status == "500", "%s", answer.c_str());
    cr_assert(answer.find("data: a") == std::string::npos);
    cr_assert((answer.find("out of order") != std::string::npos) ==
              (status == "500"));
  }
  cr_assert(breaking_target.calls > 0 && failing_target.calls > 0);
}

}  // namespace limpethatch
