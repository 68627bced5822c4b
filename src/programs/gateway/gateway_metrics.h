// Counters and latencies of a gateway.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// How long calls of one route took, in buckets.
struct LatencyHistogram {
  // Upper bounds of the buckets; the last bucket has none.
  static constexpr std::array<Duration, 8> kBounds{
      std::chrono::milliseconds(5),   std::chrono::milliseconds(10),
      std::chrono::milliseconds(25),  std::chrono::milliseconds(50),
      std::chrono::milliseconds(100), std::chrono::milliseconds(250),
      std::chrono::milliseconds(500), std::chrono::milliseconds(1000)};

  std::array<uint64_t, kBounds.size() + 1> counts{};
  uint64_t total = 0;
  Duration sum{};

  void Add(Duration latency);
};

class GatewayMetrics {
 public:
  // A live call on `route` was answered with `status`; 0: its caller left.
  void RecordAnswer(const std::string& route, int status, Duration latency);
  void CountTargetCall() { ++target_calls_; }
  void CountHedge() { ++hedges_; }
  void CountRefusal(const std::string& reason) { ++refusals_[reason]; }
  void CountJobCall(const std::string& call) { ++job_calls_[call]; }

  std::string Text(uint64_t configuration_version,
                   size_t targets,
                   bool has_quorum_contact) const;

 private:
  std::map<std::string, LatencyHistogram> latencies_;  // By route.
  std::map<int, uint64_t> answers_;                    // By status.
  std::map<std::string, uint64_t> refusals_;           // By reason.
  std::map<std::string, uint64_t> job_calls_;          // By call.
  uint64_t target_calls_ = 0;
  uint64_t hedges_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_
