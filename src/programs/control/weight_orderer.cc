#include "programs/control/weight_orderer.h"

#include <utility>

#include "limpethatch/process/log.h"
#include "platform/engine_codec.h"

namespace limpethatch {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// An engine answers at once; one that doesn't may take the order later, which
// its count of orders then tells.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(700);

const char* Name(platform::OrderAnswer answer) {
  switch (answer) {
    case platform::OrderAnswer::kAccepted:
      return "accepted";
    case platform::OrderAnswer::kAlreadyLoaded:
      return "holds_already";
    case platform::OrderAnswer::kBusy:
      return "busy";
    case platform::OrderAnswer::kFenced:
      return "fenced";
    case platform::OrderAnswer::kRefused:
      return "refused";
  }
  return "unknown";
}

}  // namespace

WeightOrderer::WeightOrderer(boost::asio::io_context& io,
                             std::string holder,
                             EngineTable& engine_table,
                             WeightRollout& rollout,
                             MayOrder may_order)
    : io_(io),
      holder_(std::move(holder)),
      engine_table_(engine_table),
      rollout_(rollout),
      may_order_(std::move(may_order)),
      client_(io, HttpClientOptions{}) {}

void WeightOrderer::Order(const WeightLoad& load, bool finish_runs) {
  Spawn(io_, [this, load, finish_runs](Yield yield) {
    Send(yield, load, finish_runs);
  });
}

bool WeightOrderer::LearnTaken(Yield yield, const WeightLoad& load) {
  const EngineState* engine = engine_table_.Find(load.engine);
  if (!engine) {
    return false;
  }
  const uint64_t born = engine->born_ms;
  if (const auto known = orders_taken_.find(load.engine);
      known != orders_taken_.end() && known->second.born_ms == born) {
    return true;
  }
  HttpCallOptions options;
  options.deadline = Clock::now() + kAnswerTimeout;
  options.connect_timeout = kConnectTimeout;
  const HttpOutcome outcome =
      client_.Call(yield, Endpoint(engine->address),
                   platform::EncodeStatusQuery(load.engine), options);
  const auto status = outcome.progress == CallProgress::kAnswered
                          ? platform::DecodeEngineStatus(outcome.response)
                          : std::nullopt;
  if (!status) {
    Log(LogLevel::kWarning, "engine_status_unknown",
        {{"target", load.engine},
         {"reason", outcome.error ? outcome.error.message() : "unreadable"}});
    return false;
  }
  orders_taken_[load.engine] = {born, status->orders};
  return true;
}

void WeightOrderer::Send(Yield yield,
                         const WeightLoad& load,
                         bool finish_runs) {
  if (!LearnTaken(yield, load)) {
    rollout_.OnNotAccepted(load, engine_table_, Clock::now());
    return;
  }
  const EngineState* engine = engine_table_.Find(load.engine);
  const uint64_t term = may_order_();
  if (!engine || term == 0 || term == fenced_term_) {
    rollout_.OnNotAccepted(load, engine_table_, Clock::now());
    return;
  }
  const uint64_t taken = orders_taken_[load.engine].orders;
  const platform::WeightOrder order{load.model, load.version, finish_runs,
                                    holder_,    term,         taken};
  HttpCallOptions options;
  options.deadline = Clock::now() + kAnswerTimeout;
  options.connect_timeout = kConnectTimeout;
  const HttpOutcome outcome =
      client_.Call(yield, Endpoint(engine->address),
                   platform::EncodeWeightOrder(order, load.engine), options);
  const TimePoint now = Clock::now();
  if (outcome.progress != CallProgress::kAnswered) {
    ++lost_;
    orders_taken_.erase(load.engine);
    rollout_.OnNotAccepted(load, engine_table_, now);
    Log(LogLevel::kWarning, "weights_order_lost",
        {{"target", load.engine},
         {"model", load.model},
         {"weights", load.version},
         {"term", term},
         {"reason", outcome.error.message()}});
    return;
  }
  const platform::OrderAnswer answer =
      platform::DecodeOrderAnswer(outcome.response.status);
  Log(LogLevel::kInfo, "weights_ordered",
      {{"target", load.engine},
       {"model", load.model},
       {"weights", load.version},
       {"term", term},
       {"orders_before", taken},
       {"outcome", Name(answer)}});
  if (answer == platform::OrderAnswer::kAccepted) {
    ++accepted_;
    ++orders_taken_[load.engine].orders;
    rollout_.OnAccepted(load, engine_table_, now);
  } else if (answer == platform::OrderAnswer::kAlreadyLoaded) {
    engine_table_.ConfirmVersion(load.engine, load.model, load.version);
    rollout_.OnAccepted(load, engine_table_, now);
  } else {
    if (answer == platform::OrderAnswer::kFenced) {
      fenced_term_ = term;  // A newer leader gives the orders.
    }
    orders_taken_.erase(load.engine);
    rollout_.OnNotAccepted(load, engine_table_, now);
  }
}

}  // namespace limpethatch
