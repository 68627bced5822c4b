// A control instance for tests. Include before Criterion.
#ifndef LIMPETHATCH_TESTS_CONTROL_CONTROL_FIXTURE_H_
#define LIMPETHATCH_TESTS_CONTROL_CONTROL_FIXTURE_H_

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/free_endpoint.h"
#include "envelope.pb.h"
#include "programs/control/control_service.h"

namespace limpethatch {

inline std::string UnpredictableText(int number) {
  // Multiplicative hashing gives names that do not compress well.
  constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15;
  return std::to_string((static_cast<uint64_t>(number) + 1) * kMultiplier);
}

// A control instance that leads a group of its own. The test runs its event
// loop one handler at a time.
class ControlFixture {
 public:
  explicit ControlFixture(std::vector<Endpoint> seeds = {{"127.0.0.1", 1}})
      : folder_(std::filesystem::temp_directory_path() /
                ("limpethatch-control-" + std::to_string(getpid()))) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    settings_.process.id = "127.0.0.1";
    settings_.peers = FreeEndpoint();
    settings_.data_folder = folder_;
    settings_.fleet = true;
    settings_.name = "control-1";
    settings_.api = FreeEndpoint();
    settings_.seeds = std::move(seeds);
    wire::Member& replica = settings_.replicas.emplace_back();
    replica.set_id("127.0.0.1");
    replica.set_endpoint(settings_.peers.ToString());
    service_ =
        std::make_unique<ControlService>(io_, timers_, messenger_, settings_);
    if (service_->Start()) {
      std::abort();
    }
    RunUntil([this] { return service_->leading(); });
  }
  ~ControlFixture() {
    service_.reset();
    std::filesystem::remove_all(folder_);
  }

  // Puts a configuration with `routes` routes into force.
  void PutConfiguration(uint64_t version, int routes) {
    const wire::Envelope envelope = ConfigurationOf(version, routes);
    const std::string service = "service-" + std::to_string(version);
    // A new leader refuses changes at first. Before the first configuration,
    // any service counts as known.
    constexpr int kHandlersPerTry = 50;
    for (int handlers = 0; !service_->fleet()->KnowsService(service) ||
                           service_->fleet()->KnowsService("undeclared");
         ++handlers) {
      if (handlers % kHandlersPerTry == 0) {
        service_->Receive(envelope.SerializeAsString());
      }
      io_.run_one();
    }
  }
  // Receives messages of other processes, and those of its own client.
  void Listen() {
    if (messenger_.Listen(settings_.peers)) {
      std::abort();
    }
  }
  // Submits a configuration by a call of this instance, as an operator does.
  ChangeOutcome CallWithConfiguration(uint64_t version) {
    std::optional<ChangeOutcome> outcome;
    Spawn(io_, [&](Yield yield) {
      outcome =
          service_->fleet()->PutConfiguration(yield, ConfigurationOf(version, 1)
                                                         .request()
                                                         .command()
                                                         .configuration_put()
                                                         .configuration());
    });
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }
  // Sends a configuration once.
  void OfferConfiguration(uint64_t version) {
    Receive(ConfigurationOf(version, 1));
  }

  void Receive(const wire::Envelope& envelope) {
    service_->Receive(envelope.SerializeAsString());
  }
  void Watch(const std::string& gateway,
             const Endpoint& reply_to,
             uint64_t configuration_version) {
    wire::Envelope envelope;
    wire::Watch& watch = *envelope.mutable_watch();
    watch.set_instance(gateway);
    watch.set_reply_to(reply_to.ToString());
    watch.set_configuration_version(configuration_version);
    service_->Receive(envelope.SerializeAsString());
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      io_.run_one();
    }
  }
  // Runs handlers for `time`. Returns the most bytes that one of them queued.
  uint64_t MostBytesOfOneHandler(Duration time) {
    uint64_t most = 0;
    for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
      const uint64_t before = messenger_.bytes_sent();
      io_.run_one_until(end);
      most = std::max(most, messenger_.bytes_sent() - before);
    }
    return most;
  }
  void RunFor(Duration time) {
    for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
      io_.run_one_until(end);
    }
  }
  ControlService& service() { return *service_; }
  uint64_t bytes_sent() const { return messenger_.bytes_sent(); }
  boost::asio::io_context& io() { return io_; }

 private:
  // Declares a service named after the version.
  static wire::Envelope ConfigurationOf(uint64_t version, int routes) {
    wire::Envelope envelope;
    wire::ControlRequest& request = *envelope.mutable_request();
    request.set_id(version);
    request.set_oldest_open(version);
    request.set_from("operator");
    request.set_incarnation(1);
    request.set_reply_to(FreeEndpoint().ToString());
    wire::FleetConfiguration& configuration = *request.mutable_command()
                                                   ->mutable_configuration_put()
                                                   ->mutable_configuration();
    configuration.set_version(version);
    const std::string service = "service-" + std::to_string(version);
    configuration.add_services()->set_name(service);
    wire::ServiceDeclaration& coach = *configuration.add_services();
    coach.set_name("coach");
    coach.set_cache_tokens(100'000);
    coach.add_models("model");
    for (int i = 0; i < routes; ++i) {
      wire::Route& route = *configuration.add_routes();
      route.set_name("r-" + UnpredictableText(i));
      route.set_host("shop.example");
      route.set_path_prefix("/" + UnpredictableText(i) + "/");
      route.add_services()->set_service(service);
    }
    return envelope;
  }

  const std::filesystem::path folder_;
  ControlSettings settings_;
  boost::asio::io_context io_{1};
  TimerService timers_{io_};
  Messenger messenger_{io_, {}, [this](std::string_view bytes) {
                         service_->Receive(bytes);
                       }};
  std::unique_ptr<ControlService> service_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_CONTROL_CONTROL_FIXTURE_H_
