// Loads weight versions from the weight store into an engine.
#ifndef PROGRAMS_STANDIN_WEIGHT_LOADER_H_
#define PROGRAMS_STANDIN_WEIGHT_LOADER_H_

#include <cstdint>
#include <functional>
#include <random>

#include "limpethatch/connection/http_client.h"
#include "programs/standin/engine_loop.h"
#include "programs/standin/engine_options.h"

namespace limpethatch::standin {

// Simulates partial failures: after a load that fails partway, the engine
// announces the new version but generates with the old one until a later load
// succeeds.
class WeightLoader {
 public:
  WeightLoader(boost::asio::io_context& io,
               const EngineOptions& options,
               EngineLoop& loop,
               std::function<void()> on_change);

  // Starts loading `version` and cancels a load in progress. The fetch fails
  // after `time_limit`, unless that is zero.
  void Load(HttpClient& client, uint64_t version, Duration time_limit);

  uint64_t announced_version() const { return announced_version_; }
  // 0 if no load is in progress.
  uint64_t loading_version() const { return loading_version_; }
  uint64_t loads_done() const { return loads_done_; }
  uint64_t loads_failed() const { return loads_failed_; }

 private:
  void RunLoad(Yield yield,
               HttpClient& client,
               uint64_t version,
               TimePoint deadline);
  bool Fetch(Yield yield,
             HttpClient& client,
             uint64_t version,
             TimePoint deadline);
  void CompleteLoad(bool failed_partway, uint64_t version);

  boost::asio::io_context& io_;
  const EngineOptions& options_;
  EngineLoop& loop_;
  std::function<void()> on_change_;
  std::mt19937_64 random_;
  uint64_t announced_version_;
  uint64_t loading_version_ = 0;
  uint64_t attempt_ = 0;
  uint64_t loads_done_ = 0;
  uint64_t loads_failed_ = 0;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_WEIGHT_LOADER_H_
