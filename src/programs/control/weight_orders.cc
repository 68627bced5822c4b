#include "programs/control/weight_orders.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// An engine of which nothing was heard for so long is no longer planned for.
constexpr Duration kForgetAfter = std::chrono::seconds(10);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr int kAccepted = 202;

HttpRequest Encode(const LoadOrder& load, const Order& order, uint64_t number) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/orders";
  request.headers.Set("Content-Type", "application/json");
  request.body = fmt::format(
      R"({{"order":"load","term":{},"order_id":"{}-{}","version":{}}})",
      order.term, order.term, number, load.version);
  return request;
}

}  // namespace

WeightOrders::WeightOrders(boost::asio::io_context& io,
                           AddressTranslation translation,
                           MayOrder may_order)
    : io_(io),
      client_(io, HttpClientOptions{.translation = std::move(translation)}),
      may_order_(std::move(may_order)) {}

void WeightOrders::Reset() {
  planner_ = WeightPlanner();
  addresses_.clear();
  heard_at_.clear();
}

void WeightOrders::Declare(const std::string& pool,
                           uint64_t version,
                           uint32_t concurrent_loads) {
  planner_.Declare(pool, version, concurrent_loads);
}

void WeightOrders::Hear(const wire::EngineReport& report, TimePoint now) {
  Endpoint address;
  if (!ParseEndpoint(report.address(), &address)) {
    return;
  }
  addresses_[report.engine()] = address;
  heard_at_[report.engine()] = now;
  planner_.Report(report.engine(),
                  EngineReport{report.pool(), report.incarnation(),
                               report.version(), report.live_load()},
                  now);
  if (report.proven()) {
    const auto ago = std::chrono::milliseconds(report.proven_ms_ago());
    planner_.ObserveVersion(report.engine(), report.proven_version(), now - ago,
                            now);
  }
}

void WeightOrders::Tick(TimePoint now) {
  const std::optional<Order> order = may_order_(now);
  if (!order) {
    return;
  }
  std::erase_if(heard_at_, [&](const auto& entry) {
    const bool forgotten = now - entry.second > kForgetAfter;
    if (forgotten) {
      planner_.Remove(entry.first);
      addresses_.erase(entry.first);
    }
    return forgotten;
  });
  for (const LoadOrder& load : planner_.Plan(now)) {
    Spawn(io_, [this, load, given = *order](Yield yield) {
      Send(yield, load, given);
    });
  }
}

void WeightOrders::Send(Yield yield,
                        const LoadOrder& load,
                        const Order& order) {
  const auto address = addresses_.find(load.engine);
  if (address == addresses_.end()) {
    return;
  }
  HttpCallOptions options;
  options.deadline = order.deadline;
  options.connect_timeout = kConnectTimeout;
  options.fresh_connection = true;
  const HttpOutcome outcome =
      client_.Call(yield, Endpoint(address->second),
                   Encode(load, order, ++last_order_), options);
  const bool accepted = outcome.progress == CallProgress::kAnswered &&
                        outcome.response.status == kAccepted;
  // An order that may have arrived is settled by the engine's reports.
  if (outcome.progress == CallProgress::kNotSent ||
      (outcome.progress == CallProgress::kAnswered && !accepted)) {
    planner_.LoadFailed(load.engine, Clock::now());
  }
  Log(accepted ? LogLevel::kInfo : LogLevel::kWarning, "load_ordered",
      {{"engine", load.engine},
       {"version", load.version},
       {"term", order.term},
       {"accepted", accepted},
       {"error", outcome.error ? outcome.error.message() : ""}});
}

}  // namespace limpethatch
