// Orders engines to load the weights that their pool is declared to run.
//
// Only the leader issues orders, within its lease. Each order carries the term
// as its fencing token and is sent on a new connection; it is sent only if the
// request can start before the lease ends.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_POOL_WEIGHT_MANAGER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_POOL_WEIGHT_MANAGER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "control.pb.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/process/order_lease.h"
#include "limpethatch/version/weight_planner.h"

namespace limpethatch {

class PoolWeightManager {
 public:
  // Returns the fencing token and deadline for orders; nullopt if none may be
  // issued now.
  using IssueOrder = std::function<std::optional<Order>(TimePoint now)>;

  PoolWeightManager(boost::asio::io_context& io,
                    AddressTranslation translation,
                    IssueOrder issue_order);

  // Discards all state, as on a change of leader.
  void Reset();
  void Declare(const std::string& pool,
               uint64_t version,
               uint32_t concurrent_loads);
  void OnReport(const wire::EngineReport& report, TimePoint now);
  // Sends the orders that are due, if this replica may issue orders.
  void Tick(TimePoint now);

  std::vector<std::string> OutdatedEngines(const std::string& pool) const {
    return planner_.OutdatedEngines(pool);
  }

 private:
  void SendOrder(Yield yield, const LoadOrder& load, const Order& order);

  boost::asio::io_context& io_;
  HttpClient client_;
  const IssueOrder issue_order_;
  WeightPlanner planner_;
  std::map<std::string, Endpoint> addresses_;
  std::map<std::string, TimePoint> last_report_at_;
  uint64_t last_order_number_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_POOL_WEIGHT_MANAGER_H_
