#include "platform/gateway_api.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/connection/yield.h"
#include "platform/fake_exchange.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// Has one route, for batch jobs, to the services with these weights.
class FakeGateway : public GatewayInterface {
 public:
  explicit FakeGateway(
      const std::vector<std::pair<std::string, double>>& services = {
          {"coach", 1}}) {
    wire::FleetConfiguration configuration;
    configuration.set_version(1);
    wire::Route& route = *configuration.add_routes();
    route.set_name("steps");
    route.set_host("shop.example");
    route.set_path_prefix("/steps/");
    route.set_kind(wire::ROUTE_JOBS);
    for (const auto& [service, weight] : services) {
      wire::WeightedService& part = *route.add_services();
      part.set_service(service);
      part.set_weight(weight);
    }
    routes_ = std::make_shared<RouteTable>(configuration);
  }

  RouteTablePtr routes() const override { return routes_; }
  bool IsConfigurationCurrent() const override { return true; }
  bool IsConfigurationOutdated() const override { return false; }
  void ServeLive(HttpExchange&,
                 const wire::Route&,
                 const std::string&) override {}
  JobChange SubmitJob(Yield, const wire::JobSubmit& submit) override {
    submitted.push_back(submit.job());
    ++jobs_by_service[submit.service()];
    return {ChangeOutcome::kDone};
  }
  JobChange EndJob(Yield, const std::string&, const std::string&) override {
    return {ChangeOutcome::kDone};
  }
  std::optional<wire::JobPage> ReadJob(Yield,
                                       const std::string&,
                                       const std::string&,
                                       uint64_t after,
                                       Duration wait) override {
    last_read_after = after;
    last_read_wait = wait;
    return std::nullopt;
  }
  std::optional<wire::JobBody> ReadBody(Yield,
                                        const std::string&,
                                        const std::string&,
                                        const std::string&) override {
    return std::nullopt;
  }

  std::vector<std::string> submitted;
  std::map<std::string, int> jobs_by_service;
  uint64_t last_read_after = 0;
  Duration last_read_wait{};

 private:
  RouteTablePtr routes_;
};

// Submits a batch job and returns the status of the answer.
int Submit(FakeGateway& gateway,
           bool caller_disconnected,
           const std::string& id = "9c41d07be2a35f68") {
  boost::asio::io_context io;
  int status = 0;
  Spawn(io, [&](Yield yield) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/steps/1";
    request.headers.Set("Host", "shop.example");
    request.headers.Set("Request-Attempt-Id", id);
    request.body = R"({"items":[{"id":"a","path":"/x"}]})";
    FakeExchange exchange(yield, std::move(request));
    exchange.disconnected = caller_disconnected;
    platform::ServeGatewayCall(gateway, exchange);
    status = exchange.status;
  });
  io.run();
  return status;
}

}  // namespace

// A gateway that had stood still submitted the job of a caller that had closed
// its connection and ended the job meanwhile.
Test(gateway_api, a_job_is_not_submitted_for_a_caller_that_has_disconnected) {
  FakeGateway gateway;
  cr_assert(Submit(gateway, true) == 503);
  cr_assert(gateway.submitted.empty());
  cr_assert(Submit(gateway, false) == 202);
  cr_assert(gateway.submitted.size() == 1);
}

// Guards against a split whose weights only live requests obey: jobs went to
// its first part, also with weight 0.
Test(gateway_api, jobs_follow_the_weights_of_a_split) {
  constexpr int kJobs = 200;
  FakeGateway moved({{"coach", 0}, {"tutor", 100}});
  FakeGateway split({{"coach", 75}, {"tutor", 25}});
  for (int i = 0; i < kJobs; ++i) {
    cr_assert_eq(Submit(moved, false, "job-" + std::to_string(i)), 202);
    cr_assert_eq(Submit(split, false, "job-" + std::to_string(i)), 202);
  }
  cr_assert_eq(moved.jobs_by_service["tutor"], kJobs);
  cr_assert_geq(split.jobs_by_service["tutor"], kJobs / 8);
  cr_assert_leq(split.jobs_by_service["tutor"], kJobs * 3 / 8);
}

// Guards against an overflow: a reader who may wait for long had to wait until
// the control instance gave up, or did not wait at all.
Test(gateway_api, a_reader_waits_for_a_second_at_most) {
  for (const char* wait_ms : {"1000", "9223372036855", "18446744073709551615",
                              "18446744073709551616"}) {
    FakeGateway gateway;
    boost::asio::io_context io;
    Spawn(io, [&](Yield yield) {
      HttpRequest request;
      request.method = "GET";
      request.path = "/v1/lots/9c41d07be2a35f68";
      request.query = "after=18446744073709551616";
      request.headers.Set("Wait-Ms", wait_ms);
      FakeExchange exchange(yield, std::move(request));
      platform::ServeGatewayCall(gateway, exchange);
    });
    io.run();
    cr_assert(gateway.last_read_wait == std::chrono::seconds(1), "%s", wait_ms);
    cr_assert_eq(gateway.last_read_after, UINT64_MAX);
  }
}

// Attempts of one submission may reach several gateways.
Test(gateway_api, a_job_that_is_submitted_again_goes_to_the_same_service) {
  FakeGateway first({{"coach", 1}, {"tutor", 1}});
  for (int i = 0; i < 20; ++i) {
    Submit(first, false);
  }
  cr_assert_eq(first.jobs_by_service.size(), 1);
}

}  // namespace limpethatch
