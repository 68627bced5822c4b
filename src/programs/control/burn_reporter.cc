#include "programs/control/burn_reporter.h"

#include <chrono>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/version/manifest_reader.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

uint64_t ToMilliseconds(Duration duration) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

void FillWindow(Duration span,
                const OutcomeCounts& counts,
                wire::BurnWindow* window) {
  window->set_span_ms(ToMilliseconds(span));
  window->set_good(GoodCount(counts));
  for (const RequestOutcome cause :
       {RequestOutcome::kLate, RequestOutcome::kRefused,
        RequestOutcome::kFailed}) {
    if (const uint64_t count = counts[static_cast<size_t>(cause)]; count > 0) {
      wire::BurnCause& entry = *window->add_causes();
      entry.set_cause(std::string(RequestOutcomeName(cause)));
      entry.set_count(count);
    }
  }
}

void FillStatus(const std::string& name,
                bool trainer,
                const Objective& objective,
                const BurnMeter::Report& report,
                wire::BurnStatus* status) {
  status->set_name(name);
  status->set_trainer(trainer);
  status->set_target(objective.target);
  status->set_latency_ms(ToMilliseconds(objective.latency));
  FillWindow(BurnMeter::kShortWindow, report.short_window,
             status->mutable_short_window());
  FillWindow(BurnMeter::kLongWindow, report.long_window,
             status->mutable_long_window());
  for (const OutcomeCounts& point : report.points) {
    wire::BurnPoint& entry = *status->add_points();
    entry.set_good(GoodCount(point));
    entry.set_bad(BadCount(point));
  }
}

}  // namespace

void BurnReporter::OnHello(const ManifestRegister& manifest,
                           const wire::ControlRequest& request,
                           TimePoint now) {
  RefreshManifest(manifest);
  for (const wire::ServiceTally& tally : request.hello().tallies()) {
    if (manifest_.services.contains(tally.service())) {
      meter_.OnTally(
          {request.from(),
           request.hello().boot(),
           tally.service(),
           BoundedTime<milliseconds>(tally.age_ms()),
           {tally.good(), tally.late(), tally.refused(), tally.failed()}},
          now);
    }
  }
}

void BurnReporter::OnApplied(const ManifestRegister& manifest,
                             const wire::Command& command,
                             const wire::CommandResult& result,
                             TimePoint now) {
  if (command.has_step_open() &&
      result.step().verdict() == wire::StepOutcome::OPENED) {
    meter_.OnStepOpened(command.step_open().trainer(),
                        command.step_open().step(), now);
  }
  if (!command.has_step_fetch()) {
    return;
  }
  RefreshManifest(manifest);
  const wire::StepFetch& fetch = command.step_fetch();
  const auto trainer = manifest_.trainers.find(fetch.trainer());
  if (trainer == manifest_.trainers.end()) {
    return;
  }
  for (const wire::DeliveredSample& sample : result.delivery().samples()) {
    meter_.OnDelivered(fetch.trainer(), fetch.step(), sample.sequence(),
                       trainer->second.objective.latency, now);
  }
  if (result.delivery().complete()) {
    meter_.OnStepComplete(fetch.trainer(), fetch.step());
  }
}

wire::BurnReply BurnReporter::Report(const ManifestRegister& manifest,
                                     TimePoint now) {
  RefreshManifest(manifest);
  wire::BurnReply reply;
  reply.set_covered_ms(ToMilliseconds(meter_.Covered(now)));
  for (const auto& [name, service] : manifest_.services) {
    FillStatus(name, false, service.objective,
               meter_.ReportForService(name, now), reply.add_burns());
  }
  for (const auto& [name, trainer] : manifest_.trainers) {
    FillStatus(name, true, trainer.objective,
               meter_.ReportForTrainer(name, now), reply.add_burns());
  }
  return reply;
}

void BurnReporter::RefreshManifest(const ManifestRegister& manifest) {
  if (manifest.version() == manifest_version_) {
    return;
  }
  JsonFaults faults;
  manifest_ = ReadManifest(manifest.manifest(), faults);
  manifest_version_ = manifest.version();
}

}  // namespace limpethatch
