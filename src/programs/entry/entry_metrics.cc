#include "programs/entry/entry_metrics.h"

#include <map>
#include <utility>

#include "limpethatch/process/metrics_text.h"

namespace limpethatch {
namespace {

using enum MetricType;

// Limits the number of label values. The targets of further zones are counted
// as "other".
constexpr size_t kMaxZones = 64;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddRequests(const ActiveManifest& manifest, MetricsText* text) {
  text->Family("limpethatch_requests_total", kCounter,
               "Requests of callers by service and outcome.");
  for (const auto& [service, meter] : manifest.meters) {
    const OutcomeCounts counts = meter->counts();
    for (size_t i = 0; i < counts.size(); ++i) {
      const auto outcome = RequestOutcomeName(static_cast<RequestOutcome>(i));
      text->Sample({{"service", service}, {"outcome", outcome}},
                   static_cast<double>(counts[i]));
    }
  }
}

void AddDurations(const ActiveManifest& manifest, MetricsText* text) {
  text->Family("limpethatch_request_duration_seconds", kSummary,
               "Time from a request's arrival to its answer's end; quantiles "
               "of the last whole minute.");
  for (const auto& [service, meter] : manifest.meters) {
    const DurationSummary durations = meter->Durations();
    text->Sample({{"service", service}, {"quantile", "0.5"}},
                 durations.median_s);
    text->Sample({{"service", service}, {"quantile", "0.99"}}, durations.p99_s);
    text->Sample({{"service", service}}, durations.sum_s, "_sum");
    text->Sample({{"service", service}}, static_cast<double>(durations.count),
                 "_count");
  }
}

void AddTargets(const EntryContext& context, MetricsText* text) {
  std::map<std::string, std::pair<uint64_t, uint64_t>> zones;
  uint64_t outstanding = 0;
  context.targets.Read([&](const TargetTable& table) {
    for (const auto& [id, routed] : table.targets()) {
      const std::string& zone = routed->target.zone;
      const bool listed = zones.contains(zone) || zones.size() < kMaxZones;
      auto& [serving, leaving] = zones[listed ? zone : "other"];
      ++(routed->target.leaving ? leaving : serving);
      outstanding += routed->stats->outstanding();
    }
  });
  text->Family("limpethatch_targets", kGauge,
               "Targets that this instance knows, by zone and state.");
  for (const auto& [zone, counts] : zones) {
    text->Sample({{"zone", zone}, {"state", "serving"}},
                 static_cast<double>(counts.first));
    text->Sample({{"zone", zone}, {"state", "leaving"}},
                 static_cast<double>(counts.second));
  }
  text->Single("limpethatch_outstanding_requests", kGauge,
               "Requests sent to targets and not yet answered.",
               static_cast<double>(outstanding));
}

void AddControl(const EntryContext& context, MetricsText* text) {
  const std::optional<ControlNews> news = context.control.news();
  text->Single("limpethatch_control_known", kGauge,
               "1 once the control group has answered, else 0.", news ? 1 : 0);
  if (!news) {
    return;
  }
  text->Single("limpethatch_control_news_age_seconds", kGauge,
               "Time since the control group last answered.",
               Seconds(Clock::now() - news->received_at));
  text->Single("limpethatch_control_term", kGauge,
               "Term of the leader that answered last.",
               static_cast<double>(news->reply.term()));
}

}  // namespace

std::string RenderMetrics(EntryContext& context) {
  const ManifestPtr manifest = context.CurrentManifest();
  MetricsText text;
  AddRequests(*manifest, &text);
  AddDurations(*manifest, &text);
  AddTargets(context, &text);
  AddControl(context, &text);
  text.Single("limpethatch_manifest_version", kGauge,
              "Version of the manifest in force here.",
              static_cast<double>(manifest->version));
  text.Single("limpethatch_draining", kGauge, "1 during a planned stop.",
              context.draining ? 1 : 0);
  text.Single("limpethatch_uptime_seconds", kGauge,
              "Time since this process started.",
              Seconds(Clock::now() - context.started_at));
  return text.text();
}

void FillInstanceFields(const EntryContext& context, wire::Hello& hello) {
  const ManifestPtr manifest = context.CurrentManifest();
  hello.set_manifest_version(manifest->version);
  hello.set_boot(context.boot);
  for (const auto& [service, meter] : manifest->meters) {
    const auto [good, late, refused, failed] = meter->counts();
    wire::ServiceTally& tally = *hello.add_tallies();
    tally.set_service(service);
    tally.set_good(good);
    tally.set_late(late);
    tally.set_refused(refused);
    tally.set_failed(failed);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - meter->created_at());
    tally.set_age_ms(static_cast<uint64_t>(age.count()));
  }
}

}  // namespace limpethatch
