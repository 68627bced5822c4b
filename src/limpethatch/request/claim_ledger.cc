#include "limpethatch/request/claim_ledger.h"

namespace limpethatch {
namespace {

wire::ClaimOutcome Outcome(wire::ClaimOutcome::Verdict verdict) {
  wire::ClaimOutcome outcome;
  outcome.set_verdict(verdict);
  return outcome;
}

wire::ClaimOutcome Answered(const wire::ClaimSnapshot& record) {
  auto outcome = Outcome(wire::ClaimOutcome::ANSWERED);
  outcome.set_status(record.status());
  outcome.set_content_type(record.content_type());
  outcome.set_body(record.body());
  return outcome;
}

}  // namespace

ClaimLedger::ClaimLedger(ClaimRetention retention)
    : retention_(retention), tombstones_(retention.tombstones) {}

wire::ClaimOutcome ClaimLedger::Apply(const wire::ClaimOpen& command) {
  const auto name = QualifiedKey(command.service(), command.key());
  const auto found = claims_.find(name);
  if (found == claims_.end()) {
    if (const auto* tombstone = tombstones_.Find(name)) {
      return OpenTombstoned(*tombstone, command);
    }
    return gone_.Contains(command.holder())
               ? Outcome(wire::ClaimOutcome::STALE_HOLDER)
               : Grant(name, command);
  }
  const auto& record = found->second.record;
  if (record.request_digest() != command.request_digest()) {
    return Outcome(wire::ClaimOutcome::MISMATCH);
  }
  if (record.state() == State::ANSWERED) {
    return Answered(record);
  }
  if (record.state() != State::HELD) {
    return Outcome(wire::ClaimOutcome::UNKNOWN);
  }
  if (record.holder() != command.holder()) {
    return Outcome(wire::ClaimOutcome::IN_PROGRESS);
  }
  auto outcome = Outcome(wire::ClaimOutcome::GRANTED);
  outcome.set_attempt(record.attempt());
  return outcome;
}

wire::ClaimOutcome ClaimLedger::Apply(const wire::ClaimAnswer& command) {
  const auto name = QualifiedKey(command.service(), command.key());
  auto* claim = FindAttempt(name, command.attempt());
  if (!claim) {
    return Outcome(IsTombstonedAttempt(name, command.attempt())
                       ? wire::ClaimOutcome::DONE
                       : wire::ClaimOutcome::STALE_HOLDER);
  }
  auto& record = claim->record;
  if (record.state() == State::ANSWERED || record.state() == State::FORGOTTEN) {
    return Outcome(wire::ClaimOutcome::DONE);
  }
  record.set_status(command.status());
  record.set_content_type(command.content_type());
  record.set_body(command.body());
  Settle(name, *claim, State::ANSWERED);
  KeepAnswer(name, *claim);
  EnforceRetention();
  return Outcome(wire::ClaimOutcome::DONE);
}

wire::ClaimOutcome ClaimLedger::Apply(const wire::ClaimRelease& command) {
  const auto name = QualifiedKey(command.service(), command.key());
  if (const auto* tombstone = tombstones_.Find(name)) {
    if (!tombstone->unknown || tombstone->attempt != command.attempt()) {
      return Outcome(wire::ClaimOutcome::STALE_HOLDER);
    }
    tombstones_.Erase(name);
  }
  if (!claims_.contains(name)) {
    return Outcome(wire::ClaimOutcome::DONE);  // Repeated, or erased above.
  }
  auto* claim = FindAttempt(name, command.attempt());
  if (!claim) {
    return Outcome(wire::ClaimOutcome::STALE_HOLDER);
  }
  if (const auto state = claim->record.state();
      state != State::HELD && state != State::UNKNOWN) {
    return Outcome(wire::ClaimOutcome::STALE_HOLDER);
  }
  Erase(name, *claim);
  return Outcome(wire::ClaimOutcome::DONE);
}

wire::ClaimOutcome ClaimLedger::Apply(const wire::ClaimAbandon& command) {
  const auto name = QualifiedKey(command.service(), command.key());
  auto* claim = FindAttempt(name, command.attempt());
  if (!claim) {
    return Outcome(IsTombstonedAttempt(name, command.attempt())
                       ? wire::ClaimOutcome::DONE
                       : wire::ClaimOutcome::STALE_HOLDER);
  }
  if (const auto state = claim->record.state();
      state == State::HELD || state == State::UNKNOWN) {
    Settle(name, *claim, State::ABANDONED);
    EnforceRetention();
  }
  return Outcome(wire::ClaimOutcome::DONE);
}

void ClaimLedger::Apply(const wire::HolderGone& command) {
  gone_.Add(command.holder());
  const auto found = held_by_.find(command.holder());
  if (found == held_by_.end()) {
    return;
  }
  const auto names = std::move(found->second);
  held_by_.erase(found);
  for (const auto& name : names) {
    Settle(name, claims_.at(name), State::UNKNOWN);
  }
  EnforceRetention();
}

wire::ClaimLedgerSnapshot ClaimLedger::Snapshot() const {
  wire::ClaimLedgerSnapshot snapshot;
  snapshot.set_last_attempt(last_attempt_);
  for (const auto& holder : gone_.holders()) {
    snapshot.add_gone_holders(holder);
  }
  tombstones_.Save(snapshot);
  for (const auto& [holder, names] : held_by_) {
    for (const auto& name : names) {
      *snapshot.add_held() = claims_.at(name).record;
    }
  }
  for (const auto& [order, name] : settled_) {
    *snapshot.add_settled() = claims_.at(name).record;
  }
  return snapshot;
}

void ClaimLedger::Restore(const wire::ClaimLedgerSnapshot& snapshot) {
  *this = ClaimLedger(retention_);
  last_attempt_ = snapshot.last_attempt();
  gone_.Load(snapshot.gone_holders());
  tombstones_.Load(snapshot);
  for (const auto& record : snapshot.held()) {
    const auto name = QualifiedKey(record.service(), record.key());
    claims_[name].record = record;
    held_by_[record.holder()].insert(name);
  }
  for (const auto& record : snapshot.settled()) {
    const auto name = QualifiedKey(record.service(), record.key());
    auto& claim = claims_[name];
    claim.record = record;
    Settle(name, claim, record.state());
    if (record.state() == State::ANSWERED) {
      KeepAnswer(name, claim);
    }
  }
}

std::string ClaimLedger::QualifiedKey(const std::string& service,
                                      const std::string& key) {
  return std::to_string(service.size()) + ':' + service + key;
}

ClaimLedger::Claim* ClaimLedger::FindAttempt(const std::string& name,
                                             uint64_t attempt) {
  const auto found = claims_.find(name);
  if (found == claims_.end() || found->second.record.attempt() != attempt) {
    return nullptr;
  }
  return &found->second;
}

wire::ClaimOutcome ClaimLedger::Grant(const std::string& name,
                                      const wire::ClaimOpen& command) {
  auto& record = claims_[name].record;
  record.set_service(command.service());
  record.set_key(command.key());
  record.set_request_digest(command.request_digest());
  record.set_holder(command.holder());
  record.set_attempt(++last_attempt_);
  record.set_state(State::HELD);
  held_by_[command.holder()].insert(name);
  auto outcome = Outcome(wire::ClaimOutcome::GRANTED);
  outcome.set_attempt(record.attempt());
  return outcome;
}

// A claim that was settled before keeps its position, so that retention is
// counted from the first time.
void ClaimLedger::Settle(const std::string& name,
                         Claim& claim,
                         wire::ClaimSnapshot::State state) {
  RemoveFromHolder(name, claim.record.holder());
  claim.record.set_state(state);
  if (claim.settled_order == 0) {
    claim.settled_order = ++last_order_;
    settled_.emplace(claim.settled_order, name);
  }
}

void ClaimLedger::KeepAnswer(const std::string& name, Claim& claim) {
  const auto bytes = claim.record.body().size();
  if (bytes > retention_.max_kept_answer_bytes) {
    claim.record.clear_body();
    claim.record.set_state(State::FORGOTTEN);
    return;
  }
  answers_.emplace(claim.settled_order, name);
  answer_bytes_ += bytes;
}

void ClaimLedger::ForgetAnswer(Claim& claim) {
  answer_bytes_ -= claim.record.body().size();
  answers_.erase(claim.settled_order);
  claim.record.clear_body();
  claim.record.clear_content_type();
  claim.record.set_state(State::FORGOTTEN);
}

void ClaimLedger::RemoveFromHolder(const std::string& name,
                                   const std::string& holder) {
  const auto found = held_by_.find(holder);
  if (found == held_by_.end()) {
    return;
  }
  found->second.erase(name);
  if (found->second.empty()) {
    held_by_.erase(found);
  }
}

void ClaimLedger::Erase(const std::string& name, Claim& claim) {
  if (claim.record.state() == State::ANSWERED) {
    ForgetAnswer(claim);
  }
  RemoveFromHolder(name, claim.record.holder());
  settled_.erase(claim.settled_order);
  claims_.erase(std::string(name));
}

wire::ClaimOutcome ClaimLedger::OpenTombstoned(
    const ClaimTombstone& tombstone,
    const wire::ClaimOpen& command) const {
  const bool same = tombstone.request ==
                    ClaimTombstones::RequestHash(command.request_digest());
  return Outcome(same ? wire::ClaimOutcome::UNKNOWN
                      : wire::ClaimOutcome::MISMATCH);
}

bool ClaimLedger::IsTombstonedAttempt(const std::string& name,
                                      uint64_t attempt) const {
  const auto* tombstone = tombstones_.Find(name);
  return tombstone && tombstone->attempt == attempt;
}

void ClaimLedger::ReplaceWithTombstone(const std::string& name) {
  auto& claim = claims_.at(name);
  const auto& record = claim.record;
  tombstones_.Add(name, record.request_digest(), record.attempt(),
                  record.state() == State::UNKNOWN);
  Erase(name, claim);
}

void ClaimLedger::EnforceRetention() {
  while (answer_bytes_ > retention_.answer_bytes) {
    ForgetAnswer(claims_.at(answers_.begin()->second));
  }
  while (settled_.size() > retention_.settled) {
    ReplaceWithTombstone(std::string(settled_.begin()->second));
  }
}

}  // namespace limpethatch
