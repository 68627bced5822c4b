#include "limpethatch/request/claim_ledger.h"

#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using Outcome = wire::ClaimOutcome;

// Simulates entry instances that crash, resend, answer late and answer twice,
// and checks that each key is run at most once.
class ClaimSimulation {
 public:
  void Handle(uint8_t kind, uint16_t choice) {
    switch (kind % 8) {
      case 0:
      case 1:
      case 2:
        return Open(choice);
      case 3:
        return Answer(choice);
      case 4:
        return Release(choice);
      case 5:
        return Abandon(choice);
      case 6:
        return Crash(choice);
      default:
        return replica_.Restore(ledger_.Snapshot());
    }
  }

 private:
  struct Attempt {
    std::string key;
    std::string holder;
    bool ran = false;
    bool released = false;
    bool abandoned = false;
  };
  struct Key {
    uint32_t runs = 0;
    uint64_t outstanding = 0;
    std::string answer;  // The first recorded.
  };

  static constexpr ClaimRetention kRetention{2, 64, 1000, 32};

  template <typename Command>
  Outcome Apply(const Command& command) {
    const auto result = ledger_.Apply(command);
    RC_ASSERT(replica_.Apply(command).SerializeAsString() ==
              result.SerializeAsString());
    return result;
  }

  std::string Holder(uint16_t choice) const {
    const auto holder = choice % 3;
    return std::to_string(holder) + '#' + std::to_string(incarnations_[holder]);
  }

  void Open(uint16_t choice) {
    wire::ClaimOpen open;
    open.set_service("desk");
    open.set_key("order-" + std::to_string(choice % 4));
    open.set_request_digest(choice % 11 == 10 ? "other" : "same");
    open.set_holder(Holder(choice));
    const auto outcome = Apply(open);
    auto& key = keys_[open.key()];
    if (outcome.verdict() == Outcome::GRANTED) {
      return Granted(key, open, outcome.attempt(), choice % 2 == 0);
    }
    if (outcome.verdict() == Outcome::ANSWERED) {
      RC_ASSERT(outcome.body() == key.answer);
      RC_ASSERT(outcome.status() == 201);
    }
    if (outcome.verdict() == Outcome::IN_PROGRESS) {
      RC_ASSERT(key.answer.empty());
      RC_ASSERT(attempts_.at(key.outstanding).holder != open.holder());
    }
    RC_ASSERT(key.outstanding != 0U);
  }

  // The holder runs an attempt once immediately, or never.
  void Granted(Key& key, const wire::ClaimOpen& open, uint64_t id, bool run) {
    if (key.outstanding == id) {
      RC_ASSERT(attempts_.at(id).holder == open.holder());
      return;
    }
    RC_ASSERT((key.outstanding == 0 || attempts_.at(key.outstanding).released));
    RC_ASSERT(attempts_.count(id) == 0U);
    key.outstanding = id;
    attempts_[id] = {open.key(), open.holder(), run, false, false};
    key.runs += run ? 1 : 0;
    RC_ASSERT(key.runs <= 1U);
  }

  template <typename Command>
  Attempt* Choose(uint16_t choice, Command& command) {
    if (attempts_.empty()) {
      return nullptr;
    }
    auto& [id, attempt] = *std::next(
        attempts_.begin(), static_cast<long>(choice % attempts_.size()));
    command.set_service("desk");
    command.set_key(attempt.key);
    command.set_holder(attempt.holder);
    command.set_attempt(id);
    return &attempt;
  }

  void Answer(uint16_t choice) {
    wire::ClaimAnswer answer;
    auto* attempt = Choose(choice, answer);
    if (!attempt || !attempt->ran) {
      return;
    }
    answer.set_status(201);
    answer.set_body(std::string(1 + choice % 40, 'a'));
    RC_ASSERT(Apply(answer).verdict() == Outcome::DONE);
    auto& key = keys_.at(attempt->key);
    if (key.answer.empty()) {
      key.answer = answer.body();
    }
  }

  void Release(uint16_t choice) {
    wire::ClaimRelease release;
    auto* attempt = Choose(choice, release);
    if (!attempt || attempt->ran) {
      return;
    }
    const auto verdict = Apply(release).verdict();
    RC_ASSERT(
        (verdict == Outcome::DONE || attempt->released || attempt->abandoned));
    attempt->released = attempt->released || verdict == Outcome::DONE;
  }

  void Abandon(uint16_t choice) {
    wire::ClaimAbandon abandon;
    auto* attempt = Choose(choice, abandon);
    if (!attempt) {
      return;
    }
    const auto verdict = Apply(abandon).verdict();
    RC_ASSERT((verdict == Outcome::DONE) != attempt->released);
    attempt->abandoned = true;
  }

  void Crash(uint16_t choice) {
    wire::HolderGone gone;
    gone.set_holder(Holder(choice));
    ++incarnations_[choice % 3];
    ledger_.Apply(gone);
    replica_.Apply(gone);
    wire::ClaimOpen late;
    late.set_service("desk");
    late.set_key("late-" + gone.holder());
    late.set_holder(gone.holder());
    RC_ASSERT(Apply(late).verdict() == Outcome::STALE_HOLDER);
    RC_ASSERT(ledger_.answer_bytes() <= kRetention.answer_bytes);
  }

  ClaimLedger ledger_{kRetention};
  ClaimLedger replica_{kRetention};
  uint32_t incarnations_[3] = {};
  std::map<std::string, Key> keys_;
  std::map<uint64_t, Attempt> attempts_;
};

template <typename T>
rc::Gen<T> FullRange() {
  return rc::gen::resize(100, rc::gen::arbitrary<T>());
}

wire::ClaimOpen OpenCommand(const std::string& key) {
  wire::ClaimOpen open;
  open.set_service("desk");
  open.set_key(key);
  open.set_holder("holder");
  return open;
}

wire::ClaimAnswer AnswerCommand(const wire::ClaimOpen& open, uint64_t attempt) {
  wire::ClaimAnswer answer;
  answer.set_service(open.service());
  answer.set_key(open.key());
  answer.set_attempt(attempt);
  answer.set_body("done");
  return answer;
}

}  // namespace

Test(claim_ledger, a_request_runs_once_and_resends_get_its_recorded_outcome) {
  cr_assert(rc::check("at most one run per key under any interleaving", [] {
    ClaimSimulation simulation;
    const auto events = *rc::gen::scale(
        4.0, rc::gen::container<std::vector<std::pair<uint8_t, uint16_t>>>(
                 rc::gen::pair(FullRange<uint8_t>(), FullRange<uint16_t>())));
    for (const auto& [kind, choice] : events) {
      simulation.Handle(kind, choice);
    }
  }));
}

Test(claim_ledger, an_answer_no_longer_kept_is_unknown_and_not_granted_again) {
  ClaimLedger ledger({.settled = 1, .tombstones = 2});
  for (const auto* key : {"a", "b"}) {
    const auto open = OpenCommand(key);
    ledger.Apply(AnswerCommand(open, ledger.Apply(open).attempt()));
  }
  cr_assert(ledger.Apply(OpenCommand("a")).verdict() == Outcome::UNKNOWN);
  cr_assert(ledger.Apply(OpenCommand("b")).verdict() == Outcome::ANSWERED);
  cr_assert(ledger.settled() == 1);
  cr_assert(ledger.tombstones() == 1);
  wire::ClaimRelease release;
  release.set_service("desk");
  release.set_key("a");
  release.set_attempt(1);
  cr_assert(ledger.Apply(release).verdict() == Outcome::STALE_HOLDER);
  cr_assert(ledger.Apply(OpenCommand("a")).verdict() == Outcome::UNKNOWN);
}

Test(claim_ledger, an_answer_settles_a_claim_whose_holder_was_declared_gone) {
  ClaimLedger ledger;
  const auto open = OpenCommand("a");
  const auto attempt = ledger.Apply(open).attempt();
  wire::HolderGone gone;
  gone.set_holder("holder");
  ledger.Apply(gone);
  cr_assert(ledger.Apply(open).verdict() == Outcome::UNKNOWN);
  cr_assert(ledger.Apply(AnswerCommand(open, attempt)).verdict() ==
            Outcome::DONE);
  cr_assert(ledger.Apply(open).verdict() == Outcome::ANSWERED);
}

Test(claim_ledger, a_release_frees_no_claim_that_is_answered_or_abandoned) {
  ClaimLedger ledger;
  const auto answered = OpenCommand("a");
  const auto abandoned = OpenCommand("b");
  wire::ClaimRelease release;
  release.set_service("desk");
  release.set_key("a");
  release.set_attempt(ledger.Apply(answered).attempt());
  ledger.Apply(AnswerCommand(answered, release.attempt()));
  cr_assert(ledger.Apply(release).verdict() == Outcome::STALE_HOLDER);
  cr_assert(ledger.Apply(answered).verdict() == Outcome::ANSWERED);
  wire::ClaimAbandon abandon;
  abandon.set_service("desk");
  abandon.set_key("b");
  abandon.set_attempt(ledger.Apply(abandoned).attempt());
  ledger.Apply(abandon);
  release.set_key("b");
  release.set_attempt(abandon.attempt());
  cr_assert(ledger.Apply(release).verdict() == Outcome::STALE_HOLDER);
  cr_assert(ledger.Apply(abandoned).verdict() == Outcome::UNKNOWN);
}

}  // namespace limpethatch
