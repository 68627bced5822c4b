#include "programs/entry/claimed_call.h"

#include <fmt/format.h>

#include <utility>

#include "programs/entry/claim_settlement.h"
#include "programs/entry/json_answer.h"

namespace limpethatch {
namespace {

constexpr int kMaxUnsentTries = 3;
// Between two looks at a key that another call has open.
constexpr Duration kOwnKeyPause = std::chrono::milliseconds(10);
constexpr Duration kOtherKeyPause = std::chrono::milliseconds(100);

using wire::ClaimOutcome;

HttpResponse RecordedAnswer(const ClaimOutcome& claim) {
  HttpResponse response;
  response.status = claim.status();
  if (!claim.content_type().empty()) {
    response.headers.Set("Content-Type", claim.content_type());
  }
  response.headers.Set("Idempotency-Replayed", "true");
  response.body = claim.body();
  return response;
}

class ClaimedCall {
 public:
  ClaimedCall(EntryContext& context, const PlainCall& call)
      : context_(context), call_(call), digest_(call.digest) {
    const std::string_view key = call.request.headers.Get("Idempotency-Key");
    own_key_ = key.empty();
    claim_.service = call.service;
    claim_.key =
        own_key_ ? fmt::format("{}/{:016x}", context.Holder(), context.Random())
                 : std::string(key);
  }

  HttpResponse Run(Yield yield) {
    if (!AwaitKey(yield)) {
      return RefusalAnswer(InProgress());
    }
    while (true) {
      const ControlOutcome opened = Open(yield);
      if (opened.certainty != ControlCertainty::kDone) {
        return NotOpened(opened.certainty);
      }
      const ClaimOutcome& outcome = opened.result.claim();
      switch (outcome.verdict()) {
        case ClaimOutcome::GRANTED:
          claim_.attempt = outcome.attempt();
          return Send(yield);
        case ClaimOutcome::ANSWERED:
          return RecordedAnswer(outcome);
        case ClaimOutcome::MISMATCH:
          return RefusalAnswer(KeyReused());
        case ClaimOutcome::STALE_HOLDER:
          context_.RenewHolder(claim_.holder);
          break;
        case ClaimOutcome::IN_PROGRESS:
          SleepFor(yield, kOtherKeyPause);
          break;
        default:
          return RefusalAnswer(OutcomeUnknown());
      }
      if (Clock::now() >= call_.deadline) {
        return RefusalAnswer(InProgress());
      }
    }
  }

 private:
  // Waits while another call of this instance has the key.
  bool AwaitKey(Yield yield) {
    while (true) {
      hold_ = context_.open_keys.TryOpen(claim_.service, claim_.key);
      if (hold_ || Clock::now() >= call_.deadline) {
        return hold_ != nullptr;
      }
      SleepFor(yield, kOwnKeyPause);
    }
  }

  ControlOutcome Open(Yield yield) {
    claim_.holder = context_.Holder();
    wire::Command command;
    wire::ClaimOpen* open = command.mutable_claim_open();
    open->set_service(claim_.service);
    open->set_key(claim_.key);
    open->set_request_digest(digest_);
    open->set_holder(claim_.holder);
    return context_.control.Call(yield, command, call_.deadline);
  }

  // Nothing is sent without a grant, so this sending did not run; an earlier
  // one with the caller's key may have.
  HttpResponse NotOpened(ControlCertainty certainty) {
    if (certainty == ControlCertainty::kUncertain) {
      ReleaseUncertain(context_, hold_, claim_, digest_);
    }
    return RefusalAnswer(NoQuorum(own_key_ ? Ran::kNotRun : Ran::kMayHaveRun));
  }

  // A grant says that no earlier sending ran.
  HttpResponse Send(Yield yield) {
    auto admitted = Admit(context_, yield, call_);
    if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
      Release(context_, hold_, claim_);
      return RefusalAnswer(*refusal);
    }
    auto& place = std::get<AdmissionGate::Place>(admitted);
    HttpOutcome sent = TryTargets(yield);
    place.Finish(sent.progress == CallProgress::kAnswered
                     ? CallOutcome::kAnswered
                     : CallOutcome::kFailed);
    if (sent.progress == CallProgress::kAnswered) {
      Record(context_, yield, hold_, claim_, sent.response, call_.deadline);
      return std::move(sent.response);
    }
    if (sent.progress == CallProgress::kNotSent) {
      Release(context_, hold_, claim_);
      if (poison_) {
        return RefusalAnswer(PoisonRequest());
      }
      return RefusalAnswer(Clock::now() >= call_.deadline
                               ? DeadlinePassed(Ran::kNotRun)
                               : NoTarget(call_.service));
    }
    Abandon(context_, hold_, claim_);
    return RefusalAnswer(TargetFailed(Ran::kMayHaveRun));
  }

  // Goes on to another target only while nothing was sent: the claim covers
  // one sending. An answer that is slow to come is waited for.
  HttpOutcome TryTargets(Yield yield) {
    TryOptions options;
    options.fresh_connection = true;
    HttpOutcome outcome;
    for (int i = 0; i < kMaxUnsentTries && Clock::now() < call_.deadline; ++i) {
      TargetTry result = TryOnce(context_, yield, call_, options);
      poison_ = result.poison;
      if (result.target.empty()) {
        break;
      }
      outcome = std::move(result.outcome);
      if (outcome.progress != CallProgress::kNotSent) {
        break;
      }
      options.excluded.push_back(result.target);
    }
    return outcome;
  }

  EntryContext& context_;
  const PlainCall& call_;
  const std::string digest_;
  bool own_key_ = false;
  bool poison_ = false;
  Claim claim_;
  OpenKeys::HoldPtr hold_;
};

}  // namespace

HttpResponse CallOnce(EntryContext& context,
                      Yield yield,
                      const PlainCall& call) {
  return ClaimedCall(context, call).Run(yield);
}

}  // namespace limpethatch
