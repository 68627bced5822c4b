// Request counters and latency histograms of a gateway.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Latencies of the calls on one route.
struct LatencyHistogram {
  // Inclusive upper bounds of the buckets; the last bucket is unbounded.
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

// Not synchronised; used on the gateway's thread only.
class GatewayMetrics {
 public:
  // Records an answer with `status` to a live call on `route`. Status 0 means
  // that the caller disconnected before the answer.
  void RecordAnswer(const std::string& route, int status, Duration latency);
  void CountTargetCall() { ++target_calls_; }
  void CountHedge() { ++hedges_; }
  void CountRelayedCall() { ++relayed_calls_; }
  void CountCallForGateway() { ++calls_for_gateways_; }
  // A permit for a target with a rate limit was denied or not to be had.
  void CountPermitDenied() { ++permits_denied_; }
  void CountRefusal(const std::string& reason) { ++refusals_[reason]; }
  void CountJobCall(const std::string& call) { ++job_calls_[call]; }

  // The metrics in the Prometheus text format.
  std::string Text(uint64_t configuration_version,
                   size_t targets,
                   bool has_quorum_contact) const;

 private:
  std::map<std::string, LatencyHistogram> latencies_;  // Keyed by route.
  std::map<int, uint64_t> answers_;                    // Keyed by status.
  std::map<std::string, uint64_t> refusals_;           // Keyed by reason.
  std::map<std::string, uint64_t> job_calls_;          // Keyed by call.
  uint64_t target_calls_ = 0;
  uint64_t hedges_ = 0;
  uint64_t relayed_calls_ = 0;
  uint64_t calls_for_gateways_ = 0;
  uint64_t permits_denied_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_
