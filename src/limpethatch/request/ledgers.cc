#include "limpethatch/request/ledgers.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <limits>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "limpethatch/version/manifest_impact.h"
#include "limpethatch/version/manifest_reader.h"
#include "state.pb.h"

namespace limpethatch {
namespace {

using google::protobuf::internal::WireFormatLite;

constexpr uint32_t kFleetTag = GOOGLE_PROTOBUF_WIRE_FORMAT_MAKE_TAG(
    wire::LedgersSnapshot::kFleetFieldNumber,
    WireFormatLite::WIRETYPE_LENGTH_DELIMITED);

struct SnapshotParts {
  std::vector<ByteRope::Piece> fleet;
  std::string others;  // A LedgersSnapshot of all other fields.
};

// Splits a serialised LedgersSnapshot; nullopt if it cannot be parsed.
std::optional<SnapshotParts> SplitSnapshot(const ByteRope& state) {
  using namespace google::protobuf::io;  // NOLINT
  std::vector<std::unique_ptr<ArrayInputStream>> pieces;
  std::vector<ZeroCopyInputStream*> streams;
  for (const ByteRope::Piece& piece : state.pieces()) {
    pieces.push_back(std::make_unique<ArrayInputStream>(
        piece->data(), static_cast<int>(piece->size())));
    streams.push_back(pieces.back().get());
  }
  ConcatenatingInputStream all(streams.data(),
                               static_cast<int>(streams.size()));
  CodedInputStream in(&all);
  in.SetTotalBytesLimit(std::numeric_limits<int>::max());
  SnapshotParts parts;
  StringOutputStream others(&parts.others);
  CodedOutputStream others_out(&others);
  while (const uint32_t tag = in.ReadTag()) {
    if (tag != kFleetTag) {
      if (!WireFormatLite::SkipField(&in, tag, &others_out)) {
        return std::nullopt;
      }
      continue;
    }
    uint32_t length = 0;
    std::string part;
    if (!in.ReadVarint32(&length) ||
        !in.ReadString(&part, static_cast<int>(length))) {
      return std::nullopt;
    }
    parts.fleet.push_back(std::make_shared<const std::string>(std::move(part)));
  }
  if (!in.ConsumedEntireMessage()) {
    return std::nullopt;
  }
  others_out.Trim();
  return parts;
}

}  // namespace

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

ByteRope Ledgers::Snapshot() const {
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
  ByteRope state(snapshot.SerializeAsString());
  // The fleet parts are appended as separately encoded fields that share their
  // bytes, so that the whole state is never held in memory twice.
  for (const ByteRope::Piece& part : fleet_.Snapshot()) {
    std::string front;
    {
      google::protobuf::io::StringOutputStream stream(&front);
      google::protobuf::io::CodedOutputStream out(&stream);
      out.WriteTag(kFleetTag);
      out.WriteVarint64(part->size());
    }
    state.Append(std::move(front));
    state.Append(part);
  }
  return state;
}

bool Ledgers::Restore(const ByteRope& state) {
  std::optional<SnapshotParts> parts = SplitSnapshot(state);
  wire::LedgersSnapshot snapshot;
  FleetLedger fleet;
  if (!parts || !snapshot.ParseFromString(parts->others) ||
      !fleet.Restore(parts->fleet)) {
    return false;
  }
  fleet_ = std::move(fleet);
  manifest_.Restore(snapshot.manifest());
  claims_.Restore(snapshot.claims());
  steps_.Restore(snapshot.steps());
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
  // Manifests are validated before they are proposed, so faults only occur
  // before the first one, when there is nothing to configure.
  if (!faults.empty()) {
    return;
  }
  steps_.Configure(manifest);
  pools_ = manifest.pools;
}

}  // namespace limpethatch
