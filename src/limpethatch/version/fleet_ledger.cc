#include "limpethatch/version/fleet_ledger.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

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
      *result->mutable_job() = jobs_.Apply(command.job_submit());
      return true;
    case wire::Command::kJobEnd:
      *result->mutable_job() = jobs_.Apply(command.job_end());
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

wire::WeightsOutcome FleetLedger::Apply(const wire::WeightsNamed& named) {
  uint64_t& version = weights_[named.model()];
  version = std::max(version, named.version());
  wire::WeightsOutcome outcome;
  outcome.set_version(version);
  return outcome;
}

wire::FleetSnapshot FleetLedger::Snapshot() const {
  wire::FleetSnapshot snapshot;
  ForEachPart([&snapshot](const wire::FleetSnapshot& part) {
    snapshot.MergeFrom(part);
  });
  return snapshot;
}

void FleetLedger::ForEachPart(
    const std::function<void(wire::FleetSnapshot part)>& visit) const {
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
  visit(std::move(snapshot));
  for (const std::string& id : jobs_.order()) {
    wire::FleetSnapshot part;
    jobs_.Save(id, &part);
    visit(std::move(part));
  }
}

void FleetLedger::Restore(const wire::FleetSnapshot& snapshot) {
  configuration_ = snapshot.configuration();
  weights_.clear();
  for (const wire::WeightsNamed& named : snapshot.weights()) {
    weights_[named.model()] = named.version();
  }
  retired_ = {snapshot.retired().begin(), snapshot.retired().end()};
  jobs_.Load(snapshot);
}

}  // namespace limpethatch
