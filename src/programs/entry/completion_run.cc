#include "programs/entry/completion_run.h"

#include <algorithm>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/process/log.h"
#include "limpethatch/request/digest.h"

namespace limpethatch {
namespace {

// Prompts whose first kPrefixBytes are equal are routed to the same engine,
// which has that prefix in its cache.
constexpr size_t kPrefixBytes = 256;

std::chrono::milliseconds RemainingTime(TimePoint deadline) {
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
                      deadline - Clock::now()),
                  std::chrono::milliseconds(1));
}

}  // namespace

CompletionRun::CompletionRun(EntryContext& context,
                             const LiveCompletion& completion,
                             CompletionWriter& writer)
    : context_(context),
      completion_(completion),
      writer_(writer),
      state_(
          context.services.GetOrCreate(completion.pool, TargetKind::kEngine)),
      guarded_request_{completion.pool,
                       BytesToHex(RequestDigest(completion.request.prompt)),
                       completion.deadline} {
  failed_request_.run = Ran::kNotRun;
  failed_request_.idempotent = true;
  failed_request_.resumable = true;
  failed_request_.deadline = completion.deadline;
}

CallOutcome CompletionRun::Run(Yield yield) {
  state_->budget.OnFirstAttempt();
  while (true) {
    if (!GuardedAttempt(yield)) {
      writer_.Finish(generation_, finish_reason_);
      return CallOutcome::kAnswered;
    }
    if (caller_disconnected_) {
      return CallOutcome::kCancelled;
    }
    if (const auto refusal = HandleFailure(yield)) {
      writer_.WriteRefusal(*refusal);
      return CallOutcome::kFailed;
    }
    ++failed_request_.attempts;
  }
}

std::error_code CompletionRun::GuardedAttempt(Yield yield) {
  AttemptPermit permit = context_.poison_guard->AcquirePermit(
      yield, guarded_request_,
      [this](const std::vector<std::string>& excluded) {
        return ChooseEngine(excluded);
      });
  refused_as_poison_ = permit.refused;
  engine_found_ = permit.target != nullptr;
  if (!engine_found_) {
    // Any error will do, as HandleFailure checks engine_found_.
    return std::make_error_code(std::errc::no_such_device);
  }
  CallProgress progress = CallProgress::kNotSent;
  const std::error_code error = Attempt(yield, *permit.target, &progress);
  if (progress == CallProgress::kNotSent || caller_disconnected_) {
    context_.poison_guard->ReleasePermit(permit);
  } else {
    context_.poison_guard->OnAttemptEnded(yield, guarded_request_, permit,
                                          error);
  }
  return error;
}

RoutedTargetPtr CompletionRun::ChooseEngine(std::vector<std::string> excluded) {
  excluded.insert(excluded.end(), failed_engines_.begin(),
                  failed_engines_.end());
  RouteRequest route;
  route.service = completion_.pool;
  route.request_class = RequestClass::kLive;
  route.prefix_hash = ContentDigest(
      std::string_view(completion_.request.prompt).substr(0, kPrefixBytes));
  route.excluded = excluded;
  route.random = context_.Random();
  route.now = Clock::now();
  if (!generation_.ranges().empty()) {
    route.version = generation_.ranges().back().version;
    if (RoutedTargetPtr same_version = context_.Choose(route)) {
      return same_version;
    }
    route.version.reset();
  }
  return context_.Choose(route);
}

std::error_code CompletionRun::Attempt(Yield yield,
                                       const RoutedTarget& engine,
                                       CallProgress* progress) {
  CompletionRequest request = completion_.request;
  request.resume_text = generation_.text();
  request.resume_tokens = generation_.tokens();
  request.timeout = RemainingTime(completion_.deadline);
  HttpCallOptions options;
  options.deadline = completion_.deadline;
  options.progress_timeout = context_.ProgressTimeout(*state_);
  options.fresh_connection = failed_request_.attempts > 1;
  CallTicket ticket(engine, RequestClass::kLive, Clock::now());
  std::error_code error;
  const auto stream =
      CompletionStream::Open(yield, context_.client, engine.target.address,
                             request, options, progress, &error);
  if (stream) {
    error = ReadStream(yield, *stream);
  }
  if (stream) {
    *progress = CallProgress::kMaybeRan;
  }
  if (*progress == CallProgress::kMaybeRan) {
    failed_request_.run = Ran::kMayHaveRun;
  }
  if (error && !caller_disconnected_) {
    failed_engines_.push_back(engine.target.id);
    Log(LogLevel::kInfo, "completion_attempt_failed",
        {{"engine", engine.target.id},
         {"tokens", generation_.tokens()},
         {"error", error.message()}});
  }
  if (error == HttpError::kNoProgress) {
    state_->silence.OnDrop();
  }
  ticket.Finish(caller_disconnected_ ? CallOutcome::kCancelled
                : error              ? CallOutcome::kFailed
                                     : CallOutcome::kAnswered,
                Clock::now());
  return error;
}

std::error_code CompletionRun::ReadStream(Yield yield,
                                          CompletionStream& stream) {
  Generation received;
  received.Resume(generation_.text(), generation_.ranges());
  TimePoint last_event_at = Clock::now();
  while (true) {
    Result<CompletionStream::Event> event = stream.Next(yield);
    if (!event) {
      generation_ = std::move(received);
      return event.error();
    }
    const TimePoint now = Clock::now();
    state_->silence.OnProgress(now - std::exchange(last_event_at, now));
    if (const auto* end = std::get_if<GenerationEnd>(&event.value())) {
      if (const std::error_code error = received.Verify(*end)) {
        // `received` is discarded. If part of it was already written to the
        // caller, the completion fails.
        inconsistent_ = true;
        return error;
      }
      finish_reason_ = end->finish_reason;
      generation_ = std::move(received);
      return {};
    }
    const auto& piece = std::get<GenerationPiece>(event.value());
    if (const std::error_code error = received.Append(piece)) {
      inconsistent_ = true;
      return error;
    }
    if (const std::error_code error = writer_.WritePiece(piece)) {
      caller_disconnected_ = true;
      return error;
    }
  }
}

std::optional<Refusal> CompletionRun::HandleFailure(Yield yield) {
  if (refused_as_poison_) {
    return PoisonRequest();
  }
  const Ran ran = failed_request_.run;
  if (std::exchange(inconsistent_, false) && writer_.started()) {
    return TargetFailed(ran);
  }
  if (!engine_found_) {
    failed_engines_.clear();  // None is left: allow engines that failed before.
  }
  failed_request_.streamed_tokens = generation_.tokens();
  const RetryDecision decision = DecideRetry(failed_request_, state_->budget,
                                             context_.Random(), Clock::now());
  if (const auto* refused = std::get_if<RefuseRetry>(&decision)) {
    if (refused->reason == RetryRefusal::kDeadline) {
      return DeadlinePassed(ran);
    }
    return engine_found_ || ran != Ran::kNotRun ? TargetFailed(ran)
                                                : NoTarget(completion_.service);
  }
  SleepFor(yield, std::get<RetryCall>(decision).not_before - Clock::now());
  return std::nullopt;
}

}  // namespace limpethatch
