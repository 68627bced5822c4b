// Live callers: seeded open-loop arrivals. Every answer is checked.
#ifndef PROGRAMS_LOAD_CALLERS_H_
#define PROGRAMS_LOAD_CALLERS_H_

#include <functional>
#include <random>
#include <string>

#include "programs/load/entry_balancer.h"
#include "programs/load/options.h"
#include "programs/load/order_check.h"
#include "programs/load/request_stats.h"

namespace limpethatch::load {

// Not thread-safe.
class Callers {
 public:
  Callers(boost::asio::io_context& io,
          HttpClient& client,
          EntryBalancer& balancer,
          const LoadOptions& options);

  void Start();
  // True once all arrivals have ended and no request is in flight.
  bool done() const { return active_arrival_streams_ == 0 && in_flight_ == 0; }
  // Fetches from the targets how often each order ran; false if there are no
  // targets or one does not answer.
  bool FetchOrderRuns(Yield yield);

  const RequestStats& lookups() const { return lookups_; }
  const RequestStats& completions() const { return completions_; }
  const RequestStats& orders() const { return orders_; }
  const OrderCheck& order_check() const { return order_check_; }

 private:
  // Sends one request, given its number and its scheduled start.
  using RequestFunction = std::function<
      void(Yield yield, uint64_t number, TimePoint intended_start)>;

  void StartArrivals(double rate, uint64_t stream, RequestFunction request);
  void GenerateArrivals(Yield yield,
                        double rate,
                        std::mt19937_64& random,
                        const RequestFunction& request);
  double RateFactor(TimePoint now) const;
  void Lookup(Yield yield, uint64_t number, TimePoint intended_start);
  void Complete(Yield yield, uint64_t number, TimePoint intended_start);
  void Order(Yield yield, uint64_t number, TimePoint intended_start);
  // Sends until the order is answered or the retry time (`patience`) is over.
  CallResult SendOrder(Yield yield,
                       const std::string& key,
                       TimePoint intended_start);
  HttpOutcome Send(Yield yield, HttpRequest request, TimePoint deadline);

  boost::asio::io_context& io_;
  HttpClient& client_;
  EntryBalancer& balancer_;
  const LoadOptions& options_;
  const TimePoint start_;
  std::mt19937_64 random_;
  RequestStats lookups_;
  RequestStats completions_;
  RequestStats orders_;
  OrderCheck order_check_;
  size_t active_arrival_streams_ = 0;
  size_t in_flight_ = 0;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_CALLERS_H_
