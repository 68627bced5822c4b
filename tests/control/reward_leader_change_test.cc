#include <mutex>

#include "control/fleet_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using boost::asio::ip::tcp;

constexpr Duration kPause = std::chrono::milliseconds(50);

// A target that answers each request with signed bytes, held back until Open.
class GatedTarget {
 public:
  GatedTarget(std::string headers, std::string body, bool open)
      : headers_(std::move(headers)), body_(std::move(body)), open_(open) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(
        {boost::asio::ip::make_address_v4(endpoint_.host), endpoint_.port});
    acceptor_.listen();
    acceptor_.non_blocking(true);
    thread_ = std::thread([this] { Accept(); });
  }
  ~GatedTarget() {
    stopping_ = true;
    open_ = true;
    thread_.join();
    for (std::thread& call : calls_) {
      call.join();
    }
  }

  void Open() { open_ = true; }
  const Endpoint& endpoint() const { return endpoint_; }
  std::atomic<int> requests{0};

 private:
  void Accept() {
    while (!stopping_) {
      tcp::socket socket(io_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (error) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        continue;
      }
      socket.non_blocking(false);
      calls_.emplace_back([this, moved = std::move(socket)]() mutable {
        Serve(std::move(moved));
      });
    }
  }
  void Serve(tcp::socket socket) {
    boost::system::error_code error;
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n", error);
    if (error) {
      return;
    }
    ++requests;
    while (!open_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    constexpr std::string_view kIdField = "Request-Attempt-Id: ";
    const size_t start = request.find(kIdField) + kIdField.size();
    const std::string id =
        request.substr(start, request.find("\r\n", start) - start);
    boost::asio::write(
        socket,
        boost::asio::buffer("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + id +
                            "\r\nServer-Stamp: stamp-" + id + "\r\n" +
                            headers_ + "Connection: close\r\nContent-Length: " +
                            std::to_string(body_.size()) + "\r\n\r\n" + body_),
        error);
  }

  const Endpoint endpoint_ = FreeEndpoint();
  const std::string headers_;
  const std::string body_;
  std::atomic<bool> open_;
  std::atomic<bool> stopping_{false};
  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_};
  std::thread thread_;
  std::vector<std::thread> calls_;
};

wire::TargetRecord RecordOf(const std::string& id,
                            const std::string& service,
                            const Endpoint& address) {
  wire::TargetRecord record;
  record.set_id(id);
  record.set_service(service);
  record.set_address(address.ToString());
  record.set_zone("z");
  record.set_slots(6);
  record.set_born_ms(1);
  record.set_sequence(1);
  return record;
}

std::string Submission(const std::string& scoring_path) {
  const std::string body =
      R"({"step":1,"model":"model","group_count":1,"items":[)"
      R"({"id":"s1","path":"/j/1","group":"g","scoring_endpoint":)"
      R"({"id":"r1","host":"shop.example","path":")" +
      scoring_path + R"(","body":""}}]})";
  return "POST /j/a HTTP/1.1\r\nHost: shop.example\r\n"
         "Request-Attempt-Id: job1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr const char* kRead =
    "GET /v1/lots/job1?after=0 HTTP/1.1\r\nHost: shop.example\r\n\r\n";

}  // namespace

// The leader is killed while the reward call of a whole text runs: the next one
// must not generate the text again, list it without a score, or list it twice.
Test(reward_leader_change,
     a_call_that_its_leader_left_runs_again,
     .timeout = 60) {
  FleetFixture fleet;
  fleet.PutConfiguration(2);
  GatedTarget engine("Weight-Versions: 1\r\n",
                     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true);
  GatedTarget scorer("", "ok", false);
  wire::TargetRecord record = RecordOf("e1", "coach", engine.endpoint());
  wire::ModelWeights& weights = *record.add_weights();
  weights.set_model("model");
  weights.set_version(1);
  fleet.Announce(record);
  fleet.Announce(RecordOf("d1", "desk", scorer.endpoint()));
  GatewayInstance& gateway = fleet.AddGateway("127.0.0.5");

  cr_assert(gateway.Call(Submission("/nowhere/1")).find(" 400 ") !=
            std::string::npos);
  while (gateway.Call(Submission("/l/1")).find(" 202 ") == std::string::npos) {
    std::this_thread::sleep_for(kPause);
  }
  while (scorer.requests == 0) {
    std::this_thread::sleep_for(kPause);
  }
  cr_assert(gateway.Call(kRead).find(R"("results":[])") != std::string::npos);
  fleet.Leader().Stop();
  fleet.Leader();
  fleet.Announce(record);
  scorer.Open();
  std::string page;
  while (page.find(R"("state":"completed")") == std::string::npos) {
    std::this_thread::sleep_for(kPause);
    page = gateway.Call(kRead);
  }
  cr_assert(page.find(R"("total":1,"next_page_token":1)") != std::string::npos);
  cr_assert(page.find(R"("text":"a\nb")") != std::string::npos);
  cr_assert(page.find(R"("score":"stamp-r1")") != std::string::npos);
  cr_assert(engine.requests == 1, "%d runs", engine.requests.load());
  cr_assert(scorer.requests >= 2);
}

}  // namespace limpethatch
