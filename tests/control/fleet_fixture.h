// Control instances, gateways and targets on loopback addresses, each on a
// thread of its own. Include before Criterion.
#ifndef LIMPETHATCH_TESTS_CONTROL_FLEET_FIXTURE_H_
#define LIMPETHATCH_TESTS_CONTROL_FLEET_FIXTURE_H_

#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "connection/free_endpoint.h"
#include "envelope.pb.h"
#include "limpethatch/request/organisations/key_digest.h"
#include "programs/control/control_service.h"
#include "programs/gateway/gateway.h"

namespace limpethatch {

// One of three replicas, or an instance beside them that is not a member.
class ControlInstance {
 public:
  ControlInstance(const std::vector<Endpoint>& group,
                  const Endpoint& endpoint,
                  const std::filesystem::path& folder,
                  const std::optional<DutySettings>& duties = std::nullopt) {
    settings_.duties = duties;
    settings_.process.id = endpoint.host;
    settings_.peers = endpoint;
    settings_.data_folder = folder / endpoint.host;
    std::filesystem::create_directories(settings_.data_folder);
    settings_.fleet = true;
    settings_.name = "control-" + endpoint.host;
    settings_.api = FreeEndpoint();
    for (const Endpoint& member : group) {
      settings_.seeds.push_back(member);
      wire::Member& replica = settings_.replicas.emplace_back();
      replica.set_id(member.host);
      replica.set_endpoint(member.ToString());
    }
    service_ =
        std::make_unique<ControlService>(io_, timers_, messenger_, settings_);
    if (service_->Start() || messenger_.Listen(settings_.peers)) {
      std::abort();
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ControlInstance() { Stop(); }

  // As when the process is killed.
  void Stop() {
    if (thread_.joinable()) {
      io_.stop();
      thread_.join();
      messenger_.StopReceiving();
    }
  }
  bool running() const { return thread_.joinable(); }
  const Endpoint& api() const { return settings_.api; }
  uint64_t bytes_sent() const { return messenger_.bytes_sent(); }

  // Runs `action` on the instance's thread.
  template <typename Result>
  Result Ask(std::function<Result(ControlService&)> action) {
    std::promise<Result> promise;
    std::future<Result> result = promise.get_future();
    boost::asio::post(io_, [&] { promise.set_value(action(*service_)); });
    return result.get();
  }
  bool leading() {
    return Ask<bool>([](ControlService& service) { return service.leading(); });
  }

 private:
  ControlSettings settings_;
  boost::asio::io_context io_{1};
  TimerService timers_{io_};
  Messenger messenger_{io_, {}, [this](std::string_view bytes) {
                         service_->Receive(bytes);
                       }};
  std::unique_ptr<ControlService> service_;
  std::thread thread_;
};

// A target that answers each request on a connection of its own, and whose
// process ends at one whose path contains "poison". It starts again at the same
// address.
class CrashingTarget {
 public:
  using Announcer = std::function<void(const wire::TargetRecord& record)>;

  CrashingTarget(std::string id, Announcer announce)
      : id_(std::move(id)),
        announce_(std::move(announce)),
        endpoint_(FreeEndpoint()) {
    Open();
    thread_ = std::thread([this] {
      while (!stopping_) {
        ServeOne();
      }
    });
  }
  ~CrashingTarget() {
    stopping_ = true;
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket waker(io);
    boost::system::error_code ignored;
    waker.connect(Address(), ignored);
    waker.close(ignored);
    thread_.join();
  }

  std::atomic<int> crashes{0};
  std::atomic<int> answers{0};

 private:
  static constexpr Duration kRestartTime = std::chrono::milliseconds(300);

  boost::asio::ip::tcp::endpoint Address() const {
    return {boost::asio::ip::make_address_v4(endpoint_.host), endpoint_.port};
  }
  void Open() {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(Address());
    acceptor_.listen();
    wire::TargetRecord record;
    record.set_id(id_);
    record.set_service("desk");
    record.set_address(endpoint_.ToString());
    record.set_zone("z");
    record.set_slots(6);
    record.set_born_ms(static_cast<uint64_t>(crashes) + 1);
    record.set_sequence(1);
    announce_(record);
  }
  void ServeOne() {
    boost::asio::ip::tcp::socket socket(io_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    std::string request;
    const size_t head_size = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (error || head_size == 0) {
      return;
    }
    if (request.find("poison") < request.find("\r\n")) {
      ++crashes;
      acceptor_.close();
      socket.close(error);
      std::this_thread::sleep_for(kRestartTime);
      Open();
      return;
    }
    ++answers;
    constexpr std::string_view kIdField = "Request-Attempt-Id: ";
    const size_t id_start = request.find(kIdField) + kIdField.size();
    const std::string attempt =
        request.substr(id_start, request.find("\r\n", id_start) - id_start);
    boost::asio::write(socket,
                       boost::asio::buffer(
                           "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + attempt +
                           "\r\nServer-Stamp: stamp\r\nConnection: close\r\n"
                           "Content-Length: 2\r\n\r\nok"),
                       error);
  }

  const std::string id_;
  const Announcer announce_;
  const Endpoint endpoint_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{io_};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Sends raw bytes on a new connection and returns the bytes of the first read;
// empty on an error.
inline std::string ExchangeBytes(const Endpoint& to, const std::string& bytes) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address_v4(to.host), to.port}, error);
  if (error) {
    return "";
  }
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  std::string answer(16UL * 1024, '\0');
  answer.resize(socket.read_some(boost::asio::buffer(answer), error));
  return answer;
}

// A gateway on a thread of its own.
class GatewayInstance {
 public:
  GatewayInstance(const std::string& host,
                  const std::vector<Endpoint>& control) {
    settings_.process.id = host;
    settings_.process.zone = "z";
    settings_.callers = FreeEndpoint();
    settings_.readiness = FreeEndpoint();
    settings_.relay = FreeEndpoint();
    settings_.metrics = FreeEndpoint();
    // Control instances are reached at the gateway's own port.
    settings_.peers = {host, control[0].port};
    settings_.seeds = control;
    gateway_ = std::make_unique<Gateway>(settings_, "none");
    if (gateway_->Start()) {
      std::abort();
    }
    thread_ = std::thread([this] { gateway_->Run(); });
  }
  // All gateways of the process must have been told to stop.
  ~GatewayInstance() { thread_.join(); }

  // Sends raw bytes on a new connection and returns the bytes of the first
  // read; empty on an error.
  std::string Call(const std::string& bytes) const {
    return ExchangeBytes(settings_.callers, bytes);
  }
  bool Ready() const {
    return ExchangeBytes(settings_.readiness,
                         "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
               .find(" 200 ") != std::string::npos;
  }

 private:
  GatewaySettings settings_;
  std::unique_ptr<Gateway> gateway_;
  std::thread thread_;
};

struct OrganisationKey {
  std::string organisation;
  std::string key;
};

// Three control instances, and as many gateways and targets as the test adds.
class FleetFixture {
 public:
  explicit FleetFixture(
      const std::optional<DutySettings>& duties = std::nullopt)
      : folder_(std::filesystem::temp_directory_path() /
                ("limpethatch-fleet-" + std::to_string(getpid()))) {
    std::filesystem::remove_all(folder_);
    const uint16_t port = FreeEndpoint().port;
    for (const char* host : {"127.0.0.2", "127.0.0.3", "127.0.0.4"}) {
      group_.push_back({host, port});
    }
    for (const Endpoint& endpoint : group_) {
      control_.push_back(
          std::make_unique<ControlInstance>(group_, endpoint, folder_, duties));
    }
  }
  ~FleetFixture() {
    if (!gateways.empty()) {
      raise(SIGTERM);  // Stops the gateways.
    }
    gateways.clear();
    targets.clear();
    control_.clear();
    std::filesystem::remove_all(folder_);
  }

  ControlInstance& Leader() {
    while (true) {
      for (const auto& instance : control_) {
        if (instance->running() && instance->leading()) {
          return *instance;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  // Ends a running control instance other than `instance`.
  void StopOneBeside(const ControlInstance& instance) {
    for (const auto& other : control_) {
      if (other.get() != &instance && other->running()) {
        other->Stop();
        return;
      }
    }
  }

  // Puts a configuration into force with a route "/l/" to the service "desk"
  // and a route "/j/" for batch jobs on the engines "coach". With
  // organisations, requests need a key.
  void PutConfiguration(uint32_t max_attempts,
                        uint64_t version = 1,
                        const std::vector<OrganisationKey>& keys = {}) {
    wire::Envelope envelope;
    wire::ControlRequest& request = *envelope.mutable_request();
    request.set_from("operator");
    request.set_incarnation(1);
    request.set_reply_to(FreeEndpoint().ToString());
    wire::FleetConfiguration& configuration = *request.mutable_command()
                                                   ->mutable_configuration_put()
                                                   ->mutable_configuration();
    configuration.set_version(version);
    for (const OrganisationKey& key : keys) {
      configuration.set_keys_required(true);
      wire::Organisation& organisation = *configuration.add_organisations();
      organisation.set_name(key.organisation);
      organisation.add_key_digests(EncodeKeyDigest(DigestOfKey(key.key)));
    }
    configuration.add_services()->set_name("desk");
    wire::ServiceDeclaration& coach = *configuration.add_services();
    coach.set_name("coach");
    coach.set_cache_tokens(100'000);
    coach.add_models("model");
    wire::Route& jobs = *configuration.add_routes();
    jobs.set_name("jobs");
    jobs.set_host("shop.example");
    jobs.set_path_prefix("/j/");
    jobs.set_kind(wire::ROUTE_JOBS);
    jobs.set_max_attempts(3);
    jobs.set_max_queue_ms(40'000);
    jobs.add_services()->set_service("coach");
    jobs.mutable_services(0)->set_weight(1);
    wire::Route& route = *configuration.add_routes();
    route.set_name("lookup");
    route.set_host("shop.example");
    route.set_path_prefix("/l/");
    route.set_kind(wire::ROUTE_IDEMPOTENT);
    route.set_max_attempts(max_attempts);
    route.set_timeout_ms(1500);
    route.add_services()->set_service("desk");
    route.mutable_services(0)->set_weight(1);
    const auto put = [&](ControlService& service) {
      request.set_id(request.id() + 1);
      request.set_oldest_open(request.id());
      service.Receive(envelope.SerializeAsString());
      return service.fleet()->configuration_version() == version;
    };
    while (!Leader().Ask<bool>(put)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  // An instance that is not a member of the group.
  std::unique_ptr<ControlInstance> MakeInstanceBeside(const std::string& host) {
    return std::make_unique<ControlInstance>(
        group_, Endpoint{host, group_[0].port}, folder_);
  }
  const std::vector<Endpoint>& group() const { return group_; }

  // Announces the target to all running instances.
  void Announce(const wire::TargetRecord& record) {
    for (const auto& instance : control_) {
      if (instance->running()) {
        instance->Ask<bool>([&](ControlService& service) {
          return service.fleet()->Announce(record);
        });
      }
    }
  }
  void AddTarget(const std::string& id) {
    targets.push_back(std::make_unique<CrashingTarget>(
        id, [this](const wire::TargetRecord& record) { Announce(record); }));
  }
  // Returns once the gateway is ready.
  GatewayInstance& AddGateway(const std::string& host) {
    gateways.push_back(std::make_unique<GatewayInstance>(host, group_));
    while (!gateways.back()->Ready()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return *gateways.back();
  }

  std::vector<std::unique_ptr<CrashingTarget>> targets;
  std::vector<std::unique_ptr<GatewayInstance>> gateways;

 private:
  const std::filesystem::path folder_;
  std::vector<Endpoint> group_;
  std::vector<std::unique_ptr<ControlInstance>> control_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_CONTROL_FLEET_FIXTURE_H_
