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
  const auto qualified_key = QualifiedKey(command.service(), command.key());
  const auto found = claims_.find(qualified_key);
  if (found == claims_.end()) {
    if (const auto* tombstone = tombstones_.Find(qualified_key)) {
      return OpenTombstoned(*tombstone, command);
    }
    return gone_holders_.Contains(command.holder())
               ? Outcome(wire::ClaimOutcome::STALE_HOLDER)
               : Grant(qualified_key, command);
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
  const auto qualified_key = QualifiedKey(command.service(), command.key());
  auto* claim = FindAttempt(qualified_key, command.attempt());
  if (!claim) {
    return Outcome(IsTombstonedAttempt(qualified_key, command.attempt())
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
  Settle(qualified_key, *claim, State::ANSWERED);
  KeepAnswer(qualified_key, *claim);
  EnforceRetention();
  return Outcome(wire::ClaimOutcome::DONE);
}

wire::ClaimOutcome ClaimLedger::Apply(const wire::ClaimRelease& command) {
  const auto qualified_key = QualifiedKey(command.service(), command.key());
  if (const auto* tombstone = tombstones_.Find(qualified_key)) {
    if (!tombstone->unknown || tombstone->attempt != command.attempt()) {
      return Outcome(wire::ClaimOutcome::STALE_HOLDER);
    }
    tombstones_.Erase(qualified_key);
  }
  if (!claims_.contains(qualified_key)) {
    return Outcome(wire::ClaimOutcome::DONE);  // Repeated, or erased above.
  }
  auto* claim = FindAttempt(qualified_key, command.attempt());
  if (!claim) {
    return Outcome(wire::ClaimOutcome::STALE_HOLDER);
  }
  if (const auto state = claim->record.state();
      state != State::HELD && state != State::UNKNOWN) {
    return Outcome(wire::ClaimOutcome::STALE_HOLDER);
  }
  Erase(qualified_key, *claim);
  return Outcome(wire::ClaimOutcome::DONE);
}

wire::ClaimOutcome ClaimLedger::Apply(const wire::ClaimAbandon& command) {
  const auto qualified_key = QualifiedKey(command.service(), command.key());
  auto* claim = FindAttempt(qualified_key, command.attempt());
  if (!claim) {
    return Outcome(IsTombstonedAttempt(qualified_key, command.attempt())
                       ? wire::ClaimOutcome::DONE
                       : wire::ClaimOutcome::STALE_HOLDER);
  }
  if (const auto state = claim->record.state();
      state == State::HELD || state == State::UNKNOWN) {
    Settle(qualified_key, *claim, State::ABANDONED);
    EnforceRetention();
  }
  return Outcome(wire::ClaimOutcome::DONE);
}

void ClaimLedger::Apply(const wire::HolderGone& command) {
  gone_holders_.Add(command.holder());
  const auto found = held_by_.find(command.holder());
  if (found == held_by_.end()) {
    return;
  }
  const auto qualified_keys = std::move(found->second);
  held_by_.erase(found);
  for (const auto& qualified_key : qualified_keys) {
    Settle(qualified_key, claims_.at(qualified_key), State::UNKNOWN);
  }
  EnforceRetention();
}

wire::ClaimLedgerSnapshot ClaimLedger::Snapshot() const {
  wire::ClaimLedgerSnapshot snapshot;
  snapshot.set_last_attempt(last_attempt_);
  for (const auto& holder : gone_holders_.holders()) {
    snapshot.add_gone_holders(holder);
  }
  tombstones_.Save(snapshot);
  for (const auto& [holder, qualified_keys] : held_by_) {
    for (const auto& qualified_key : qualified_keys) {
      *snapshot.add_held() = claims_.at(qualified_key).record;
    }
  }
  for (const auto& [order, qualified_key] : settled_) {
    *snapshot.add_settled() = claims_.at(qualified_key).record;
  }
  return snapshot;
}

void ClaimLedger::Restore(const wire::ClaimLedgerSnapshot& snapshot) {
  *this = ClaimLedger(retention_);
  last_attempt_ = snapshot.last_attempt();
  gone_holders_.Load(snapshot.gone_holders());
  tombstones_.Load(snapshot);
  for (const auto& record : snapshot.held()) {
    const auto qualified_key = QualifiedKey(record.service(), record.key());
    claims_[qualified_key].record = record;
    held_by_[record.holder()].insert(qualified_key);
  }
  for (const auto& record : snapshot.settled()) {
    const auto qualified_key = QualifiedKey(record.service(), record.key());
    auto& claim = claims_[qualified_key];
    claim.record = record;
    Settle(qualified_key, claim, record.state());
    if (record.state() == State::ANSWERED) {
      KeepAnswer(qualified_key, claim);
    }
  }
}

// The length of the service's name keeps different pairs of service and key
// from giving the same text.
std::string ClaimLedger::QualifiedKey(const std::string& service,
                                      const std::string& key) {
  return std::to_string(service.size()) + ':' + service + key;
}

ClaimLedger::Claim* ClaimLedger::FindAttempt(const std::string& qualified_key,
                                             uint64_t attempt) {
  const auto found = claims_.find(qualified_key);
  if (found == claims_.end() || found->second.record.attempt() != attempt) {
    return nullptr;
  }
  return &found->second;
}

wire::ClaimOutcome ClaimLedger::Grant(const std::string& qualified_key,
                                      const wire::ClaimOpen& command) {
  auto& record = claims_[qualified_key].record;
  record.set_service(command.service());
  record.set_key(command.key());
  record.set_request_digest(command.request_digest());
  record.set_holder(command.holder());
  record.set_attempt(++last_attempt_);
  record.set_state(State::HELD);
  held_by_[command.holder()].insert(qualified_key);
  auto outcome = Outcome(wire::ClaimOutcome::GRANTED);
  outcome.set_attempt(record.attempt());
  return outcome;
}

// A claim that was settled before keeps its position, so that retention is
// counted from the first time.
void ClaimLedger::Settle(const std::string& qualified_key,
                         Claim& claim,
                         wire::ClaimSnapshot::State state) {
  RemoveFromHolder(qualified_key, claim.record.holder());
  claim.record.set_state(state);
  if (claim.settled_order == 0) {
    claim.settled_order = ++last_order_;
    settled_.emplace(claim.settled_order, qualified_key);
  }
}

void ClaimLedger::KeepAnswer(const std::string& qualified_key, Claim& claim) {
  const auto bytes = claim.record.body().size();
  if (bytes > retention_.max_kept_answer_bytes) {
    claim.record.clear_body();
    claim.record.set_state(State::FORGOTTEN);
    return;
  }
  answers_.emplace(claim.settled_order, qualified_key);
  answer_bytes_ += bytes;
}

void ClaimLedger::ForgetAnswer(Claim& claim) {
  answer_bytes_ -= claim.record.body().size();
  answers_.erase(claim.settled_order);
  claim.record.clear_body();
  claim.record.clear_content_type();
  claim.record.set_state(State::FORGOTTEN);
}

void ClaimLedger::RemoveFromHolder(const std::string& qualified_key,
                                   const std::string& holder) {
  const auto found = held_by_.find(holder);
  if (found == held_by_.end()) {
    return;
  }
  found->second.erase(qualified_key);
  if (found->second.empty()) {
    held_by_.erase(found);
  }
}

void ClaimLedger::Erase(const std::string& qualified_key, Claim& claim) {
  if (claim.record.state() == State::ANSWERED) {
    ForgetAnswer(claim);
  }
  RemoveFromHolder(qualified_key, claim.record.holder());
  settled_.erase(claim.settled_order);
  claims_.erase(std::string(qualified_key));
}

wire::ClaimOutcome ClaimLedger::OpenTombstoned(
    const ClaimTombstone& tombstone,
    const wire::ClaimOpen& command) const {
  const bool same = tombstone.request ==
                    ClaimTombstones::RequestHash(command.request_digest());
  return Outcome(same ? wire::ClaimOutcome::UNKNOWN
                      : wire::ClaimOutcome::MISMATCH);
}

bool ClaimLedger::IsTombstonedAttempt(const std::string& qualified_key,
                                      uint64_t attempt) const {
  const auto* tombstone = tombstones_.Find(qualified_key);
  return tombstone && tombstone->attempt == attempt;
}

void ClaimLedger::ReplaceWithTombstone(const std::string& qualified_key) {
  auto& claim = claims_.at(qualified_key);
  const auto& record = claim.record;
  tombstones_.Add(qualified_key, record.request_digest(), record.attempt(),
                  record.state() == State::UNKNOWN);
  Erase(qualified_key, claim);
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
