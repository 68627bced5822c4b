#include "programs/control/weight_order_client.h"

#include <utility>

#include "limpethatch/process/log.h"
#include "platform/call_codec.h"
#include "platform/engine_codec.h"

namespace limpethatch {
namespace {

// Maximum size of an engine's answer to an order or a status query.
constexpr size_t kMaxAnswerBytes = 256UL * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Engines answer without delay. One that does not answer may still execute the
// order later, which shows in its order count.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(700);

const char* LogName(platform::OrderAnswer answer) {
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

WeightOrderClient::WeightOrderClient(boost::asio::io_context& io,
                                     std::string holder,
                                     EngineTable& engine_table,
                                     WeightRollout& rollout,
                                     GetOrderTerm get_order_term,
                                     OnLeaving on_leaving)
    : io_(io),
      holder_(std::move(holder)),
      engine_table_(engine_table),
      rollout_(rollout),
      get_order_term_(std::move(get_order_term)),
      on_leaving_(std::move(on_leaving)),
      client_(io, HttpClientOptions{}) {}

void WeightOrderClient::OrderLoad(const WeightLoad& load, bool finish_runs) {
  Spawn(io_, [this, load, finish_runs](Yield yield) {
    SendOrder(yield, load, finish_runs);
  });
}

void WeightOrderClient::CheckLeaving(const std::string& engine,
                                     uint64_t incarnation,
                                     const HttpResponse& response) {
  if (platform::SaysLeaving(response.status, response.headers)) {
    on_leaving_(engine, incarnation);
  }
}

bool WeightOrderClient::FetchOrderCount(Yield yield, const WeightLoad& load) {
  const EngineState* engine = engine_table_.Find(load.engine);
  if (!engine) {
    return false;
  }
  const uint64_t born_ms = engine->born_ms;
  if (const auto known = order_counts_.find(load.engine);
      known != order_counts_.end() && known->second.born_ms == born_ms) {
    return true;
  }
  HttpCallOptions options;
  options.max_body_bytes = kMaxAnswerBytes;
  options.deadline = Clock::now() + kResponseTimeout;
  options.connect_timeout = kConnectTimeout;
  const HttpOutcome outcome =
      client_.Call(yield, Endpoint(engine->address),
                   platform::EncodeStatusQuery(load.engine), options);
  CheckLeaving(load.engine, born_ms, outcome.response);
  const auto status = outcome.progress == CallProgress::kAnswered
                          ? platform::DecodeEngineStatus(outcome.response)
                          : std::nullopt;
  if (!status) {
    Log(LogLevel::kWarning, "engine_status_unknown",
        {{"target", load.engine},
         {"reason", outcome.error ? outcome.error.message() : "unreadable"}});
    return false;
  }
  order_counts_[load.engine] = {born_ms, status->orders};
  return true;
}

void WeightOrderClient::SendOrder(Yield yield,
                                  const WeightLoad& load,
                                  bool finish_runs) {
  if (!FetchOrderCount(yield, load)) {
    rollout_.OnNotAccepted(load, engine_table_, Clock::now());
    return;
  }
  const EngineState* engine = engine_table_.Find(load.engine);
  const uint64_t term = get_order_term_();
  if (!engine || term == 0 || term == fenced_term_) {
    rollout_.OnNotAccepted(load, engine_table_, Clock::now());
    return;
  }
  const uint64_t born_ms = engine->born_ms;
  const uint64_t order_count = order_counts_[load.engine].orders;
  const platform::WeightOrder order{load.model, load.version, finish_runs,
                                    holder_,    term,         order_count};
  HttpCallOptions options;
  options.max_body_bytes = kMaxAnswerBytes;
  options.deadline = Clock::now() + kResponseTimeout;
  options.connect_timeout = kConnectTimeout;
  const HttpOutcome outcome =
      client_.Call(yield, Endpoint(engine->address),
                   platform::EncodeWeightOrder(order, load.engine), options);
  CheckLeaving(load.engine, born_ms, outcome.response);
  const TimePoint now = Clock::now();
  if (outcome.progress != CallProgress::kAnswered) {
    ++lost_;
    order_counts_.erase(load.engine);
    rollout_.OnNotAccepted(load, engine_table_, now);
    Log(LogLevel::kWarning, "weights_order_unanswered",
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
       {"orders_before", order_count},
       {"outcome", LogName(answer)}});
  if (answer == platform::OrderAnswer::kAccepted) {
    ++accepted_;
    ++order_counts_[load.engine].orders;
    rollout_.OnAccepted(load, engine_table_, now);
  } else if (answer == platform::OrderAnswer::kAlreadyLoaded) {
    engine_table_.ConfirmVersion(load.engine, load.model, load.version);
    rollout_.OnAccepted(load, engine_table_, now);
  } else {
    if (answer == platform::OrderAnswer::kFenced) {
      fenced_term_ = term;  // A newer leader has issued orders.
    }
    order_counts_.erase(load.engine);
    rollout_.OnNotAccepted(load, engine_table_, now);
  }
}

}  // namespace limpethatch
