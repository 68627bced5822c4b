#include "programs/gateway/gateway_metrics.h"

#include "limpethatch/process/metrics_text.h"

namespace limpethatch {
void GatewayMetrics::RecordAnswer(const std::string& route,
                                  int status,
                                  Duration latency) {
  ++answers_[status];
  latencies_[route].Add(latency);
}

std::string GatewayMetrics::Text(uint64_t configuration_version,
                                 size_t targets,
                                 bool has_quorum_contact,
                                 const HedgePermits& hedges) const {
  MetricsText text;
  text.Single("limpethatch_configuration_version", MetricType::kGauge,
              "Configuration in force here; 0: none yet.",
              static_cast<double>(configuration_version));
  text.Single("limpethatch_targets", MetricType::kGauge, "Targets known.",
              static_cast<double>(targets));
  text.Single("limpethatch_in_touch", MetricType::kGauge,
              "1 while control with a quorum is heard.",
              has_quorum_contact ? 1 : 0);
  text.Single("limpethatch_target_calls_total", MetricType::kCounter,
              "Calls sent to targets.", static_cast<double>(target_calls_));
  text.Single("limpethatch_hedges_total", MetricType::kCounter,
              "Second calls while a first one was open.",
              static_cast<double>(hedges_));
  if (hedges.enabled()) {
    text.Single("limpethatch_retries_total", MetricType::kCounter,
                "Further calls after all earlier ones had failed.",
                static_cast<double>(retries_));
    hedges.WriteMetrics(&text);
  }
  text.Single("limpethatch_relayed_calls_total", MetricType::kCounter,
              "Calls handed to another gateway.",
              static_cast<double>(relayed_calls_));
  text.Single("limpethatch_calls_for_gateways_total", MetricType::kCounter,
              "Calls served for other gateways.",
              static_cast<double>(calls_for_gateways_));
  text.Single("limpethatch_permits_denied_total", MetricType::kCounter,
              "Requests not sent to a target because of its rate limit.",
              static_cast<double>(permits_denied_));
  text.Single("limpethatch_target_probes_total", MetricType::kCounter,
              "Requests to targets for their load.",
              static_cast<double>(target_probes_));
  text.Single("limpethatch_implausible_loads_total", MetricType::kCounter,
              "Loads stated by targets that were malformed or bounded.",
              static_cast<double>(implausible_loads_));
  text.Family("limpethatch_answers_total", MetricType::kCounter,
              "Answers to live requests by status; 0: the caller left.");
  for (const auto& [status, count] : answers_) {
    text.Sample({{"status", std::to_string(status)}},
                static_cast<double>(count));
  }
  text.Family("limpethatch_refusals_total", MetricType::kCounter,
              "Live requests refused or given up, by reason.");
  for (const auto& [reason, count] : refusals_) {
    text.Sample({{"reason", reason}}, static_cast<double>(count));
  }
  text.Family("limpethatch_job_calls_total", MetricType::kCounter,
              "Calls for batch jobs.");
  for (const auto& [call, count] : job_calls_) {
    text.Sample({{"call", call}}, static_cast<double>(count));
  }
  text.Family("limpethatch_latency_seconds", MetricType::kHistogram,
              "Time to the answer of live requests.");
  for (const auto& [route, histogram] : latencies_) {
    histogram.Write({"route", route}, &text);
  }
  return text.text();
}

}  // namespace limpethatch
