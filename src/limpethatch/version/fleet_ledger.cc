#include "limpethatch/version/fleet_ledger.h"

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// Replicas of earlier builds do not know reward calls.
void RemoveRewardCalls(wire::JobSubmit* submit) {
  for (wire::JobSample& sample : *submit->mutable_samples()) {
    sample.clear_reward_call();
  }
}

}  // namespace

bool FleetLedger::Apply(const wire::Command& command,
                        wire::CommandResult* result) {
  switch (command.kind_case()) {
    case wire::Command::kConfigurationPut:
      *result->mutable_configuration() = Apply(command.configuration_put());
      return true;
    case wire::Command::kWeightsNamed:
      *result->mutable_weights() = Apply(command.weights_named());
      return true;
    case wire::Command::kJobSubmit:
      *result->mutable_job() = Apply(command.job_submit());
      return true;
    case wire::Command::kJobEnd:
      *result->mutable_job() = Apply(command.job_end());
      return true;
    case wire::Command::kJobForget:
      *result->mutable_job() = jobs_.Apply(command.job_forget());
      return true;
    case wire::Command::kSamplesAdvance:
      *result->mutable_job() = jobs_.Apply(command.samples_advance());
      return true;
    case wire::Command::kInstanceRetire:
      retired_.insert(command.instance_retire().id());
      return true;
    case wire::Command::kLogFormatRaise:
      log_format_ =
          std::max(log_format_, LogFormat{command.log_format_raise().format()});
      return true;
    case wire::Command::kCrashEvidence:
      crashes_.Apply(command.crash_evidence());
      return true;
    case wire::Command::kDutyClaim:
      // Replicas of earlier builds ignore duties and usage.
      if (log_format_ >= LogFormat::kOrganisations) {
        duties_.Apply(command.duty_claim());
      }
      return true;
    case wire::Command::kUsageRecord:
      if (log_format_ >= LogFormat::kOrganisations) {
        usage_.Apply(command.usage_record());
      }
      return true;
    default:
      return false;
  }
}

wire::ConfigurationOutcome FleetLedger::Apply(
    const wire::ConfigurationPut& put) {
  wire::ConfigurationOutcome outcome;
  outcome.set_verdict(wire::ConfigurationOutcome::OVERTAKEN);
  if (put.configuration().version() > configuration_.version()) {
    configuration_ = put.configuration();
    outcome.set_verdict(wire::ConfigurationOutcome::IN_FORCE);
  }
  outcome.set_version(configuration_.version());
  return outcome;
}

wire::JobOutcome FleetLedger::Apply(const wire::JobSubmit& submit) {
  if (log_format_ >= LogFormat::kOrganisations) {
    return jobs_.Apply(submit);
  }
  // Replicas of earlier builds do not know organisations.
  wire::JobSubmit supported = submit;
  supported.clear_organisation();
  if (log_format_ < LogFormat::kScoredSamples) {
    RemoveRewardCalls(&supported);
  }
  return jobs_.Apply(supported);
}

wire::JobOutcome FleetLedger::Apply(const wire::JobEnd& end) {
  if (log_format_ >= LogFormat::kOrganisations) {
    return jobs_.Apply(end);
  }
  if (log_format_ >= LogFormat::kEndsOfUnknownJobs || jobs_.Find(end.job())) {
    wire::JobEnd supported = end;
    supported.clear_organisation();
    return jobs_.Apply(supported);
  }
  wire::JobOutcome outcome;
  outcome.set_verdict(wire::JobOutcome::UNKNOWN);
  return outcome;
}

wire::WeightsOutcome FleetLedger::Apply(const wire::WeightsNamed& named) {
  uint64_t& version = weights_[named.model()];
  version = std::max(version, named.version());
  wire::WeightsOutcome outcome;
  outcome.set_version(version);
  return outcome;
}

std::vector<ByteRope::Piece> FleetLedger::Snapshot() const {
  wire::FleetSnapshot snapshot;
  *snapshot.mutable_configuration() = configuration_;
  for (const auto& [model, version] : weights_) {
    wire::WeightsNamed& named = *snapshot.add_weights();
    named.set_model(model);
    named.set_version(version);
  }
  for (const std::string& id : retired_) {
    snapshot.add_retired(id);
  }
  for (const wire::CrashedRun& run : crashes_.runs()) {
    *snapshot.add_crashed_runs() = run;
  }
  snapshot.set_log_format(static_cast<uint32_t>(log_format_));
  for (wire::DutyState& duty : duties_.Snapshot()) {
    *snapshot.add_duties() = std::move(duty);
  }
  if (usage_.next_window() != 0) {
    *snapshot.mutable_usage() = usage_.Snapshot();
  }
  std::vector<ByteRope::Piece> parts;
  parts.push_back(
      std::make_shared<const std::string>(snapshot.SerializeAsString()));
  for (const std::string& id : jobs_.order()) {
    parts.push_back(jobs_.SerialisedJob(id));
  }
  return parts;
}

bool FleetLedger::Restore(const std::vector<ByteRope::Piece>& parts) {
  *this = FleetLedger();
  for (const ByteRope::Piece& part : parts) {
    wire::FleetSnapshot snapshot;
    if (!snapshot.ParseFromString(*part)) {
      return false;
    }
    if (snapshot.has_configuration()) {
      configuration_ = snapshot.configuration();
    }
    for (const wire::WeightsNamed& named : snapshot.weights()) {
      weights_[named.model()] = named.version();
    }
    retired_.insert(snapshot.retired().begin(), snapshot.retired().end());
    wire::CrashEvidence crashes;
    crashes.mutable_crashed_runs()->Swap(snapshot.mutable_crashed_runs());
    crashes_.Apply(crashes);
    for (const wire::DutyState& duty : snapshot.duties()) {
      duties_.Restore(duty);
    }
    if (snapshot.has_usage()) {
      usage_.Restore(snapshot.usage());
    }
    // The first part states the format; it precedes the jobs.
    log_format_ = std::max(log_format_, LogFormat{snapshot.log_format()});
    if (log_format_ < LogFormat::kScoredSamples) {
      for (wire::JobSnapshot& job : *snapshot.mutable_jobs()) {
        RemoveRewardCalls(job.mutable_submit());
      }
    }
    jobs_.Add(std::move(snapshot), part);
  }
  return true;
}

}  // namespace limpethatch
