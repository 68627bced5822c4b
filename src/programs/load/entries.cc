#include "programs/load/entries.h"

#include <utility>

namespace limpethatch::load {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
constexpr Duration kCheckTimeout = std::chrono::milliseconds(300);

}  // namespace

Entries::Entries(boost::asio::io_context& io,
                 HttpClient& client,
                 std::vector<Endpoint> entries,
                 const std::vector<Endpoint>& readiness)
    : client_(client),
      entries_(std::move(entries)),
      readiness_(readiness.empty() ? entries_ : readiness),
      ready_(entries_.size(), true) {
  for (size_t i = 0; i < entries_.size(); ++i) {
    Spawn(io, [this, i](Yield yield) { Watch(yield, i); });
  }
}

const Endpoint& Entries::Next() {
  for (size_t i = 0; i < entries_.size(); ++i) {
    next_ = (next_ + 1) % entries_.size();
    if (ready_[next_]) {
      return entries_[next_];
    }
  }
  next_ = (next_ + 1) % entries_.size();
  return entries_[next_];
}

HttpOutcome Entries::Call(Yield yield,
                          const HttpRequest& request,
                          const HttpCallOptions& options) {
  HttpOutcome outcome;
  for (size_t i = 0; i < entries_.size(); ++i) {
    outcome = client_.Call(yield, Next(), request, options);
    if (outcome.progress != CallProgress::kNotSent) {
      return outcome;
    }
  }
  return outcome;
}

void Entries::Watch(Yield yield, size_t index) {
  HttpRequest request;
  request.path = "/readyz";
  while (true) {
    HttpCallOptions options;
    options.deadline = Clock::now() + kCheckTimeout;
    const HttpOutcome outcome =
        client_.Call(yield, readiness_[index], request, options);
    ready_[index] = outcome.progress == CallProgress::kAnswered &&
                    outcome.response.status == 200;
    SleepFor(yield, kCheckInterval);
  }
}

}  // namespace limpethatch::load
