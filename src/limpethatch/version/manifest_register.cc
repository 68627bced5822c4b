#include "limpethatch/version/manifest_register.h"

#include <fmt/format.h>

#include <utility>

#include "limpethatch/process/digest.h"

namespace limpethatch {
namespace {

std::string DigestOf(const wire::ManifestApply& command) {
  return RequestDigest(
      fmt::format("{}{}\n{}", command.expect_version(),
                  command.allow_disruption() ? " allow_disruption" : "",
                  command.manifest()));
}

void AddImpact(const ManifestImpact& impact, wire::ManifestOutcome* outcome) {
  for (const std::string& disruption : impact.disruptions) {
    outcome->add_disruptions(disruption);
  }
  for (const std::string& notice : impact.notices) {
    outcome->add_notices(notice);
  }
}

}  // namespace

wire::ManifestOutcome ManifestRegister::Apply(
    const wire::ManifestApply& command,
    const ManifestImpact& impact) {
  std::string digest = DigestOf(command);
  if (const auto known = changes_.find(command.change_id());
      known != changes_.end()) {
    if (known->second.digest() != digest) {
      return Outcome(wire::ManifestOutcome::CHANGE_ID_REUSED);
    }
    wire::ManifestOutcome first = known->second.outcome();
    first.set_repeated(true);
    return first;
  }
  if (command.expect_version() != version()) {
    wire::ManifestOutcome conflict = Outcome(wire::ManifestOutcome::CONFLICT);
    Remember(command.change_id(), std::move(digest), conflict);
    return conflict;
  }
  if (!impact.disruptions.empty() && !command.allow_disruption()) {
    wire::ManifestOutcome refused = Outcome(wire::ManifestOutcome::DISRUPTIVE);
    AddImpact(impact, &refused);
    Remember(command.change_id(), std::move(digest), refused);
    return refused;
  }
  wire::ManifestVersionSnapshot next;
  next.set_version(version() + 1);
  next.set_manifest(command.manifest());
  next.set_change_id(command.change_id());
  next.set_author(command.author());
  history_.push_back(std::move(next));
  if (history_.size() > kHistoryVersions) {
    history_.pop_front();
  }
  wire::ManifestOutcome accepted = Outcome(wire::ManifestOutcome::ACCEPTED);
  AddImpact(impact, &accepted);
  Remember(command.change_id(), std::move(digest), accepted);
  return accepted;
}

wire::ManifestOutcome ManifestRegister::Outcome(
    wire::ManifestOutcome::Verdict verdict) const {
  wire::ManifestOutcome outcome;
  outcome.set_verdict(verdict);
  if (!history_.empty()) {
    outcome.set_version(history_.back().version());
    outcome.set_standing_change_id(history_.back().change_id());
    outcome.set_standing_author(history_.back().author());
  }
  return outcome;
}

void ManifestRegister::Remember(const std::string& change_id,
                                std::string digest,
                                const wire::ManifestOutcome& outcome) {
  wire::ManifestChangeSnapshot& change = changes_[change_id];
  change.set_change_id(change_id);
  change.set_digest(std::move(digest));
  *change.mutable_outcome() = outcome;
  change_order_.push_back(change_id);
  if (change_order_.size() > kRememberedChanges) {
    changes_.erase(change_order_.front());
    change_order_.pop_front();
  }
}

wire::ManifestRegisterSnapshot ManifestRegister::Snapshot() const {
  wire::ManifestRegisterSnapshot snapshot;
  for (const wire::ManifestVersionSnapshot& entry : history_) {
    *snapshot.add_history() = entry;
  }
  for (const std::string& change_id : change_order_) {
    *snapshot.add_changes() = changes_.at(change_id);
  }
  return snapshot;
}

void ManifestRegister::Restore(const wire::ManifestRegisterSnapshot& snapshot) {
  history_.assign(snapshot.history().begin(), snapshot.history().end());
  change_order_.clear();
  changes_.clear();
  for (const wire::ManifestChangeSnapshot& change : snapshot.changes()) {
    change_order_.push_back(change.change_id());
    changes_[change.change_id()] = change;
  }
}

}  // namespace limpethatch
