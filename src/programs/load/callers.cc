#include "programs/load/callers.h"

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "programs/load/answer_check.h"

namespace limpethatch::load {
namespace {

constexpr Duration kOrderRetryDelay = std::chrono::milliseconds(100);
// Callers wait this much longer than the deadline they declare, so that they
// receive the refusal.
constexpr Duration kResponseMargin = std::chrono::milliseconds(500);
constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
constexpr uint64_t kStockItems = 1000;

enum RandomStream : uint64_t { kLookups = 1, kCompletions, kOrders, kResends };

void SleepUntil(boost::asio::io_context& io, Yield yield, TimePoint time) {
  boost::asio::steady_timer timer(io, time);
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

}  // namespace

Callers::Callers(boost::asio::io_context& io,
                 HttpClient& client,
                 EntryBalancer& balancer,
                 const LoadOptions& options)
    : io_(io),
      client_(client),
      balancer_(balancer),
      options_(options),
      start_(Clock::now()),
      random_(options.seed * 16 + kResends),
      lookups_(start_),
      completions_(start_),
      orders_(start_) {}

void Callers::Start() {
  StartArrivals(options_.lookups.rate, kLookups,
                [this](auto... arguments) { Lookup(arguments...); });
  StartArrivals(options_.completions.rate, kCompletions,
                [this](auto... arguments) { Complete(arguments...); });
  StartArrivals(options_.orders.caller.rate, kOrders,
                [this](auto... arguments) { Order(arguments...); });
}

void Callers::StartArrivals(double rate,
                            uint64_t stream,
                            RequestFunction request) {
  if (rate <= 0) {
    return;
  }
  ++active_arrival_streams_;
  Spawn(io_, [this, rate, stream, request = std::move(request)](Yield yield) {
    std::mt19937_64 random(options_.seed * 16 + stream);
    GenerateArrivals(yield, rate, random, request);
    --active_arrival_streams_;
  });
}

double Callers::RateFactor(TimePoint now) const {
  const BurstOptions& burst = options_.burst;
  const Duration at = now - start_;
  return at >= burst.start && at < burst.start + burst.length ? burst.factor
                                                              : 1;
}

void Callers::GenerateArrivals(Yield yield,
                               double rate,
                               std::mt19937_64& random,
                               const RequestFunction& request) {
  TimePoint intended_start = start_;
  for (uint64_t number = 0;; ++number) {
    std::exponential_distribution<double> gap(rate *
                                              RateFactor(intended_start));
    intended_start += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    if (intended_start >= start_ + options_.duration) {
      return;
    }
    if (intended_start > Clock::now()) {
      SleepUntil(io_, yield, intended_start);
    }
    ++in_flight_;
    Spawn(io_, [this, request, number, intended_start](Yield child_yield) {
      request(child_yield, number, intended_start);
      --in_flight_;
    });
  }
}

HttpOutcome Callers::Send(Yield yield,
                          HttpRequest request,
                          TimePoint deadline) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  request.headers.Set(kTimeoutHeader,
                      std::to_string(std::max<int64_t>(remaining.count(), 0)));
  HttpCallOptions call;
  call.deadline = deadline + kResponseMargin;
  return balancer_.Call(yield, request, call);
}

void Callers::Lookup(Yield yield, uint64_t number, TimePoint intended_start) {
  lookups_.RecordRequest(intended_start);
  const std::string path = fmt::format("/stock/{}", number % kStockItems);
  HttpRequest request;
  request.path = "/svc/" + options_.lookups.service + path;
  const HttpOutcome outcome =
      Send(yield, std::move(request), intended_start + options_.deadline);
  lookups_.RecordResult(CheckLookup(outcome, path), intended_start,
                        Clock::now());
}

void Callers::Complete(Yield yield, uint64_t number, TimePoint intended_start) {
  completions_.RecordRequest(intended_start);
  const std::string prompt = fmt::format("A caller of {} asks question {}.",
                                         options_.completions.service, number);
  const boost::json::object body = {
      {"model", options_.completions.service},
      {"prompt", prompt},
      {"seed", number},
      {"max_tokens", options_.completion_max_tokens},
      {"stream", true}};
  const HttpRequest request{
      "POST", "/v1/completions", "", {}, boost::json::serialize(body)};
  const HttpOutcome outcome =
      Send(yield, request, intended_start + options_.deadline);
  completions_.RecordResult(
      CheckLiveCompletion(
          outcome, SyntheticKey(prompt, number), options_.lengths,
          static_cast<uint32_t>(options_.completion_max_tokens)),
      intended_start, Clock::now());
}

void Callers::Order(Yield yield, uint64_t number, TimePoint intended_start) {
  orders_.RecordRequest(intended_start);
  const std::string key =
      fmt::format("{}order-{}-{}", options_.trainer.run, options_.seed, number);
  const CallResult result = SendOrder(yield, key, intended_start);
  orders_.RecordResult(result, intended_start, Clock::now());
  order_check_.RecordResult(key, result);
  std::bernoulli_distribution resend(options_.orders.resend_share);
  if (result.verdict == Verdict::kAnswered && resend(random_)) {
    order_check_.RecordResendResult(SendOrder(yield, key, Clock::now()));
  }
}

CallResult Callers::SendOrder(Yield yield,
                              const std::string& key,
                              TimePoint intended_start) {
  HttpRequest request{"POST",
                      "/svc/" + options_.orders.caller.service + "/orders",
                      "",
                      {},
                      R"({"id":")" + key + R"("})"};
  request.headers.Set("Idempotency-Key", key);
  request.headers.Set("Content-Type", "application/json");
  while (true) {
    const HttpOutcome outcome =
        Send(yield, request, Clock::now() + options_.deadline);
    CallResult result = CheckOrder(outcome, key);
    if (result.verdict == Verdict::kAnswered ||
        result.verdict == Verdict::kWrong ||
        Clock::now() >= intended_start + options_.orders.patience) {
      return result;
    }
    SleepFor(yield, kOrderRetryDelay);
  }
}

bool Callers::FetchOrderRuns(Yield yield) {
  bool complete = !options_.orders.targets.empty();
  for (const Endpoint& target : options_.orders.targets) {
    HttpRequest request;
    request.path = "/counts";
    const HttpOutcome outcome = client_.Call(yield, target, request, {});
    complete = outcome.progress == CallProgress::kAnswered &&
               order_check_.AddRunCounts(outcome.response.body) && complete;
  }
  return complete;
}

}  // namespace limpethatch::load
