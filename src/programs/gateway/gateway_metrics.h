// Request counters and latency histograms of a gateway.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/latency_histogram.h"
#include "programs/gateway/hedge_permits.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only.
class GatewayMetrics {
 public:
  // Records an answer with `status` to a live call on `route`. Status 0 means
  // that the caller disconnected before the answer.
  void RecordAnswer(const std::string& route, int status, Duration latency);
  void CountTargetCall() { ++target_calls_; }
  void CountHedge() { ++hedges_; }
  void CountRetry() { ++retries_; }
  void CountRelayedCall() { ++relayed_calls_; }
  void CountCallForGateway() { ++calls_for_gateways_; }
  // A permit for a target with a rate limit was denied or not to be had.
  void CountPermitDenied() { ++permits_denied_; }
  void CountTargetProbe() { ++target_probes_; }
  // A target stated a load that is malformed or out of bounds.
  void CountImplausibleLoad() { ++implausible_loads_; }
  void CountRefusal(const std::string& reason) { ++refusals_[reason]; }
  void CountJobCall(const std::string& call) { ++job_calls_[call]; }

  // The metrics in the Prometheus text format.
  std::string Text(uint64_t configuration_version,
                   size_t targets,
                   bool has_quorum_contact,
                   const HedgePermits& hedges) const;

 private:
  std::map<std::string, LatencyHistogram> latencies_;  // Keyed by route.
  std::map<int, uint64_t> answers_;                    // Keyed by status.
  std::map<std::string, uint64_t> refusals_;           // Keyed by reason.
  std::map<std::string, uint64_t> job_calls_;          // Keyed by call.
  uint64_t target_calls_ = 0;
  uint64_t hedges_ = 0;
  uint64_t retries_ = 0;
  uint64_t relayed_calls_ = 0;
  uint64_t calls_for_gateways_ = 0;
  uint64_t permits_denied_ = 0;
  uint64_t implausible_loads_ = 0;
  uint64_t target_probes_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_METRICS_H_
