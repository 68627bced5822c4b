#include "limpethatch/connection/control_client.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "connection/free_endpoint.h"
#include "envelope.pb.h"
#include "limpethatch/connection/internal/message_frame.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace limpethatch;

namespace {

// Answers requests with the reply that `answer` fills in, or not at all if it
// returns false.
class FakeReplica {
 public:
  using Answer =
      std::function<bool(const wire::ControlRequest&, wire::ControlReply*)>;

  FakeReplica(const Endpoint& address, Answer answer)
      : answer_(std::move(answer)),
        messenger_({}, [this](std::string_view text) { Receive(text); }) {
    cr_assert(!messenger_.Listen(address));
  }

 private:
  void Receive(std::string_view text) {
    wire::Envelope in, out;
    cr_assert(in.ParseFromArray(text.data(), static_cast<int>(text.size())));
    Endpoint reply_to;
    cr_assert(ParseEndpoint(in.request().reply_to(), &reply_to));
    out.mutable_reply()->set_id(in.request().id());
    if (answer_(in.request(), out.mutable_reply())) {
      messenger_.Send(reply_to, out.SerializeAsString());
    }
  }

  const Answer answer_;
  Messenger messenger_;
};

// A replica that reads requests slowly and answers the first that it has read.
class SlowReplica {
 public:
  explicit SlowReplica(const Endpoint& address) {
    using boost::asio::ip::tcp;
    constexpr int kReceiveBufferBytes = 16 * 1024;
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind(
        {boost::asio::ip::make_address_v4(address.host), address.port});
    acceptor_.listen();
    thread_ = std::thread([this] {
      while (!done_) {
        ServeConnection();
      }
    });
  }
  ~SlowReplica() { thread_.join(); }

 private:
  void ServeConnection() {
    constexpr size_t kReadBytes = 64UL * 1024;
    boost::asio::ip::tcp::socket socket(io_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    std::string received;
    while (!error) {
      std::string part(kReadBytes, '\0');
      part.resize(socket.read_some(boost::asio::buffer(part), error));
      received += part;
      if (received.size() >= kFrameHeaderBytes &&
          received.size() - kFrameHeaderBytes >=
              DecodeMessageLength(received)) {
        Answer(received);
        return;
      }
      std::this_thread::sleep_for(10ms);
    }
  }
  void Answer(const std::string& frame) {
    wire::Envelope in, out;
    cr_assert(in.ParseFromArray(frame.data() + kFrameHeaderBytes,
                                static_cast<int>(DecodeMessageLength(frame))));
    Endpoint reply_to;
    cr_assert(ParseEndpoint(in.request().reply_to(), &reply_to));
    out.mutable_reply()->set_id(in.request().id());
    out.mutable_reply()->set_outcome(wire::ControlReply::OK);
    messenger_.Send(reply_to, out.SerializeAsString());
    done_ = true;
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{io_};
  Messenger messenger_{{}, [](std::string_view) {}};
  std::atomic<bool> done_ = false;
  std::thread thread_;
};

// A client with its messenger and the io_context that its coroutines run on.
class ClientFixture {
 public:
  explicit ClientFixture(std::vector<Endpoint> replicas)
      : messenger_({}, [this](std::string_view text) { Receive(text); }),
        client_(io_,
                messenger_,
                {.instance = "entry-1",
                 .zone = "kigali-a",
                 .incarnation = 7,
                 .reply_to = address_,
                 .replicas = std::move(replicas),
                 .hello_period = 100ms}) {
    cr_assert(!messenger_.Listen(address_));
  }
  ~ClientFixture() { messenger_.StopReceiving(); }

  ControlOutcome Call(Duration timeout) {
    wire::Command command;
    command.mutable_version_publish()->set_version(3);
    return Call(timeout, command);
  }
  ControlOutcome Call(Duration timeout, const wire::Command& command) {
    ControlOutcome outcome;
    Spawn(io_, [&](Yield yield) {
      outcome = client_.Call(yield, command, Clock::now() + timeout);
    });
    io_.run();
    io_.restart();
    return outcome;
  }

  ControlClient::Answer Send(Duration timeout) {
    ControlClient::Answer answer;
    Spawn(io_, [&](Yield yield) {
      wire::ControlRequest request;
      request.mutable_status();
      answer = client_.SendRequest(yield, request, Clock::now() + timeout);
    });
    io_.run();
    io_.restart();
    return answer;
  }

  boost::asio::io_context& io() { return io_; }
  ControlClient& client() { return client_; }

 private:
  void Receive(std::string_view text) {
    wire::Envelope in;
    cr_assert(in.ParseFromArray(text.data(), static_cast<int>(text.size())));
    client_.OnReply(in.reply());
  }

  const Endpoint address_ = FreeEndpoint();
  boost::asio::io_context io_;
  Messenger messenger_;
  ControlClient client_;
};

}  // namespace

// A leader answered a request of a process that had been killed; the process
// that had started in its place took that for the outcome of its own change.
Test(control_client, a_reply_to_an_earlier_process_is_not_taken_for_its_own) {
  const Endpoint address = FreeEndpoint();
  uint64_t late_id = 0;
  const FakeReplica replica(address, [&](const wire::ControlRequest&,
                                         wire::ControlReply* reply) {
    reply->set_id(++late_id);  // As a process that just started would count.
    reply->set_outcome(wire::ControlReply::OK);
    return true;
  });
  ClientFixture fixture({address});
  cr_assert(fixture.Call(400ms).certainty == ControlCertainty::kUncertain);
}

Test(control_client,
     a_call_skips_silent_replicas_and_followers_and_reaches_the_leader) {
  const Endpoint silent = FreeEndpoint(), follower = FreeEndpoint(),
                 leader = FreeEndpoint();
  FakeReplica follower_replica(follower, [&](const auto&, auto* reply) {
    reply->set_outcome(wire::ControlReply::NOT_LEADER);
    reply->set_leader(leader.ToString());
    return true;
  });
  int asked = 0;
  FakeReplica leader_replica(leader, [&](const auto& request, auto* reply) {
    if (++asked == 1) {
      return false;
    }
    cr_assert(request.incarnation() == 7);
    reply->set_outcome(wire::ControlReply::OK);
    reply->mutable_result()->mutable_version()->set_version(
        request.command().version_publish().version());
    return true;
  });
  ClientFixture fixture({silent, follower, leader});
  const ControlOutcome outcome = fixture.Call(20s);
  cr_assert(outcome.certainty == ControlCertainty::kDone);
  cr_assert(outcome.result.version().version() == 3);
}

Test(control_client,
     refusal_by_all_replicas_is_not_applied_and_a_timeout_is_uncertain) {
  const Endpoint address = FreeEndpoint();
  ClientFixture fixture({address});
  cr_assert(fixture.Call(50ms).certainty == ControlCertainty::kUncertain);
  FakeReplica replica(address, [&](const auto&, auto* reply) {
    reply->set_outcome(wire::ControlReply::UNAVAILABLE);
    return true;
  });
  // The first attempt may be lost while the connection is established.
  ControlOutcome outcome;
  for (int i = 0; i < 20; ++i) {
    outcome = fixture.Call(400ms);
    if (outcome.certainty == ControlCertainty::kNotDone) {
      return;
    }
  }
  cr_assert(
      false,
      "no call was reported as kNotDone although the replica refused all");
}

// An instance asked replicas that were gone, 300 ms each, until its call ended.
Test(control_client, a_replica_that_was_heard_from_is_asked_first) {
  const Endpoint leader = FreeEndpoint();
  FakeReplica replica(leader, [](const auto&, auto* reply) {
    reply->set_outcome(wire::ControlReply::OK);
    return true;
  });
  std::vector<Endpoint> replicas;
  for (int i = 0; i < 16; ++i) {
    replicas.push_back(FreeEndpoint());
  }
  replicas.push_back(leader);
  ClientFixture fixture(std::move(replicas));
  fixture.client().RecordContact(leader, Clock::now());
  const ControlClient::Answer answer = fixture.Send(20s);
  cr_assert(answer.certainty == ControlCertainty::kDone);
  cr_assert(answer.attempts.front().replica == leader, "%s",
            Describe(answer.attempts).c_str());
}

// The transfer of a large request took longer than an attempt, at whose end the
// connection was reset, so that it never arrived.
Test(control_client,
     a_request_whose_transfer_outlasts_an_attempt_arrives,
     .timeout = 60) {
  constexpr size_t kBytes = 8UL * 1024 * 1024;
  const Endpoint address = FreeEndpoint();
  SlowReplica replica(address);
  ClientFixture fixture({address});
  wire::Command command;
  command.mutable_version_publish()->set_pool(std::string(kBytes, 'x'));
  cr_assert(fixture.Call(50s, command).certainty == ControlCertainty::kDone);
}

Test(control_client, hello_keeps_only_the_newest_reply) {
  const Endpoint address = FreeEndpoint();
  std::atomic<int> older_replies = 0;
  ClientFixture fixture({address});
  FakeReplica replica(address, [&](const auto& request, auto* reply) {
    cr_assert(request.hello().manifest_version() == 4);
    reply->set_outcome(wire::ControlReply::OK);
    const bool known = fixture.client().news().has_value();
    older_replies += known ? 1 : 0;
    reply->mutable_hello()->set_term(known ? 8 : 9);
    return true;
  });
  TimerService timers(fixture.io());
  fixture.client().StartHello(
      timers, [](wire::Hello& hello) { hello.set_manifest_version(4); });
  while (older_replies < 5) {
    fixture.io().run_one();
  }
  timers.Stop();
  fixture.io().run();
  cr_assert(fixture.client().news()->reply.term() == 9);
}
