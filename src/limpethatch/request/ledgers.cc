#include "limpethatch/request/ledgers.h"

#include "limpethatch/version/manifest_impact.h"
#include "limpethatch/version/manifest_reader.h"
#include "state.pb.h"

namespace limpethatch {

std::string Ledgers::Apply(uint64_t, std::string_view command) {
  wire::Command parsed;
  wire::CommandResult result;
  if (parsed.ParseFromArray(command.data(), static_cast<int>(command.size()))) {
    result = Apply(parsed);
  }
  return result.SerializeAsString();
}

wire::CommandResult Ledgers::Apply(const wire::Command& command) {
  wire::CommandResult result;
  if (fleet_.Apply(command, &result)) {
    return result;
  }
  switch (command.kind_case()) {
    case wire::Command::kManifestApply:
      *result.mutable_manifest() = manifest_.Apply(
          command.manifest_apply(), ImpactOf(command.manifest_apply()));
      Configure();
      break;
    case wire::Command::kHolderGone:
      holders_.erase(command.holder_gone().holder());
      gone_.Add(command.holder_gone().holder());
      claims_.Apply(command.holder_gone());
      steps_.Apply(command.holder_gone());
      break;
    default:
      ApplyToClaims(command, &result);
      ApplyToSteps(command, &result);
  }
  return result;
}

void Ledgers::ApplyToClaims(const wire::Command& command,
                            wire::CommandResult* result) {
  switch (command.kind_case()) {
    case wire::Command::kClaimOpen:
      holders_.insert(command.claim_open().holder());
      *result->mutable_claim() = claims_.Apply(command.claim_open());
      return;
    case wire::Command::kClaimAnswer:
      *result->mutable_claim() = claims_.Apply(command.claim_answer());
      return;
    case wire::Command::kClaimRelease:
      *result->mutable_claim() = claims_.Apply(command.claim_release());
      return;
    case wire::Command::kClaimAbandon:
      *result->mutable_claim() = claims_.Apply(command.claim_abandon());
      return;
    default:
      return;
  }
}

void Ledgers::ApplyToSteps(const wire::Command& command,
                           wire::CommandResult* result) {
  switch (command.kind_case()) {
    case wire::Command::kStepOpen:
      OpenStep(command.step_open(), result);
      return;
    case wire::Command::kSampleTake:
      holders_.insert(command.sample_take().holder());
      *result->mutable_taken() = steps_.Apply(command.sample_take());
      return;
    case wire::Command::kSampleRecord:
      *result->mutable_sample() = steps_.Apply(command.sample_record());
      return;
    case wire::Command::kSampleReturn:
      *result->mutable_sample() = steps_.Apply(command.sample_return());
      return;
    case wire::Command::kStepFetch:
      FetchStep(command.step_fetch(), result);
      return;
    case wire::Command::kVersionPublish:
      *result->mutable_version() = steps_.Apply(command.version_publish());
      return;
    default:
      return;
  }
}

void Ledgers::OpenStep(const wire::StepOpen& command,
                       wire::CommandResult* result) {
  *result->mutable_step() = steps_.Apply(command);
  if (const auto status = steps_.Status(command.trainer(), command.step());
      status && !status->complete) {
    step_names_.emplace(command.trainer(), command.step());
  }
}

void Ledgers::FetchStep(const wire::StepFetch& command,
                        wire::CommandResult* result) {
  *result->mutable_delivery() = steps_.Apply(command);
  if (result->delivery().complete()) {
    step_names_.erase({command.trainer(), command.step()});
  }
}

std::vector<wire::PoolVersion> Ledgers::pools() const {
  std::vector<wire::PoolVersion> versions;
  for (const auto& [name, declared] : pools_) {
    wire::PoolVersion& pool = versions.emplace_back();
    pool.set_pool(name);
    pool.set_version(steps_.DeclaredVersion(name));
    pool.set_concurrent_loads(declared.concurrent_loads);
  }
  return versions;
}

std::string Ledgers::Snapshot() const {
  wire::LedgersSnapshot snapshot;
  *snapshot.mutable_manifest() = manifest_.Snapshot();
  *snapshot.mutable_claims() = claims_.Snapshot();
  *snapshot.mutable_steps() = steps_.Snapshot();
  for (const std::string& holder : holders_) {
    snapshot.add_holders(holder);
  }
  for (const std::string& holder : gone_.holders()) {
    snapshot.add_gone(holder);
  }
  std::string bytes = snapshot.SerializeAsString();
  // Messages that stand one after the other are read as one: so that the state
  // is never held twice as a whole.
  fleet_.ForEachPart([&bytes](wire::FleetSnapshot part) {
    wire::LedgersSnapshot piece;
    *piece.mutable_fleet() = std::move(part);
    piece.AppendToString(&bytes);
  });
  return bytes;
}

bool Ledgers::Restore(std::string_view bytes) {
  wire::LedgersSnapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  manifest_.Restore(snapshot.manifest());
  claims_.Restore(snapshot.claims());
  steps_.Restore(snapshot.steps());
  fleet_.Restore(snapshot.fleet());
  step_names_.clear();
  for (const wire::StepSnapshot& step : snapshot.steps().steps()) {
    step_names_.emplace(step.open().trainer(), step.open().step());
  }
  holders_ = {snapshot.holders().begin(), snapshot.holders().end()};
  gone_.Load(snapshot.gone());
  Configure();
  return true;
}

ManifestImpact Ledgers::ImpactOf(const wire::ManifestApply& command) const {
  JsonFaults faults;
  return limpethatch::ImpactOf(ReadManifest(command.manifest(), faults),
                               steps_.OpenSteps());
}

void Ledgers::Configure() {
  JsonFaults faults;
  const Manifest manifest = ReadManifest(manifest_.manifest(), faults);
  // A manifest is checked before it is proposed; before the first there is
  // nothing to configure.
  if (!faults.empty()) {
    return;
  }
  steps_.Configure(manifest);
  pools_ = manifest.pools;
}

}  // namespace limpethatch
