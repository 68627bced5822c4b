#include "programs/entry/claimed_call.h"

#include <fmt/format.h>

#include <utility>

#include "programs/entry/claim_settlement.h"
#include "programs/entry/json_response.h"

namespace limpethatch {
namespace {

constexpr int kMaxUnsentAttempts = 3;
// While another call of this instance holds the key.
constexpr Duration kKeyLockPollInterval = std::chrono::milliseconds(10);
// While another holder has the claim.
constexpr Duration kClaimPollInterval = std::chrono::milliseconds(100);

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
    generated_key_ = key.empty();
    claim_.service = call.service;
    claim_.key = generated_key_ ? fmt::format("{}/{:016x}", context.Holder(),
                                              context.Random())
                                : std::string(key);
  }

  HttpResponse Run(Yield yield) {
    if (!LockKey(yield)) {
      return RefusalResponse(InProgress());
    }
    while (true) {
      const ControlOutcome opened = OpenClaim(yield);
      if (opened.certainty != ControlCertainty::kDone) {
        return OpenFailedResponse(opened.certainty);
      }
      const ClaimOutcome& outcome = opened.result.claim();
      switch (outcome.verdict()) {
        case ClaimOutcome::GRANTED:
          claim_.attempt = outcome.attempt();
          return SendOnce(yield);
        case ClaimOutcome::ANSWERED:
          return RecordedAnswer(outcome);
        case ClaimOutcome::MISMATCH:
          return RefusalResponse(KeyReused());
        case ClaimOutcome::STALE_HOLDER:
          context_.RenewHolder(claim_.holder);
          break;
        case ClaimOutcome::IN_PROGRESS:
          SleepFor(yield, kClaimPollInterval);
          break;
        default:
          return RefusalResponse(OutcomeUnknown());
      }
      if (Clock::now() >= call_.deadline) {
        return RefusalResponse(InProgress());
      }
    }
  }

 private:
  // Waits while another call of this instance holds the key. Returns false at
  // the deadline.
  bool LockKey(Yield yield) {
    while (true) {
      key_lock_ = context_.key_locks.TryAcquire(claim_.service, claim_.key);
      if (key_lock_ || Clock::now() >= call_.deadline) {
        return key_lock_ != nullptr;
      }
      SleepFor(yield, kKeyLockPollInterval);
    }
  }

  ControlOutcome OpenClaim(Yield yield) {
    claim_.holder = context_.Holder();
    wire::Command command;
    wire::ClaimOpen* open = command.mutable_claim_open();
    open->set_service(claim_.service);
    open->set_key(claim_.key);
    open->set_request_digest(digest_);
    open->set_holder(claim_.holder);
    return context_.control.Call(yield, command, call_.deadline);
  }

  // Without a grant nothing is sent, so this request did not run. An earlier
  // request with the same key from the caller may have.
  HttpResponse OpenFailedResponse(ControlCertainty certainty) {
    if (certainty == ControlCertainty::kUncertain) {
      ReleaseUncertainClaim(context_, key_lock_, claim_, digest_);
    }
    return RefusalResponse(
        NoQuorum(generated_key_ ? Ran::kNotRun : Ran::kMayHaveRun));
  }

  // A grant implies that no earlier request with this key ran.
  HttpResponse SendOnce(Yield yield) {
    auto admitted = Admit(context_, yield, call_);
    if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
      ReleaseClaim(context_, key_lock_, claim_);
      return RefusalResponse(*refusal);
    }
    auto& ticket = std::get<AdmissionController::Ticket>(admitted);
    HttpOutcome sent = TryTargets(yield);
    ticket.Finish(sent.progress == CallProgress::kAnswered
                      ? CallOutcome::kAnswered
                      : CallOutcome::kFailed);
    if (sent.progress == CallProgress::kAnswered) {
      RecordClaimAnswer(context_, yield, key_lock_, claim_, sent.response,
                        call_.deadline);
      return std::move(sent.response);
    }
    if (sent.progress == CallProgress::kNotSent) {
      ReleaseClaim(context_, key_lock_, claim_);
      if (refused_as_poison_) {
        return RefusalResponse(PoisonRequest());
      }
      return RefusalResponse(Clock::now() >= call_.deadline
                                 ? DeadlinePassed(Ran::kNotRun)
                                 : NoTarget(call_.service));
    }
    AbandonClaim(context_, key_lock_, claim_);
    return RefusalResponse(TargetFailed(Ran::kMayHaveRun));
  }

  // Moves to another target only while nothing was sent, since the claim allows
  // the request to be sent once. A slow answer is awaited until the deadline.
  HttpOutcome TryTargets(Yield yield) {
    AttemptOptions options;
    options.fresh_connection = true;
    HttpOutcome outcome;
    for (int i = 0; i < kMaxUnsentAttempts && Clock::now() < call_.deadline;
         ++i) {
      TargetAttempt result = CallOneTarget(context_, yield, call_, options);
      refused_as_poison_ = result.refused_as_poison;
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
  bool generated_key_ = false;
  bool refused_as_poison_ = false;
  Claim claim_;
  KeyLocks::LockPtr key_lock_;
};

}  // namespace

HttpResponse CallAtMostOnce(EntryContext& context,
                            Yield yield,
                            const PlainCall& call) {
  return ClaimedCall(context, call).Run(yield);
}

}  // namespace limpethatch
