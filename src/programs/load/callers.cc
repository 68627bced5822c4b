#include "programs/load/callers.h"

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "programs/load/answer_check.h"

namespace limpethatch::load {
namespace {

constexpr Duration kOrderPause = std::chrono::milliseconds(100);
// A caller waits a little longer than the deadline it declares, to hear the
// refusal.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(500);
constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
constexpr uint64_t kStockItems = 1000;

enum Streams : uint64_t { kLookups = 1, kCompletions, kOrders, kResends };

void SleepUntil(boost::asio::io_context& io, Yield yield, TimePoint time) {
  boost::asio::steady_timer timer(io, time);
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

}  // namespace

Callers::Callers(boost::asio::io_context& io,
                 HttpClient& client,
                 Entries& entries,
                 const LoadOptions& options)
    : io_(io),
      client_(client),
      entries_(entries),
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

void Callers::StartArrivals(double rate, uint64_t stream, Request request) {
  if (rate <= 0) {
    return;
  }
  ++arrivals_open_;
  Spawn(io_, [this, rate, stream, request = std::move(request)](Yield yield) {
    std::mt19937_64 random(options_.seed * 16 + stream);
    Arrive(yield, rate, random, request);
    --arrivals_open_;
  });
}

double Callers::RateFactor(TimePoint now) const {
  const BurstOptions& burst = options_.burst;
  const Duration at = now - start_;
  return at >= burst.start && at < burst.start + burst.length ? burst.factor
                                                              : 1;
}

void Callers::Arrive(Yield yield,
                     double rate,
                     std::mt19937_64& random,
                     const Request& request) {
  TimePoint intended = start_;
  for (uint64_t number = 0;; ++number) {
    std::exponential_distribution<double> gap(rate * RateFactor(intended));
    intended += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    if (intended >= start_ + options_.duration) {
      return;
    }
    if (intended > Clock::now()) {
      SleepUntil(io_, yield, intended);
    }
    ++in_flight_;
    Spawn(io_, [this, request, number, intended](Yield own) {
      request(own, number, intended);
      --in_flight_;
    });
  }
}

HttpOutcome Callers::Send(Yield yield,
                          HttpRequest request,
                          TimePoint deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  request.headers.Set(kTimeoutHeader,
                      std::to_string(std::max<int64_t>(left.count(), 0)));
  HttpCallOptions call;
  call.deadline = deadline + kAnswerMargin;
  return entries_.Call(yield, request, call);
}

void Callers::Lookup(Yield yield, uint64_t number, TimePoint intended) {
  lookups_.Asked(intended);
  const std::string path = fmt::format("/stock/{}", number % kStockItems);
  HttpRequest request;
  request.path = "/svc/" + options_.lookups.service + path;
  const HttpOutcome outcome =
      Send(yield, std::move(request), intended + options_.deadline);
  lookups_.Ended(CheckLookup(outcome, path), intended, Clock::now());
}

void Callers::Complete(Yield yield, uint64_t number, TimePoint intended) {
  completions_.Asked(intended);
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
      Send(yield, request, intended + options_.deadline);
  completions_.Ended(
      CheckLiveCompletion(
          outcome, SyntheticKey(prompt, number), options_.lengths,
          static_cast<uint32_t>(options_.completion_max_tokens)),
      intended, Clock::now());
}

void Callers::Order(Yield yield, uint64_t number, TimePoint intended) {
  orders_.Asked(intended);
  const std::string key =
      fmt::format("{}order-{}-{}", options_.trainer.run, options_.seed, number);
  const Ending ending = SendOrder(yield, key, intended);
  orders_.Ended(ending, intended, Clock::now());
  order_check_.Told(key, ending);
  std::bernoulli_distribution again(options_.orders.resend_share);
  if (ending.verdict == Verdict::kAnswered && again(random_)) {
    order_check_.ResendTold(SendOrder(yield, key, Clock::now()));
  }
}

Ending Callers::SendOrder(Yield yield,
                          const std::string& key,
                          TimePoint intended) {
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
    Ending ending = CheckOrder(outcome, key);
    if (ending.verdict == Verdict::kAnswered ||
        ending.verdict == Verdict::kWrong ||
        Clock::now() >= intended + options_.orders.patience) {
      return ending;
    }
    SleepFor(yield, kOrderPause);
  }
}

bool Callers::CollectRuns(Yield yield) {
  bool complete = !options_.orders.targets.empty();
  for (const Endpoint& target : options_.orders.targets) {
    HttpRequest request;
    request.path = "/counts";
    const HttpOutcome outcome = client_.Call(yield, target, request, {});
    complete = outcome.progress == CallProgress::kAnswered &&
               order_check_.AddRuns(outcome.response.body) && complete;
  }
  return complete;
}

}  // namespace limpethatch::load
