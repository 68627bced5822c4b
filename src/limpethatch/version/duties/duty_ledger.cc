#include "limpethatch/version/duties/duty_ledger.h"

namespace limpethatch {

void DutyLedger::Apply(const wire::DutyClaim& claim) {
  DutyHolding& holding = holdings_[claim.duty()];
  if (claim.term() < holding.term) {
    return;
  }
  holding.term = claim.term();
  if (holding.holder != claim.holder()) {
    holding.holder = claim.holder();
    ++holding.token;
  }
  if (claim.refused_token() >= holding.token) {
    // After the loss of all replicas the token starts anew. Doubling it reaches
    // the one that the platform has seen within a few calls.
    holding.token = 2 * claim.refused_token();
  }
}

void DutyLedger::Restore(const wire::DutyState& state) {
  holdings_[state.duty()] = {state.holder(), state.token(), state.term()};
}

std::vector<wire::DutyState> DutyLedger::Snapshot() const {
  std::vector<wire::DutyState> states;
  for (const auto& [duty, holding] : holdings_) {
    wire::DutyState& state = states.emplace_back();
    state.set_duty(duty);
    state.set_holder(holding.holder);
    state.set_token(holding.token);
    state.set_term(holding.term);
  }
  return states;
}

DutyHolding DutyLedger::Find(std::string_view duty) const {
  const auto found = holdings_.find(duty);
  return found == holdings_.end() ? DutyHolding{} : found->second;
}

}  // namespace limpethatch
