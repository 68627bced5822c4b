#include "programs/control/pool_weight_manager.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// An engine is dropped after this time without a report.
constexpr Duration kReportTimeout = std::chrono::seconds(10);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr int kStatusAccepted = 202;

HttpRequest EncodeLoadOrder(const LoadOrder& load,
                            const Order& order,
                            uint64_t number) {
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

PoolWeightManager::PoolWeightManager(boost::asio::io_context& io,
                                     AddressTranslation translation,
                                     IssueOrder issue_order)
    : io_(io),
      client_(io, HttpClientOptions{.translation = std::move(translation)}),
      issue_order_(std::move(issue_order)) {}

void PoolWeightManager::Reset() {
  planner_ = WeightPlanner();
  addresses_.clear();
  last_report_at_.clear();
}

void PoolWeightManager::Declare(const std::string& pool,
                                uint64_t version,
                                uint32_t concurrent_loads) {
  planner_.Declare(pool, version, concurrent_loads);
}

void PoolWeightManager::OnReport(const wire::EngineReport& report,
                                 TimePoint now) {
  Endpoint address;
  if (!ParseEndpoint(report.address(), &address)) {
    return;
  }
  addresses_[report.engine()] = address;
  last_report_at_[report.engine()] = now;
  planner_.Report(report.engine(),
                  EngineReport{report.pool(), report.incarnation(),
                               report.version(), report.live_load()},
                  now);
  if (report.proven()) {
    const Duration ago =
        BoundedTime<std::chrono::milliseconds>(report.proven_ms_ago());
    planner_.ObserveVersion(report.engine(), report.proven_version(), now - ago,
                            now);
  }
}

void PoolWeightManager::Tick(TimePoint now) {
  const std::optional<Order> order = issue_order_(now);
  if (!order) {
    return;
  }
  std::erase_if(last_report_at_, [&](const auto& entry) {
    const bool expired = now - entry.second > kReportTimeout;
    if (expired) {
      planner_.Remove(entry.first);
      addresses_.erase(entry.first);
    }
    return expired;
  });
  for (const LoadOrder& load : planner_.Plan(now)) {
    Spawn(io_, [this, load, issued = *order](Yield yield) {
      SendOrder(yield, load, issued);
    });
  }
}

void PoolWeightManager::SendOrder(Yield yield,
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
                   EncodeLoadOrder(load, order, ++last_order_number_), options);
  const bool accepted = outcome.progress == CallProgress::kAnswered &&
                        outcome.response.status == kStatusAccepted;
  // If the order may have arrived, its result follows from the engine's
  // reports.
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
