#include "programs/gateway/live_attempt.h"

#include <chrono>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/relay_result.h"
#include "limpethatch/process/log.h"
#include "limpethatch/request/targets/estimate_choice.h"
#include "platform/call_codec.h"

namespace limpethatch {
namespace {

// Connections stay within a region; a peer that takes longer to connect is down
// or unreachable.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
// Maximum size of the body of an answer.
constexpr size_t kMaxAnswerBytes = 8UL * 1024 * 1024;
// Maximum size of the answers that are being read, all together.
constexpr size_t kMaxBufferedAnswerBytes = 32UL * 1024 * 1024;
// A refusal with a longer body is not read to its end, and its connection not
// reused.
constexpr size_t kMaxRefusalBytes = 64UL * 1024;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

using StatePtr = std::shared_ptr<LiveCallState>;

// Why an attempt brought no answer for the caller.
struct Failure {
  AttemptResult result = AttemptResult::kUnknown;
  std::string reason;
  std::error_code error;  // Of the connection; unset if a peer answered.
};

Failure ConnectionFailure(std::error_code error, CallProgress progress) {
  return {progress == CallProgress::kNotSent ? AttemptResult::kNotRun
                                             : AttemptResult::kUnknown,
          error.message(), error};
}

// Counts the bytes of one answer towards two totals while the answer is read.
class BufferedBytes {
 public:
  explicit BufferedBytes(LiveCallContext& context)
      : total_(context.buffered_answer_bytes),
        share_(context.memory.shared_from_this(), [] {}) {
    share_.BeginPhase(ClientMemory::Phase::kRunning, Clock::now());
  }
  ~BufferedBytes() { total_ -= share_.bytes(); }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  // Returns false if there is no room. Small answers may exceed the budget, as
  // their requests have run.
  bool Add(size_t bytes) {
    share_.Hold(share_.bytes() + bytes);
    total_ += bytes;
    share_.memory().MakeRoom(0, Clock::now());
    return total_ <= kMaxBufferedAnswerBytes &&
           (share_.bytes() <= ClientMemory::kMaxSmallBytes ||
            !share_.memory().IsExceeded());
  }

 private:
  size_t& total_;
  ClientMemory::Share share_;
};

// Reads the rest of a response.
std::optional<Failure> ReadBody(Yield yield,
                                LiveCallContext& context,
                                HttpStream& stream,
                                std::string* body) {
  BufferedBytes buffered(context);
  while (true) {
    Result<std::string> chunk = stream.Read(yield);
    if (!chunk) {
      return ConnectionFailure(chunk.error(), CallProgress::kMaybeRan);
    }
    if (chunk.value().empty()) {
      return std::nullopt;
    }
    if (!buffered.Add(chunk.value().size())) {
      return Failure{AttemptResult::kUnknown, "too_many_answer_bytes", {}};
    }
    *body += chunk.value();
  }
}

// Reads the rest of a refusal, so that its connection can be reused.
void SkipBody(Yield yield, HttpStream& stream) {
  for (size_t bytes = 0; bytes <= kMaxRefusalBytes;) {
    const Result<std::string> chunk = stream.Read(yield);
    if (!chunk || chunk.value().empty()) {
      return;
    }
    bytes += chunk.value().size();
  }
}

// Puts a complete answer into the state. Returns how the attempt failed if it
// is not for the caller, or only if no other attempt succeeds.
std::optional<Failure> Accept(LiveCallState& state,
                              TargetAnswer answer,
                              bool is_signed) {
  if (answer.response.status >= kFirstServerError) {
    state.target_failure = std::move(answer);
    return Failure{AttemptResult::kFailed, "target_error", {}};
  }
  if (answer.response.status < kFirstClientError && !is_signed) {
    return Failure{AttemptResult::kUnknown, "unsigned_answer", {}};
  }
  // Another attempt may have been answered a moment earlier.
  if (!state.answer) {
    state.answer = std::move(answer);
  }
  return std::nullopt;
}

// Updates the target's estimate with the load that its answer states.
void RecordLoad(LiveCallContext& context,
                const RoutedTarget& routed,
                const platform::TargetAnswerHeaders& headers,
                int status) {
  if (headers.load_malformed ||
      (headers.load && !routed.estimate->OnLoad(*headers.load, Clock::now()))) {
    context.metrics.CountImplausibleLoad();
  } else if (!headers.load && headers.is_signed && status < kFirstClientError) {
    // Refusals and errors may lack the figures.
    routed.estimate->OnNoLoad();
  }
}

// Records the end of a call in the target's estimate.
void RecordEnd(const RoutedTarget& routed, bool answered, TimePoint sent_at) {
  const TimePoint now = Clock::now();
  if (answered) {
    routed.estimate->OnAnswered(now - sent_at, now);
  } else {
    routed.estimate->OnAbandoned(now - sent_at, now);
  }
}

std::optional<Failure> ReadTargetAnswer(Yield yield,
                                        LiveCallContext& context,
                                        LiveCallState& state,
                                        const RoutedTarget& routed,
                                        HttpStream& stream) {
  const Target& target = routed.target;
  const platform::TargetAnswerHeaders answer_headers =
      platform::DecodeTargetAnswerHeaders(stream.status(), stream.headers(),
                                          state.attempt_id);
  if (!answer_headers.misdirected) {
    context.permits.OnAnswer(target, answer_headers.rate_limit);
    RecordLoad(context, routed, answer_headers, stream.status());
    context.hedges.OnLoad(routed, answer_headers.running,
                          answer_headers.waiting);
  }
  if (answer_headers.leaving) {
    context.leaving.OnLeaving(target.id, target.incarnation);
  }
  if (answer_headers.not_run) {
    SkipBody(yield, stream);
    return Failure{AttemptResult::kNotRun,
                   answer_headers.misdirected ? "misdirected" : "refused",
                   {}};
  }
  if (!answer_headers.matches_request) {
    return Failure{AttemptResult::kUnknown, "answer_of_another_request", {}};
  }
  if (state.is_stream) {
    context.streams.OnBegun(state.attempt_id, target.software_version);
  }
  TargetAnswer answer;
  answer.target = target.id;
  answer.incarnation = target.incarnation;
  answer.response.status = stream.status();
  answer.response.headers = platform::FilterAnswerHeaders(stream.headers());
  if (auto failure = ReadBody(yield, context, stream, &answer.response.body)) {
    return failure;
  }
  if (answer.response.body.empty() && stream.body_has_no_length()) {
    // The target may have ended behind the head.
    return ConnectionFailure(HttpError::kConnectionLost,
                             CallProgress::kMaybeRan);
  }
  return Accept(state, std::move(answer), answer_headers.is_signed);
}

std::optional<Failure> ReadRelayedAnswer(Yield yield,
                                         LiveCallContext& context,
                                         LiveCallState& state,
                                         const Endpoint& relay,
                                         HttpStream& stream) {
  TargetAnswer answer;
  answer.response.status = stream.status();
  answer.response.headers = platform::FilterAnswerHeaders(stream.headers());
  const RelayResult result = TakeRelayResult(&answer.response.headers);
  answer.target = result.target;
  answer.incarnation = result.incarnation;
  if (result.outcome == RelayOutcome::kAnswered &&
      platform::SaysLeaving(stream.status(), stream.headers())) {
    context.leaving.OnLeaving(result.target, result.incarnation);
  }
  if (auto failure = ReadBody(yield, context, stream, &answer.response.body)) {
    return failure;
  }
  switch (result.outcome) {
    case RelayOutcome::kNotRun:
      context.relays.OnFailure(relay, Clock::now());
      return Failure{AttemptResult::kNotRun, "refused_by_relay", {}};
    case RelayOutcome::kMayHaveRun:
      return Failure{AttemptResult::kUnknown, "failed_at_relay", {}};
    case RelayOutcome::kAnswered:
      break;
  }
  // The relay has checked the signature.
  return Accept(state, std::move(answer), true);
}

// Takes back the count of an attempt that did not run.
void UpdateUsage(LiveCallState& state,
                 size_t attempt,
                 const std::optional<Failure>& failure) {
  if (failure && failure->result == AttemptResult::kNotRun) {
    state.usage.OnNotRun(attempt);
  }
}

// Records the end of an attempt of a call that has not finished yet.
void EndAttempt(LiveCallState& state,
                const std::string& peer,
                uint64_t incarnation,
                const std::optional<Failure>& failure) {
  if (failure) {
    state.attempt_policy->Ended(failure->result);
    Log(LogLevel::kInfo, "attempt_failed",
        {{"request", state.attempt_id},
         {"content", state.content},
         {"target", peer},
         {"incarnation", incarnation},
         {"ran", failure->result == AttemptResult::kNotRun ? "not_run"
                                                           : "may_have_run"},
         {"reason", failure->reason}});
  }
  state.wake_timer.cancel();
}

void CallTarget(Yield yield,
                LiveCallContext& context,
                LiveCallState& state,
                size_t attempt,
                const RoutedTarget& routed,
                const AttemptRole& role,
                const HttpRequest& request,
                const HttpCallOptions& options) {
  if (state.finished) {
    state.usage.OnNotRun(attempt);
    return;
  }
  const Target& target = routed.target;
  const TimePoint started_at = Clock::now();
  CallTicket ticket(routed, RequestClass::kLookup, started_at);
  RecordSent(context.targets.Find(target.service), routed, started_at);
  HttpStreamOutcome outcome =
      context.client.Open(yield, target.address, request, options);
  // A call that is over ends its other attempts, which may have had no time.
  const bool had_time =
      !state.finished || Clock::now() - started_at >= state.hedge_after;
  if (outcome.stream || outcome.opened_connection) {
    context.reach.OnContact(target.service);
  } else if (had_time) {
    context.reach.OnFailure(target);
  }
  const std::optional<Failure> failure =
      outcome.stream
          ? ReadTargetAnswer(yield, context, state, routed, *outcome.stream)
          : ConnectionFailure(outcome.error, outcome.progress);
  UpdateUsage(state, attempt, failure);
  RecordEnd(routed, !failure, started_at);
  context.hedges.OnAttemptEnded(
      state.route, role,
      {.may_have_run = !failure || failure->result != AttemptResult::kNotRun,
       .is_latency = !failure || (state.finished && state.answer),
       .is_answer =
           !failure && state.answer && state.answer->target == target.id,
       .took = Clock::now() - started_at});
  const bool may_have_run =
      failure && failure->result == AttemptResult::kUnknown && failure->error;
  if (state.finished) {
    if (may_have_run && !state.answer) {
      context.suspects.OnNoAnswer(state.content, target);
    }
    if (context.hedges.enabled() && state.answer &&
        role.kind != AttemptRole::Kind::kHedge) {
      ticket.Finish(CallOutcome::kOvertaken, Clock::now());
    }
    return;  // Else the destructor of the ticket records it as cancelled.
  }
  if (may_have_run) {
    if (failure->error == HttpError::kConnectionLost) {
      context.suspects.OnConnectionLost(state.content, target);
    } else {
      context.suspects.OnNoAnswer(state.content, target);
    }
  }
  ticket.Finish(failure ? CallOutcome::kFailed : CallOutcome::kAnswered,
                Clock::now());
  EndAttempt(state, target.id, target.incarnation, failure);
}

void CallRelay(Yield yield,
               LiveCallContext& context,
               LiveCallState& state,
               size_t attempt,
               const Endpoint& relay,
               const HttpRequest& request,
               const HttpCallOptions& options) {
  if (state.finished) {
    state.usage.OnNotRun(attempt);
    return;
  }
  HttpStreamOutcome outcome =
      context.client.Open(yield, relay, request, options);
  std::optional<Failure> failure;
  if (outcome.stream) {
    failure = ReadRelayedAnswer(yield, context, state, relay, *outcome.stream);
  } else {
    failure = ConnectionFailure(outcome.error, outcome.progress);
    if (!state.finished) {
      context.relays.OnFailure(relay, Clock::now());
    }
  }
  UpdateUsage(state, attempt, failure);
  if (!state.finished) {
    EndAttempt(state, relay.ToString(), 0, failure);
  }
}

}  // namespace

void RunTargetAttempt(LiveCallContext& context,
                      const StatePtr& state,
                      const RoutedTarget& target,
                      AttemptRole role,
                      HttpRequest request,
                      HttpCallOptions options) {
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxAnswerBytes;
  Spawn(context.io, [&context, state, attempt = state->attempts.size() - 1,
                     target, role, request = std::move(request),
                     options = std::move(options)](Yield yield) {
    CallTarget(yield, context, *state, attempt, target, role, request, options);
  });
}

void RunRelayedAttempt(LiveCallContext& context,
                       const StatePtr& state,
                       const Endpoint& relay,
                       HttpRequest request,
                       HttpCallOptions options) {
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxAnswerBytes;
  Spawn(context.io, [&context, state, attempt = state->attempts.size() - 1,
                     relay, request = std::move(request),
                     options = std::move(options)](Yield yield) {
    CallRelay(yield, context, *state, attempt, relay, request, options);
  });
}

}  // namespace limpethatch
