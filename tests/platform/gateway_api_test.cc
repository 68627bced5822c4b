#include "platform/gateway_api.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/connection/yield.h"
#include "platform/fake_exchange.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// Has one route, for batch jobs.
class FakeGateway : public GatewayInterface {
 public:
  FakeGateway() {
    wire::FleetConfiguration configuration;
    configuration.set_version(1);
    wire::Route& route = *configuration.add_routes();
    route.set_name("steps");
    route.set_host("shop.example");
    route.set_path_prefix("/steps/");
    route.set_kind(wire::ROUTE_JOBS);
    route.add_services()->set_service("coach");
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
    return {ChangeOutcome::kDone};
  }
  JobChange EndJob(Yield, const std::string&, const std::string&) override {
    return {ChangeOutcome::kDone};
  }
  std::optional<wire::JobPage> ReadJob(Yield,
                                       const std::string&,
                                       const std::string&,
                                       uint64_t,
                                       Duration) override {
    return std::nullopt;
  }
  std::optional<wire::JobBody> ReadBody(Yield,
                                        const std::string&,
                                        const std::string&,
                                        const std::string&) override {
    return std::nullopt;
  }

  std::vector<std::string> submitted;

 private:
  RouteTablePtr routes_;
};

// Submits a batch job and returns the status of the answer.
int Submit(FakeGateway& gateway, bool caller_disconnected) {
  boost::asio::io_context io;
  int status = 0;
  Spawn(io, [&](Yield yield) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/steps/1";
    request.headers.Set("Host", "shop.example");
    request.headers.Set("Request-Attempt-Id", "9c41d07be2a35f68");
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

}  // namespace limpethatch
