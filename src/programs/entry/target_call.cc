#include "programs/entry/target_call.h"

#include <algorithm>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/request/retry_decision.h"
#include "programs/entry/json_answer.h"
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

HttpResponse GaveUp(const RefuseRetry& refused,
                    TimePoint deadline,
                    bool target_known,
                    const PlainCall& call) {
  const Ran ran = refused.run;
  if (Clock::now() >= deadline || refused.reason == RetryRefusal::kDeadline) {
    return RefusalAnswer(DeadlinePassed(ran));
  }
  return RefusalAnswer(!target_known && ran == Ran::kNotRun
                           ? NoTarget(call.service)
                           : TargetFailed(ran));
}

// One idempotent request over all of its tries.
class IdempotentCall {
 public:
  IdempotentCall(EntryContext& context, const PlainCall& call)
      : context_(context),
        call_(call),
        state_(context.services.Of(call.service, TargetKind::kPlainService)) {}

  HttpResponse Run(Yield yield) {
    auto admitted = Admit(context_, yield, call_);
    if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
      return RefusalAnswer(*refusal);
    }
    auto& place = std::get<AdmissionGate::Place>(admitted);
    state_->budget.OnFirstAttempt();
    while (true) {
      TargetTry result = Try(yield);
      if (result.outcome.progress == CallProgress::kAnswered) {
        place.Finish(CallOutcome::kAnswered);
        return std::move(result.outcome.response);
      }
      if (result.poison) {
        place.Finish(CallOutcome::kCancelled);
        return RefusalAnswer(PoisonRequest());
      }
      const RetryDecision decision =
          DecideRetry(failed_, state_->budget, context_.Random(), Clock::now());
      if (const auto* refused = std::get_if<RefuseRetry>(&decision)) {
        place.Finish(CallOutcome::kFailed);
        return GaveUp(*refused, call_.deadline, !result.target.empty(), call_);
      }
      SleepFor(yield, std::get<RetryCall>(decision).not_before - Clock::now());
      ++failed_.attempts;
    }
  }

 private:
  TargetTry Try(Yield yield) {
    options_.fresh_connection = failed_.attempts > 1;
    options_.progress_timeout = context_.ProgressTimeout(*state_);
    const TimePoint start = Clock::now();
    TargetTry result = TryOnce(context_, yield, call_, options_);
    if (result.outcome.progress == CallProgress::kAnswered) {
      state_->silence.OnProgress(Clock::now() - start);
      return result;
    }
    if (result.outcome.error == HttpError::kNoProgress) {
      state_->silence.OnDrop();
    }
    if (result.outcome.progress == CallProgress::kMaybeRan) {
      failed_.run = Ran::kMayHaveRun;
    }
    if (result.target.empty()) {
      options_.excluded.clear();  // Better one that failed than none.
    } else {
      options_.excluded.push_back(result.target);
    }
    return result;
  }

  EntryContext& context_;
  const PlainCall& call_;
  const ServiceStatePtr state_;
  TryOptions options_;
  FailedRequest failed_{.run = Ran::kNotRun,
                        .idempotent = true,
                        .deadline = call_.deadline};
};

}  // namespace

std::variant<AdmissionGate::Place, Refusal> Admit(EntryContext& context,
                                                  Yield yield,
                                                  const PlainCall& call) {
  AdmissionRequest request;
  request.flow = call.flow;
  request.weight = call.weight;
  request.request_class = RequestClass::kLookup;
  request.deadline = call.deadline;
  RefuseRequest refused;
  auto place = context.services.Of(call.service, TargetKind::kPlainService)
                   ->gate->Enter(yield, std::move(request), &refused);
  if (!place) {
    return Overloaded(call.service, refused.retry_after);
  }
  return std::move(*place);
}

TargetTry TryOnce(EntryContext& context,
                  Yield yield,
                  const PlainCall& call,
                  const TryOptions& options) {
  TargetTry result;
  const GuardedRequest guarded{call.service, call.digest, call.deadline};
  TryPermit permit = context.poison->Permit(
      yield, guarded, [&](std::vector<std::string> excluded) {
        excluded.insert(excluded.end(), options.excluded.begin(),
                        options.excluded.end());
        return ChooseTarget(context, call, excluded);
      });
  result.poison = permit.refused;
  if (!permit.target) {
    return result;
  }
  const Target& target = permit.target->target;
  result.target = target.id;
  HttpRequest request = call.request;
  SetTimeout(request, call.deadline, Clock::now());
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
    context.poison->Ended(yield, guarded, permit, result.outcome.error);
  } else {
    context.poison->NotRun(permit);
  }
  return result;
}

HttpResponse CallIdempotent(EntryContext& context,
                            Yield yield,
                            const PlainCall& call) {
  return IdempotentCall(context, call).Run(yield);
}

}  // namespace limpethatch
