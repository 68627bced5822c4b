#include "programs/gateway/live_call.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/request_content.h"
#include "limpethatch/process/log.h"
#include "limpethatch/request/live_attempts.h"
#include "limpethatch/request/route_table.h"
#include "platform/call_codec.h"

namespace limpethatch {
namespace {

// Maximum size of the body of an answer.
constexpr size_t kMaxAnswerBytes = 8UL * 1024 * 1024;
// Maximum size of the answers that are being read, all together.
constexpr size_t kMaxBufferedAnswerBytes = 32UL * 1024 * 1024;
// A refusal with a longer body is not read to its end, and its connection not
// reused.
constexpr size_t kMaxRefusalBytes = 64UL * 1024;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kBadGateway = 502;

// Connections stay within a region; a target that takes longer to connect is
// down or unreachable.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
// Longest time until the disconnect of a caller is noticed.
constexpr Duration kDisconnectCheckPeriod = std::chrono::milliseconds(100);
// The final answer is sent this long before the time limit, so that it arrives
// in time.
constexpr Duration kResponseMargin = std::chrono::milliseconds(10);
// Retry-After of requests that were not run, such as when all targets were
// full; about the duration of one call.
constexpr Duration kRetryAfter = std::chrono::milliseconds(60);
// For callers that send no deadline header.
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
// If all targets have a rate limit, a request waits for a permit for this part
// of the time left at most, so that the target can answer within the rest.
constexpr int kPermitWaitDivisor = 2;
// A second target is tried after the route's target latency divided by this.
constexpr int kHedgeDivisor = 2;

// One attempt at one target.
struct Attempt {
  std::string target;
  std::shared_ptr<HttpCancelToken> cancel = std::make_shared<HttpCancelToken>();
};

// Counts the bytes of one answer towards a total while the answer is read.
class BufferedBytes {
 public:
  explicit BufferedBytes(size_t& total) : total_(total) {}
  ~BufferedBytes() { total_ -= own_; }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  void Add(size_t bytes) {
    own_ += bytes;
    total_ += bytes;
  }

 private:
  size_t& total_;
  size_t own_ = 0;
};

// An answer that may be returned to the caller, and the target's id.
struct TargetAnswer {
  HttpResponse response;
  std::string target;
};

// State of a request. It is shared with the coroutines of its attempts, which
// may outlive the coroutine of the request.
struct CallState {
  explicit CallState(const boost::asio::any_io_executor& executor)
      : wake_timer(executor) {}

  boost::asio::steady_timer wake_timer;
  std::string content;  // Digest of the request's content.
  bool finished = false;
  bool is_stream = false;
  std::vector<Attempt> attempts;
  std::optional<LiveAttempts> attempt_policy;
  std::optional<TargetAnswer> answer;
  // A 5xx answer, returned if no attempt succeeds.
  std::optional<TargetAnswer> target_failure;
};

class LiveCall : public std::enable_shared_from_this<LiveCall> {
 public:
  LiveCall(LiveCallContext& context,
           HttpExchange& exchange,
           const wire::Route& route)
      : context_(context),
        exchange_(exchange),
        route_(route),
        caller_headers_(platform::DecodeCallerHeaders(exchange.request())),
        started_at_(Clock::now()),
        state_(std::make_shared<CallState>(exchange.yield().get_executor())) {
    const Duration timeout =
        std::min<Duration>(caller_headers_.timeout.value_or(kDefaultTimeout),
                           std::chrono::milliseconds(route.timeout_ms()));
    deadline_ = started_at_ + timeout - kResponseMargin;
    service_ = RouteTable::ServiceFor(route, context.random());
    must_resume_ =
        route.kind() == wire::ROUTE_STREAM && caller_headers_.resumes_stream;
    LiveAttemptsOptions options;
    options.idempotent = route.kind() == wire::ROUTE_IDEMPOTENT;
    options.max_attempts = std::max<uint32_t>(route.max_attempts(), 1);
    options.deadline = deadline_;
    if (route.target_latency_ms() > 0) {
      options.hedge_after =
          std::chrono::milliseconds(route.target_latency_ms()) / kHedgeDivisor;
    }
    state_->attempt_policy.emplace(options);
    state_->content = ContentDigestOf(exchange.request());
    state_->is_stream = route.kind() == wire::ROUTE_STREAM;
  }

  void Serve() {
    if (must_resume_) {
      software_version_ = context_.streams.Find(
          exchange_.yield(), service_, caller_headers_.first_attempt_id);
    }
    while (true) {
      if (state_->answer) {
        RespondWith(*state_->answer);
        return;
      }
      if (exchange_.PeerDisconnected()) {
        CancelAttempts();
        context_.metrics.RecordAnswer(route_.name(), 0,
                                      Clock::now() - started_at_);
        return;
      }
      const TimePoint now = Clock::now();
      is_refused_ = context_.suspects.IsRefused(state_->content);
      if (permitted_ && now < deadline_ && !is_refused_) {
        if (now >= permitted_->send_at) {
          const RoutedTargetPtr target = std::move(permitted_->target);
          permitted_.reset();
          StartAttempt(*target, now);
        } else {
          WaitUntil(permitted_->send_at, now);
        }
        continue;
      }
      const RoutedTargetPtr target = is_refused_ ? nullptr : ChooseTarget(now);
      const LiveAction action =
          state_->attempt_policy->Next(target != nullptr, now);
      if (action.kind == LiveAction::Kind::kGiveUp) {
        RespondWithFailure(now);
        return;
      }
      if (action.kind == LiveAction::Kind::kWait) {
        WaitUntil(action.until, now);
      } else if (context_.permits.IsLimited(target->target, now)) {
        RequestPermit(target, now);
      } else {
        StartAttempt(*target, now);
      }
    }
  }

 private:
  // A target to which the request may be sent from `send_at` on.
  struct PermittedTarget {
    RoutedTargetPtr target;
    TimePoint send_at;
  };

  void WaitUntil(TimePoint until, TimePoint now) {
    boost::system::error_code ignored;
    state_->wake_timer.expires_at(
        std::min(until, now + kDisconnectCheckPeriod));
    state_->wake_timer.async_wait(exchange_.yield()[ignored]);
  }

  // Asks for a permit for a target with a rate limit. If it is denied, the
  // target is not used for this request.
  void RequestPermit(const RoutedTargetPtr& target, TimePoint now) {
    rate_limited_.push_back(target->target.id);
    const bool has_alternative = ChooseTarget(now) != nullptr;
    const Duration max_wait = has_alternative
                                  ? Duration::zero()
                                  : (deadline_ - now) / kPermitWaitDivisor;
    const std::optional<TargetRateLimits::Permit> permit =
        context_.permits.Acquire(exchange_.yield(), target->target, max_wait);
    if (permit && permit->granted) {
      permitted_ = {target, Clock::now() + permit->wait};
      return;
    }
    context_.metrics.CountPermitDenied();
    const Duration wait = permit ? permit->wait : Duration(kRetryAfter);
    permit_wait_ = std::min(permit_wait_.value_or(wait), wait);
  }

  RoutedTargetPtr ChooseTarget(TimePoint now) {
    std::vector<std::string> tried = rate_limited_;
    for (const Attempt& attempt : state_->attempts) {
      tried.push_back(attempt.target);
    }
    if (must_resume_) {
      // Only the software version that began a stream can continue it.
      for (const auto& [id, target] : context_.targets.targets()) {
        if (target->target.software_version != software_version_) {
          tried.push_back(id);
        }
      }
    }
    RouteRequest request;
    request.service = service_;
    request.request_class = RequestClass::kLookup;
    request.excluded = tried;
    request.random = context_.random();
    request.now = now;
    return context_.router.Choose(context_.targets, request);
  }

  void StartAttempt(const RoutedTarget& target, TimePoint now) {
    context_.metrics.CountTargetCall();
    if (state_->attempt_policy->open() > 0) {
      context_.metrics.CountHedge();
    }
    state_->attempt_policy->Sent(now);
    const Attempt& attempt =
        state_->attempts.emplace_back(Attempt{target.target.id, {}});
    state_->attempts.back().cancel = std::make_shared<HttpCancelToken>();
    HttpCallOptions options;
    options.deadline = deadline_;
    options.connect_timeout = kConnectTimeout;
    options.progress_timeout = deadline_ - now;
    options.fresh_connection = route_.kind() != wire::ROUTE_IDEMPOTENT;
    options.max_body_bytes = kMaxAnswerBytes;
    options.cancel = attempt.cancel;
    Spawn(context_.io, [state = state_, &context = context_, options, target,
                        attempt_id = caller_headers_.attempt_id,
                        request = platform::MakeTargetRequest(
                            exchange_.request(), target.target.id,
                            deadline_ - now)](Yield yield) {
      RunAttempt(yield, *state, context, target, request, options, attempt_id);
    });
  }

  // Runs in its own coroutine, concurrently with that of the request.
  static void RunAttempt(Yield yield,
                         CallState& state,
                         LiveCallContext& context,
                         const RoutedTarget& target,
                         const HttpRequest& request,
                         const HttpCallOptions& options,
                         const std::string& attempt_id) {
    if (state.finished) {
      return;
    }
    CallTicket ticket(target, RequestClass::kLookup, Clock::now());
    HttpStreamOutcome outcome =
        context.client.Open(yield, target.target.address, request, options);
    std::optional<AttemptResult> result;
    std::string reason;
    std::error_code error = outcome.error;  // Of the connection.
    if (!outcome.stream) {
      result = outcome.progress == CallProgress::kNotSent
                   ? AttemptResult::kNotRun
                   : AttemptResult::kUnknown;
      reason = outcome.error.message();
    } else {
      result = ReadAnswer(yield, state, context, target, *outcome.stream,
                          attempt_id, &reason, &error);
    }
    if (state.finished) {
      if (!state.answer && error) {
        context.suspects.OnNoAnswer(state.content, target.target);
      }
      return;  // The destructor of the ticket records the call as cancelled.
    }
    ticket.Finish(result ? CallOutcome::kFailed : CallOutcome::kAnswered,
                  Clock::now());
    if (result == AttemptResult::kUnknown) {
      if (error == HttpError::kConnectionLost) {
        context.suspects.OnConnectionLost(state.content, target.target);
      } else if (error) {
        context.suspects.OnNoAnswer(state.content, target.target);
      }
    }
    if (result) {
      state.attempt_policy->Ended(*result);
      Log(LogLevel::kInfo, "attempt_failed",
          {{"request", attempt_id},
           {"content", state.content},
           {"target", target.target.id},
           {"incarnation", target.target.incarnation},
           {"ran",
            *result == AttemptResult::kNotRun ? "not_run" : "may_have_run"},
           {"reason", reason}});
    }
    state.wake_timer.cancel();
  }

  // Reads the answer of a target into `state`. Returns nullopt if it can be
  // returned to the caller, otherwise how the attempt failed, with the reason
  // in `reason` and the error of the connection, if it has one, in `error`.
  static std::optional<AttemptResult> ReadAnswer(Yield yield,
                                                 CallState& state,
                                                 LiveCallContext& context,
                                                 const RoutedTarget& target,
                                                 HttpStream& stream,
                                                 const std::string& attempt_id,
                                                 std::string* reason,
                                                 std::error_code* error) {
    const platform::TargetAnswerHeaders answer_headers =
        platform::DecodeTargetAnswerHeaders(stream.status(), stream.headers(),
                                            attempt_id);
    if (!answer_headers.misdirected) {
      context.permits.OnAnswer(target.target, answer_headers.rate_limit);
    }
    if (answer_headers.not_run) {
      *reason = answer_headers.misdirected ? "misdirected" : "refused";
      // Reads the rest of the answer, so that the connection can be reused.
      for (size_t bytes = 0; bytes <= kMaxRefusalBytes;) {
        const Result<std::string> chunk = stream.Read(yield);
        if (!chunk || chunk.value().empty()) {
          break;
        }
        bytes += chunk.value().size();
      }
      return AttemptResult::kNotRun;
    }
    if (!answer_headers.matches_request) {
      *reason = "answer_of_another_request";
      return AttemptResult::kUnknown;
    }
    if (state.is_stream) {
      context.streams.OnBegun(attempt_id, target.target.software_version);
    }
    TargetAnswer target_answer;
    target_answer.target = target.target.id;
    target_answer.response.status = stream.status();
    target_answer.response.headers =
        platform::FilterAnswerHeaders(stream.headers());
    BufferedBytes buffered(context.buffered_answer_bytes);
    while (true) {
      Result<std::string> chunk = stream.Read(yield);
      if (!chunk) {
        *error = chunk.error();
        *reason = error->message();
        return AttemptResult::kUnknown;
      }
      if (chunk.value().empty()) {
        break;
      }
      buffered.Add(chunk.value().size());
      if (context.buffered_answer_bytes > kMaxBufferedAnswerBytes) {
        *reason = "too_many_answer_bytes";
        return AttemptResult::kUnknown;
      }
      target_answer.response.body += chunk.value();
    }
    if (target_answer.response.status >= kFirstServerError) {
      *reason = "target_error";
      state.target_failure = std::move(target_answer);
      return AttemptResult::kFailed;
    }
    if (target_answer.response.status < kFirstClientError &&
        !answer_headers.is_signed) {
      *reason = "unsigned_answer";
      return AttemptResult::kUnknown;
    }
    state.answer = std::move(target_answer);
    return std::nullopt;
  }

  void CancelAttempts() {
    state_->finished = true;
    for (const Attempt& attempt : state_->attempts) {
      attempt.cancel->Cancel();
    }
  }

  void RespondWith(const TargetAnswer& answer) {
    context_.suspects.OnAnswered(state_->content);
    CancelAttempts();
    exchange_.Respond(answer.response);
    const Duration latency = Clock::now() - started_at_;
    context_.metrics.RecordAnswer(route_.name(), answer.response.status,
                                  latency);
    Log(LogLevel::kInfo, "answered",
        {{"request", caller_headers_.attempt_id},
         {"route", route_.name()},
         {"target", answer.target},
         {"status", answer.response.status},
         {"attempts", state_->attempts.size()},
         {"took_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(latency)
              .count()}});
  }

  void RespondWithFailure(TimePoint now) {
    const bool not_run = state_->attempt_policy->provably_not_run();
    const std::optional<TargetAnswer> target_failure = state_->target_failure;
    const bool deadline_passed = now >= deadline_;
    CancelAttempts();
    const std::string reason = target_failure            ? "target_error"
                               : is_refused_             ? "crashes_targets"
                               : deadline_passed         ? "deadline"
                               : permit_wait_ && not_run ? "rate_limit"
                               : must_resume_ && !software_version_
                                   ? "unknown_software_version"
                               : state_->attempts.empty() ? "no_target"
                               : not_run                  ? "targets_full"
                                                          : "targets_failed";
    context_.metrics.CountRefusal(reason);
    Log(LogLevel::kWarning, "given_up",
        {{"request", caller_headers_.attempt_id},
         {"content", state_->content},
         {"route", route_.name()},
         {"service", service_},
         {"reason", reason},
         {"ran", not_run ? "not_run" : "may_have_run"},
         {"attempts", state_->attempts.size()},
         {"targets", context_.targets.targets().size()},
         {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - started_at_)
                          .count()}});
    if (target_failure) {
      exchange_.Respond(target_failure->response);
      context_.metrics.RecordAnswer(
          route_.name(), target_failure->response.status, now - started_at_);
      return;
    }
    const int status = not_run           ? kUnavailable
                       : deadline_passed ? kGatewayTimeout
                                         : kBadGateway;
    const Duration retry_after =
        std::max<Duration>(kRetryAfter, permit_wait_.value_or(kRetryAfter));
    const bool may_return = not_run && !is_refused_;
    exchange_.Respond(platform::MakeRefusal(
        status, caller_headers_, reason,
        may_return ? std::optional<Duration>(retry_after) : std::nullopt));
    context_.metrics.RecordAnswer(route_.name(), status, now - started_at_);
  }

  LiveCallContext& context_;
  HttpExchange& exchange_;
  const wire::Route& route_;
  const platform::CallerHeaders caller_headers_;
  const TimePoint started_at_;
  TimePoint deadline_;
  std::string service_;
  // The caller has the beginning of a stream that `software_version_` began;
  // nullopt if that is unknown, and then no target is used.
  bool must_resume_ = false;
  std::optional<std::string> software_version_;
  // Targets crashed while running this request, too often to run it again.
  bool is_refused_ = false;
  std::optional<PermittedTarget> permitted_;
  // Targets with a rate limit for which a permit was requested.
  std::vector<std::string> rate_limited_;
  // The shortest wait of the permits that were denied.
  std::optional<Duration> permit_wait_;
  std::shared_ptr<CallState> state_;
};

}  // namespace

void ServeLiveCall(LiveCallContext& context,
                   HttpExchange& exchange,
                   const wire::Route& route) {
  LiveCall(context, exchange, route).Serve();
}

}  // namespace limpethatch
