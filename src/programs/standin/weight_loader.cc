#include "programs/standin/weight_loader.h"

#include <fmt/format.h>

#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch::standin {

WeightLoader::WeightLoader(boost::asio::io_context& io,
                           const EngineOptions& options,
                           EngineLoop& loop,
                           std::function<void()> on_change)
    : io_(io),
      options_(options),
      loop_(loop),
      on_change_(std::move(on_change)),
      random_(options.seed),
      announced_version_(options.version) {}

void WeightLoader::Load(HttpClient& client,
                        uint64_t version,
                        Duration time_limit) {
  const TimePoint deadline = time_limit == Duration::zero()
                                 ? TimePoint::max()
                                 : Clock::now() + time_limit;
  ++attempt_;
  loading_version_ = version;
  Spawn(io_, [this, &client, version, deadline](Yield yield) {
    RunLoad(yield, client, version, deadline);
  });
}

void WeightLoader::RunLoad(Yield yield,
                           HttpClient& client,
                           uint64_t version,
                           TimePoint deadline) {
  const uint64_t attempt = attempt_;
  const bool fetched = Fetch(yield, client, version, deadline);
  if (attempt != attempt_) {
    return;
  }
  if (!fetched) {
    ++loads_failed_;
    loading_version_ = 0;
    Log(LogLevel::kWarning, "weights_not_fetched", {{"weights", version}});
    return;
  }
  const bool swap_fails =
      std::bernoulli_distribution(options_.swap_failure_rate)(random_);
  loop_.SetPaused(true);
  SleepFor(yield, options_.load_time);
  if (attempt != attempt_) {
    loop_.SetPaused(false);
    return;
  }
  CompleteLoad(swap_fails, version);
}

bool WeightLoader::Fetch(Yield yield,
                         HttpClient& client,
                         uint64_t version,
                         TimePoint deadline) {
  if (options_.weights_store.host.empty()) {
    return true;
  }
  HttpRequest request;
  request.path = fmt::format("/weights/{}/{}", options_.pool, version);
  HttpCallOptions call;
  call.deadline = deadline;
  call.progress_timeout = std::chrono::minutes(5);  // The store may queue it.
  const HttpOutcome outcome =
      client.Call(yield, options_.weights_store, request, call);
  return outcome.progress == CallProgress::kAnswered &&
         outcome.response.status == 200;
}

void WeightLoader::CompleteLoad(bool failed_partway, uint64_t version) {
  if (failed_partway) {
    ++loads_failed_;
  } else {
    ++loads_done_;
    loop_.SetVersion(version);
  }
  announced_version_ = version;
  loading_version_ = 0;
  loop_.SetPaused(false);
  Log(LogLevel::kInfo, failed_partway ? "swap_failed" : "weights_loaded",
      {{"weights", version}});
  on_change_();
}

}  // namespace limpethatch::standin
