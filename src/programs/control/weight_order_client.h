// Sends engines the orders to load weights.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_WEIGHT_ORDER_CLIENT_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_WEIGHT_ORDER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/version/engine_table.h"
#include "limpethatch/version/weight_rollout.h"

namespace limpethatch {

class WeightOrderClient {
 public:
  // Returns the leader's term if this process may issue orders now, else 0.
  using GetOrderTerm = std::function<uint64_t()>;
  // Called when an engine says in an answer that it is leaving.
  using OnLeaving =
      std::function<void(const std::string& engine, uint64_t incarnation)>;

  WeightOrderClient(boost::asio::io_context& io,
                    std::string holder,
                    EngineTable& engine_table,
                    WeightRollout& rollout,
                    GetOrderTerm get_order_term,
                    OnLeaving on_leaving);

  // Starts to send an order; its result is passed to the rollout.
  void OrderLoad(const WeightLoad& load, bool finish_runs);
  // Discards the order counts that engines reported.
  void Reset() { order_counts_.clear(); }

  uint64_t accepted() const { return accepted_; }
  uint64_t lost() const { return lost_; }

 private:
  struct OrderCount {
    uint64_t born_ms = 0;  // Start of the engine, whose count begins at 0.
    uint64_t orders = 0;   // Number of orders that the engine has accepted.
  };

  void SendOrder(Yield yield, const WeightLoad& load, bool finish_runs);
  // Reads from an answer whether the engine is leaving.
  void CheckLeaving(const std::string& engine,
                    uint64_t incarnation,
                    const HttpResponse& response);
  // Queries how many orders the engine has accepted, unless that is known.
  // Returns false if the engine is gone or did not answer.
  bool FetchOrderCount(Yield yield, const WeightLoad& load);

  boost::asio::io_context& io_;
  const std::string holder_;
  EngineTable& engine_table_;
  WeightRollout& rollout_;
  GetOrderTerm get_order_term_;
  OnLeaving on_leaving_;
  HttpClient client_;
  std::map<std::string, OrderCount> order_counts_;  // By engine.
  // An engine refused this term as older than a later leader's, so that no more
  // orders are sent in it.
  uint64_t fenced_term_ = 0;
  uint64_t accepted_ = 0;
  uint64_t lost_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_WEIGHT_ORDER_CLIENT_H_
