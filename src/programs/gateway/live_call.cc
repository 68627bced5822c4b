#include "programs/gateway/live_call.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "limpethatch/process/log.h"
#include "limpethatch/request/live_attempts.h"
#include "limpethatch/request/route_table.h"
#include "platform/call_codec.h"

namespace limpethatch {
namespace {

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kBadGateway = 502;

// Connections are made within a region; a target that takes longer is dead or
// cut off.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
// A caller that left is noticed this soon.
constexpr Duration kPeerCheckPeriod = std::chrono::milliseconds(100);
// The final answer goes out this long before a time limit.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);
// Targets that were full are tried again after about one call's time.
constexpr Duration kRetryAfter = std::chrono::milliseconds(60);
// For callers that state no patience.
constexpr Duration kDefaultPatience = std::chrono::seconds(30);
// Share of the objective after which a second target is tried.
constexpr int kHedgeDivisor = 2;

// One try at one target.
struct Attempt {
  std::string target;
  std::shared_ptr<HttpCancelToken> cancel = std::make_shared<HttpCancelToken>();
};

// One answer that may go to the caller.
struct TargetAnswer {
  HttpResponse response;
  std::string target;
};

// State of a request that outlives its coroutine, as tries may still run.
struct Shared {
  explicit Shared(const boost::asio::any_io_executor& executor)
      : wake(executor) {}

  boost::asio::steady_timer wake;
  bool over = false;
  std::vector<Attempt> attempts;
  std::optional<LiveAttempts> decisions;
  std::optional<TargetAnswer> good;
  std::optional<TargetAnswer> bad;  // A failure that the target stated.
};

class LiveCall : public std::enable_shared_from_this<LiveCall> {
 public:
  LiveCall(LiveContext& context,
           HttpExchange& exchange,
           const wire::Route& route)
      : context_(context),
        exchange_(exchange),
        route_(route),
        terms_(platform::DecodeCallerTerms(exchange.request())),
        began_at_(Clock::now()),
        shared_(std::make_shared<Shared>(exchange.yield().get_executor())) {
    const Duration allowed =
        std::min<Duration>(terms_.patience.value_or(kDefaultPatience),
                           std::chrono::milliseconds(route.timeout_ms()));
    deadline_ = began_at_ + allowed - kAnswerMargin;
    service_ = RouteTable::ServiceFor(route, context.random());
    LiveAttemptsOptions options;
    options.idempotent = route.kind() == wire::ROUTE_IDEMPOTENT;
    options.max_attempts = std::max<uint32_t>(route.max_attempts(), 1);
    options.deadline = deadline_;
    if (route.target_latency_ms() > 0) {
      options.hedge_after =
          std::chrono::milliseconds(route.target_latency_ms()) / kHedgeDivisor;
    }
    shared_->decisions.emplace(options);
  }

  void Serve() {
    while (true) {
      if (shared_->good) {
        Deliver(*shared_->good);
        return;
      }
      if (exchange_.PeerDisconnected()) {
        End();
        context_.metrics.Answered(route_.name(), 0, Clock::now() - began_at_);
        return;
      }
      const TimePoint now = Clock::now();
      const RoutedTargetPtr target = Choose(now);
      const LiveAction action =
          shared_->decisions->Next(target != nullptr, now);
      if (action.kind == LiveAction::Kind::kGiveUp) {
        GiveUp(now);
        return;
      }
      if (action.kind == LiveAction::Kind::kSend) {
        Send(*target, now);
        continue;
      }
      boost::system::error_code ignored;
      shared_->wake.expires_at(std::min(action.until, now + kPeerCheckPeriod));
      shared_->wake.async_wait(exchange_.yield()[ignored]);
    }
  }

 private:
  RoutedTargetPtr Choose(TimePoint now) {
    std::vector<std::string> tried;
    for (const Attempt& attempt : shared_->attempts) {
      tried.push_back(attempt.target);
    }
    RouteRequest request;
    request.service = service_;
    request.request_class = RequestClass::kLookup;
    request.excluded = tried;
    request.random = context_.random();
    request.now = now;
    return context_.router.Choose(context_.targets, request);
  }

  void Send(const RoutedTarget& target, TimePoint now) {
    context_.metrics.Sent();
    if (shared_->decisions->open() > 0) {
      context_.metrics.Hedged();
    }
    shared_->decisions->Sent(now);
    const Attempt& attempt =
        shared_->attempts.emplace_back(Attempt{target.target.id, {}});
    shared_->attempts.back().cancel = std::make_shared<HttpCancelToken>();
    HttpCallOptions options;
    options.deadline = deadline_;
    options.connect_timeout = kConnectTimeout;
    options.progress_timeout = deadline_ - now;
    options.fresh_connection = route_.kind() != wire::ROUTE_IDEMPOTENT;
    options.cancel = attempt.cancel;
    Spawn(context_.io,
          [shared = shared_, &context = context_, options, target,
           attempt_id = terms_.attempt_id,
           request = platform::ForTarget(exchange_.request(), target.target.id,
                                         deadline_ - now)](Yield yield) {
            Try(yield, *shared, context, target, request, options, attempt_id);
          });
  }

  // Runs beside the request's own coroutine.
  static void Try(Yield yield,
                  Shared& shared,
                  LiveContext& context,
                  const RoutedTarget& target,
                  const HttpRequest& request,
                  const HttpCallOptions& options,
                  const std::string& attempt_id) {
    if (shared.over) {
      return;
    }
    CallTicket ticket(target, RequestClass::kLookup, Clock::now());
    HttpStreamOutcome outcome =
        context.client.Open(yield, target.target.address, request, options);
    std::optional<AttemptResult> end;
    std::string reason;
    if (!outcome.stream) {
      end = outcome.progress == CallProgress::kNotSent
                ? AttemptResult::kNotRun
                : AttemptResult::kUnknown;
      reason = outcome.error.message();
    } else {
      end = Read(yield, shared, target, *outcome.stream, attempt_id, &reason);
    }
    if (shared.over) {
      return;  // The ticket counts it as cancelled.
    }
    ticket.Finish(end ? CallOutcome::kFailed : CallOutcome::kAnswered,
                  Clock::now());
    if (end) {
      shared.decisions->Ended(*end);
      Log(LogLevel::kInfo, "attempt_failed",
          {{"request", attempt_id},
           {"target", target.target.id},
           {"incarnation", target.target.incarnation},
           {"ran", *end == AttemptResult::kNotRun ? "not_run" : "may_have_run"},
           {"reason", reason}});
    }
    shared.wake.cancel();
  }

  // Nothing if an answer for the caller was read.
  static std::optional<AttemptResult> Read(Yield yield,
                                           Shared& shared,
                                           const RoutedTarget& target,
                                           HttpStream& stream,
                                           const std::string& attempt_id,
                                           std::string* reason) {
    const platform::TargetTerms terms = platform::DecodeTargetTerms(
        stream.status(), stream.headers(), attempt_id);
    if (terms.not_run) {
      *reason = terms.other_instance ? "misdirected" : "refused";
      // Read to its end, so that the connection can be kept.
      while (true) {
        const Result<std::string> piece = stream.Read(yield);
        if (!piece || piece.value().empty()) {
          break;
        }
      }
      return AttemptResult::kNotRun;
    }
    if (!terms.whose) {
      *reason = "answer_of_another_request";
      return AttemptResult::kUnknown;
    }
    TargetAnswer answer;
    answer.target = target.target.id;
    answer.response.status = stream.status();
    answer.response.headers = platform::ForCaller(stream.headers());
    while (true) {
      Result<std::string> piece = stream.Read(yield);
      if (!piece) {
        *reason = piece.error().message();
        return AttemptResult::kUnknown;
      }
      if (piece.value().empty()) {
        break;
      }
      answer.response.body += piece.value();
    }
    if (answer.response.status >= kFirstServerError) {
      *reason = "target_error";
      shared.bad = std::move(answer);
      return AttemptResult::kFailed;
    }
    if (answer.response.status < kFirstClientError && !terms.genuine) {
      *reason = "unsigned_answer";
      return AttemptResult::kUnknown;
    }
    shared.good = std::move(answer);
    return std::nullopt;
  }

  void End() {
    shared_->over = true;
    for (const Attempt& attempt : shared_->attempts) {
      attempt.cancel->Cancel();
    }
  }

  void Deliver(const TargetAnswer& answer) {
    End();
    exchange_.Respond(answer.response);
    const Duration took = Clock::now() - began_at_;
    context_.metrics.Answered(route_.name(), answer.response.status, took);
    Log(LogLevel::kInfo, "answered",
        {{"request", terms_.attempt_id},
         {"route", route_.name()},
         {"target", answer.target},
         {"status", answer.response.status},
         {"attempts", shared_->attempts.size()},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(took)
                         .count()}});
  }

  void GiveUp(TimePoint now) {
    const bool not_run = shared_->decisions->provably_not_run();
    const std::optional<TargetAnswer> failure = shared_->bad;
    const bool late = now >= deadline_;
    End();
    const std::string reason = failure                     ? "target_error"
                               : late                      ? "deadline"
                               : shared_->attempts.empty() ? "no_target"
                               : not_run                   ? "targets_full"
                                                           : "targets_failed";
    context_.metrics.Refused(reason);
    Log(LogLevel::kWarning, "given_up",
        {{"request", terms_.attempt_id},
         {"route", route_.name()},
         {"service", service_},
         {"reason", reason},
         {"ran", not_run ? "not_run" : "may_have_run"},
         {"attempts", shared_->attempts.size()},
         {"targets", context_.targets.targets().size()},
         {"after_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(now - began_at_)
              .count()}});
    if (failure) {
      exchange_.Respond(failure->response);
      context_.metrics.Answered(route_.name(), failure->response.status,
                                now - began_at_);
      return;
    }
    const int status = not_run ? kUnavailable
                       : late  ? kGatewayTimeout
                               : kBadGateway;
    exchange_.Respond(platform::Refusal(
        status, terms_, reason,
        not_run ? std::optional<Duration>(kRetryAfter) : std::nullopt));
    context_.metrics.Answered(route_.name(), status, now - began_at_);
  }

  LiveContext& context_;
  HttpExchange& exchange_;
  const wire::Route& route_;
  const platform::CallerTerms terms_;
  const TimePoint began_at_;
  TimePoint deadline_;
  std::string service_;
  std::shared_ptr<Shared> shared_;
};

}  // namespace

void ServeLiveCall(LiveContext& context,
                   HttpExchange& exchange,
                   const wire::Route& route) {
  LiveCall(context, exchange, route).Serve();
}

}  // namespace limpethatch
