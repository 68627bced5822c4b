// The metrics of a control instance of a fleet.
#include "limpethatch/process/metrics_text.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
void FleetService::ServeMetrics(HttpExchange& exchange) {
  MetricsText text;
  const Consensus* consensus = replica_.consensus();
  const auto counter = [&](std::string_view name, std::string_view help,
                           double value) {
    text.Single(name, MetricType::kCounter, help, value);
  };
  const auto gauge = [&](std::string_view name, std::string_view help,
                         double value) {
    text.Single(name, MetricType::kGauge, help, value);
  };
  gauge("limpethatch_leading", "1 while this instance leads.",
        consensus && consensus->leading() ? 1 : 0);
  gauge("limpethatch_disk_failed",
        "1 while the data disk refuses writes, as when it is full.",
        replica_.disk_failed() ? 1 : 0);
  gauge("limpethatch_term", "Term of the last known leader.",
        consensus ? static_cast<double>(consensus->term()) : 0);
  gauge("limpethatch_commit_index", "Last committed entry.",
        consensus ? static_cast<double>(consensus->commit_index()) : 0);
  gauge("limpethatch_configuration_version", "Configuration in force here.",
        static_cast<double>(ledger().configuration().version()));
  gauge("limpethatch_quorum_contact",
        "1 while the state here is known to be recent.",
        HasQuorumContact(Clock::now()) ? 1 : 0);
  gauge("limpethatch_gateways", "Gateways that ask this instance for news.",
        static_cast<double>(watchers_.size()));
  counter("limpethatch_configurations_sent_total",
          "Copies of the configuration sent to gateways.",
          static_cast<double>(configurations_sent_));
  gauge("limpethatch_targets", "Targets known, tombstones included.",
        static_cast<double>(targets_.entries().size()));
  counter("limpethatch_announcements_refused_total",
          "Announcements that name no usable target.",
          static_cast<double>(announcements_refused_));
  gauge("limpethatch_jobs", "Batch jobs kept.",
        static_cast<double>(ledger().jobs().jobs().size()));
  gauge("limpethatch_samples_running", "Samples at engines.",
        static_cast<double>(scheduler_.running()));
  const SampleRunner::Counters& runs = run_counters();
  counter("limpethatch_samples_started_total", "Runs begun.",
          static_cast<double>(runs.started));
  counter("limpethatch_samples_finished_total",
          "Runs that ended whole or dead.", static_cast<double>(runs.finished));
  counter("limpethatch_samples_not_run_total", "Runs that engines refused.",
          static_cast<double>(runs.not_run));
  counter("limpethatch_samples_failed_total", "Runs that engines failed.",
          static_cast<double>(runs.failed));
  counter("limpethatch_samples_broken_total", "Streams that broke off.",
          static_cast<double>(runs.broken));
  counter("limpethatch_samples_unreachable_total",
          "Runs that got no connection to the engine.",
          static_cast<double>(runs.unreachable));
  counter("limpethatch_samples_stopped_total", "Runs stopped by the scheduler.",
          static_cast<double>(runs.stopped));
  counter("limpethatch_sample_limits_exceeded_total",
          "Runs with more output than allowed.",
          static_cast<double>(runs.limits_exceeded));
  gauge("limpethatch_running_text_bytes", "Text of all running samples.",
        static_cast<double>(sample_runner_.held_bytes()));
  counter("limpethatch_sample_events_total", "Events taken in.",
          static_cast<double>(runs.events));
  counter("limpethatch_weight_orders_accepted_total", "Loads begun.",
          static_cast<double>(weight_order_client_.accepted()));
  counter("limpethatch_weight_orders_lost_total", "Orders without an answer.",
          static_cast<double>(weight_order_client_.lost()));
  gauge("limpethatch_log_format", "Newest format that commands may have.",
        static_cast<double>(ledger().log_format()));
  gauge("limpethatch_samples_unscored", "Samples that await their score.",
        static_cast<double>(ledger().jobs().unscored().size()));
  const RewardRunner::Counters& rewards = reward_runner_.counters();
  counter("limpethatch_reward_calls_sent_total", "Reward calls begun.",
          static_cast<double>(rewards.sent));
  text.Family("limpethatch_reward_calls_ended_total", MetricType::kCounter,
              "Reward calls by outcome.");
  for (const auto& [outcome, count] : {std::pair("scored", rewards.scored),
                                       std::pair("failed", rewards.failed),
                                       std::pair("not_run", rewards.not_run),
                                       std::pair("broken", rewards.broken),
                                       std::pair("stopped", rewards.stopped)}) {
    text.Sample({{"outcome", outcome}}, static_cast<double>(count));
  }
  counter("limpethatch_samples_unscorable_total",
          "Samples given up because their reward calls failed.",
          static_cast<double>(rewards.given_up));
  text.Family("limpethatch_reward_latency_seconds", MetricType::kHistogram,
              "Time to the score of one reward call.");
  reward_runner_.latency().Write({"outcome", "scored"}, &text);
  if (usage_reporter_) {
    counter("limpethatch_usage_windows_reported_total",
            "Windows whose usage the platform has acknowledged.",
            static_cast<double>(usage_reporter_->windows_reported()));
    text.Family("limpethatch_duty_held", MetricType::kGauge,
                "1 while this instance may act as the holder of the duty.");
    text.Sample({{"duty", "usage"}}, usage_reporter_->holds_duty() ? 1 : 0);
  }
  HttpResponse response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  client_memory_->Write(&text);
  response.body = text.text();
  exchange.Respond(response);
}

}  // namespace limpethatch
