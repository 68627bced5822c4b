#include "programs/load/entry_balancer.h"

#include <utility>

namespace limpethatch::load {
namespace {

constexpr Duration kReadinessInterval = std::chrono::milliseconds(200);
constexpr Duration kReadinessTimeout = std::chrono::milliseconds(300);

}  // namespace

EntryBalancer::EntryBalancer(boost::asio::io_context& io,
                             HttpClient& client,
                             std::vector<Endpoint> entries,
                             const std::vector<Endpoint>& readiness)
    : client_(client),
      entries_(std::move(entries)),
      readiness_(readiness.empty() ? entries_ : readiness),
      ready_(entries_.size(), true) {
  for (size_t i = 0; i < entries_.size(); ++i) {
    Spawn(io, [this, i](Yield yield) { PollReadiness(yield, i); });
  }
}

const Endpoint& EntryBalancer::NextInstance() {
  for (size_t i = 0; i < entries_.size(); ++i) {
    next_ = (next_ + 1) % entries_.size();
    if (ready_[next_]) {
      return entries_[next_];
    }
  }
  next_ = (next_ + 1) % entries_.size();
  return entries_[next_];
}

HttpOutcome EntryBalancer::Call(Yield yield,
                                const HttpRequest& request,
                                const HttpCallOptions& options) {
  HttpOutcome outcome;
  for (size_t i = 0; i < entries_.size(); ++i) {
    outcome = client_.Call(yield, NextInstance(), request, options);
    if (outcome.progress != CallProgress::kNotSent) {
      return outcome;
    }
  }
  return outcome;
}

void EntryBalancer::PollReadiness(Yield yield, size_t index) {
  HttpRequest request;
  request.path = "/readyz";
  while (true) {
    HttpCallOptions options;
    options.deadline = Clock::now() + kReadinessTimeout;
    const HttpOutcome outcome =
        client_.Call(yield, readiness_[index], request, options);
    ready_[index] = outcome.progress == CallProgress::kAnswered &&
                    outcome.response.status == 200;
    SleepFor(yield, kReadinessInterval);
  }
}

}  // namespace limpethatch::load
