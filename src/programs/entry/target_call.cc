#include "programs/entry/target_call.h"

#include <algorithm>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/request/retry_decision.h"
#include "programs/entry/json_response.h"
#include "programs/entry/poison_guard.h"
#include "programs/entry/request_headers.h"

namespace limpethatch {
namespace {

RoutedTargetPtr ChooseTarget(EntryContext& context,
                             const PlainCall& call,
                             const std::vector<std::string>& excluded) {
  RouteRequest route;
  route.service = call.service;
  route.request_class = RequestClass::kLookup;
  route.excluded = excluded;
  route.random = context.Random();
  route.now = Clock::now();
  return context.Choose(route);
}

HttpResponse FailureResponse(const RefuseRetry& refused,
                             TimePoint deadline,
                             bool target_found,
                             const PlainCall& call) {
  const Ran ran = refused.run;
  if (Clock::now() >= deadline || refused.reason == RetryRefusal::kDeadline) {
    return RefusalResponse(DeadlinePassed(ran));
  }
  return RefusalResponse(!target_found && ran == Ran::kNotRun
                             ? NoTarget(call.service)
                             : TargetFailed(ran));
}

// An idempotent request with all its attempts.
class IdempotentCall {
 public:
  IdempotentCall(EntryContext& context, const PlainCall& call)
      : context_(context),
        call_(call),
        state_(context.services.GetOrCreate(call.service,
                                            TargetKind::kPlainService)) {}

  HttpResponse Run(Yield yield) {
    auto admitted = Admit(context_, yield, call_);
    if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
      return RefusalResponse(*refusal);
    }
    auto& ticket = std::get<AdmissionController::Ticket>(admitted);
    state_->budget.OnFirstAttempt();
    while (true) {
      TargetAttempt result = Attempt(yield);
      if (result.outcome.progress == CallProgress::kAnswered) {
        ticket.Finish(CallOutcome::kAnswered);
        return std::move(result.outcome.response);
      }
      if (result.refused_as_poison) {
        ticket.Finish(CallOutcome::kCancelled);
        return RefusalResponse(PoisonRequest());
      }
      const RetryDecision decision = DecideRetry(
          failed_request_, state_->budget, context_.Random(), Clock::now());
      if (const auto* refused = std::get_if<RefuseRetry>(&decision)) {
        ticket.Finish(CallOutcome::kFailed);
        return FailureResponse(*refused, call_.deadline, !result.target.empty(),
                               call_);
      }
      SleepFor(yield, std::get<RetryCall>(decision).not_before - Clock::now());
      ++failed_request_.attempts;
    }
  }

 private:
  TargetAttempt Attempt(Yield yield) {
    options_.fresh_connection = failed_request_.attempts > 1;
    options_.progress_timeout = context_.ProgressTimeout(*state_);
    const TimePoint start = Clock::now();
    TargetAttempt result = CallOneTarget(context_, yield, call_, options_);
    if (result.outcome.progress == CallProgress::kAnswered) {
      state_->silence.OnProgress(Clock::now() - start);
      return result;
    }
    if (result.outcome.error == HttpError::kNoProgress) {
      state_->silence.OnDrop();
    }
    if (result.outcome.progress == CallProgress::kMaybeRan) {
      failed_request_.run = Ran::kMayHaveRun;
    }
    if (result.target.empty()) {
      // None is left: allow targets that failed before.
      options_.excluded.clear();
    } else {
      options_.excluded.push_back(result.target);
    }
    return result;
  }

  EntryContext& context_;
  const PlainCall& call_;
  const ServiceStatePtr state_;
  AttemptOptions options_;
  FailedRequest failed_request_{.run = Ran::kNotRun,
                                .idempotent = true,
                                .deadline = call_.deadline};
};

}  // namespace

std::variant<AdmissionController::Ticket, Refusal>
Admit(EntryContext& context, Yield yield, const PlainCall& call) {
  AdmissionRequest request;
  request.flow = call.flow;
  request.weight = call.weight;
  request.request_class = RequestClass::kLookup;
  request.deadline = call.deadline;
  RefuseRequest refused;
  auto ticket =
      context.services.GetOrCreate(call.service, TargetKind::kPlainService)
          ->admission->Acquire(yield, std::move(request), &refused);
  if (!ticket) {
    return Overloaded(call.service, refused.retry_after);
  }
  return std::move(*ticket);
}

TargetAttempt CallOneTarget(EntryContext& context,
                            Yield yield,
                            const PlainCall& call,
                            const AttemptOptions& options) {
  TargetAttempt result;
  const GuardedRequest guarded{call.service, call.digest, call.deadline};
  AttemptPermit permit = context.poison_guard->AcquirePermit(
      yield, guarded, [&](std::vector<std::string> excluded) {
        excluded.insert(excluded.end(), options.excluded.begin(),
                        options.excluded.end());
        return ChooseTarget(context, call, excluded);
      });
  result.refused_as_poison = permit.refused;
  if (!permit.target) {
    return result;
  }
  const Target& target = permit.target->target;
  result.target = target.id;
  HttpRequest request = call.request;
  SetTimeoutHeader(request, call.deadline, Clock::now());
  HttpCallOptions call_options;
  call_options.deadline = call.deadline;
  call_options.progress_timeout = options.progress_timeout;
  call_options.fresh_connection = options.fresh_connection;
  CallTicket ticket(*permit.target, RequestClass::kLookup, Clock::now());
  result.outcome =
      context.client.Call(yield, target.address, request, call_options);
  const bool answered = result.outcome.progress == CallProgress::kAnswered;
  ticket.Finish(answered ? CallOutcome::kAnswered : CallOutcome::kFailed,
                Clock::now());
  if (result.outcome.progress != CallProgress::kNotSent) {
    context.poison_guard->OnAttemptEnded(yield, guarded, permit,
                                         result.outcome.error);
  } else {
    context.poison_guard->ReleasePermit(permit);
  }
  return result;
}

HttpResponse CallIdempotent(EntryContext& context,
                            Yield yield,
                            const PlainCall& call) {
  return IdempotentCall(context, call).Run(yield);
}

}  // namespace limpethatch
