#include "programs/entry/claim_settlement.h"

#include <utility>

namespace limpethatch {
namespace {

constexpr Duration kSubmitTimeout = std::chrono::seconds(2);
constexpr Duration kSubmitRetryDelay = std::chrono::milliseconds(200);
// A command that was sent is unlikely to take effect later than this.
constexpr Duration kMaxCommandDelay = std::chrono::seconds(5);

using wire::ClaimOutcome;

template <typename Message>
void SetClaimFields(const Claim& claim, Message* message) {
  message->set_service(claim.service);
  message->set_key(claim.key);
  message->set_holder(claim.holder);
  message->set_attempt(claim.attempt);
}

// Retries until the group has applied the command.
wire::CommandResult SubmitUntilApplied(EntryContext& context,
                                       Yield yield,
                                       const wire::Command& command) {
  while (true) {
    ControlOutcome outcome =
        context.control.Call(yield, command, Clock::now() + kSubmitTimeout);
    if (outcome.certainty == ControlCertainty::kDone) {
      return std::move(outcome.result);
    }
    SleepFor(yield, kSubmitRetryDelay);
  }
}

void RunInBackground(EntryContext& context, std::function<void(Yield)> body) {
  ++context.unsettled_claims;
  Spawn(context.io, [&context, body = std::move(body)](Yield yield) {
    body(yield);
    --context.unsettled_claims;
  });
}

void SubmitInBackground(EntryContext& context,
                        const KeyLocks::LockPtr& key_lock,
                        wire::Command command) {
  RunInBackground(
      context, [&context, key_lock, command = std::move(command)](Yield yield) {
        SubmitUntilApplied(context, yield, command);
      });
}

void ReleaseIfGranted(EntryContext& context,
                      Yield yield,
                      Claim claim,
                      const wire::Command& open) {
  const wire::CommandResult opened = SubmitUntilApplied(context, yield, open);
  if (opened.claim().verdict() == ClaimOutcome::GRANTED) {
    claim.attempt = opened.claim().attempt();
    wire::Command release;
    SetClaimFields(claim, release.mutable_claim_release());
    SubmitUntilApplied(context, yield, release);
  }
}

}  // namespace

void RecordClaimAnswer(EntryContext& context,
                       Yield yield,
                       const KeyLocks::LockPtr& key_lock,
                       const Claim& claim,
                       const HttpResponse& response,
                       TimePoint deadline) {
  wire::Command command;
  wire::ClaimAnswer* answer = command.mutable_claim_answer();
  SetClaimFields(claim, answer);
  answer->set_status(response.status);
  answer->set_content_type(std::string(response.headers.Get("Content-Type")));
  answer->set_body(response.body);
  if (context.control.Call(yield, command, deadline).certainty !=
      ControlCertainty::kDone) {
    SubmitInBackground(context, key_lock, std::move(command));
  }
}

void ReleaseClaim(EntryContext& context,
                  const KeyLocks::LockPtr& key_lock,
                  const Claim& claim) {
  wire::Command command;
  SetClaimFields(claim, command.mutable_claim_release());
  SubmitInBackground(context, key_lock, std::move(command));
}

void AbandonClaim(EntryContext& context,
                  const KeyLocks::LockPtr& key_lock,
                  const Claim& claim) {
  wire::Command command;
  SetClaimFields(claim, command.mutable_claim_abandon());
  SubmitInBackground(context, key_lock, std::move(command));
}

void ReleaseUncertainClaim(EntryContext& context,
                           const KeyLocks::LockPtr& key_lock,
                           const Claim& claim,
                           const std::string& request_digest) {
  wire::Command open;
  wire::ClaimOpen* message = open.mutable_claim_open();
  message->set_service(claim.service);
  message->set_key(claim.key);
  message->set_request_digest(request_digest);
  message->set_holder(claim.holder);
  RunInBackground(context, [&context, key_lock = KeyLocks::LockPtr(key_lock),
                            claim, open](Yield yield) mutable {
    ReleaseIfGranted(context, yield, claim, open);
    // The first opening may be delayed and take effect after this release, so
    // the claim is opened and released once more. If another request has locked
    // the key by then, that request is left to settle the claim.
    key_lock.reset();
    SleepFor(yield, kMaxCommandDelay);
    key_lock = context.key_locks.TryAcquire(claim.service, claim.key);
    if (key_lock) {
      ReleaseIfGranted(context, yield, claim, open);
    }
  });
}

}  // namespace limpethatch
