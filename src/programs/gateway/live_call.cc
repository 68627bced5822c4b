#include "programs/gateway/live_call.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "limpethatch/connection/relay_result.h"
#include "limpethatch/connection/request_content.h"
#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"
#include "limpethatch/request/route_table.h"
#include "platform/call_codec.h"
#include "programs/gateway/live_attempt.h"
#include "programs/gateway/live_call_plan.h"

namespace limpethatch {
namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kBadGateway = 502;

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
// Other gateways to which one request is handed.
constexpr size_t kMaxRelays = 3;

class LiveCall : public std::enable_shared_from_this<LiveCall> {
 public:
  LiveCall(LiveCallContext& context,
           HttpExchange& exchange,
           const wire::Route& route,
           const std::string& organisation,
           bool keys_required,
           LiveCallOrigin origin)
      : context_(context),
        exchange_(exchange),
        route_(route),
        organisation_(organisation),
        keys_required_(keys_required),
        origin_(origin),
        caller_headers_(platform::DecodeCallerHeaders(exchange.request())),
        started_at_(Clock::now()),
        state_(std::make_shared<LiveCallState>(
            exchange.yield().get_executor(),
            // The gateway that hands a request on counts it.
            RequestUsage(
                context.usage,
                origin == LiveCallOrigin::kCaller ? organisation : ""))) {
    state_->attempt_id = caller_headers_.attempt_id;
    const Duration timeout =
        std::min(caller_headers_.timeout.value_or(kDefaultTimeout),
                 BoundedTime<std::chrono::milliseconds>(route.timeout_ms()));
    deadline_ = started_at_ + timeout - kResponseMargin;
    service_ = RouteTable::ServiceFor(route, context.random());
    must_resume_ =
        route.kind() == wire::ROUTE_STREAM && caller_headers_.resumes_stream;
    const LiveCallPlan plan =
        MakeLiveCallPlan(route, origin, context.hedges, deadline_, started_at_);
    hedge_cost_ = plan.hedge_cost;
    state_->hedge_after = plan.usual_hedge_after;
    state_->route = route.name();
    state_->attempt_policy.emplace(plan.attempts);
    state_->content = ContentDigestOf(exchange.request());
    state_->is_stream = route.kind() == wire::ROUTE_STREAM;
  }

  void Serve() {
    if (must_resume_) {
      software_version_ = context_.streams.Find(
          exchange_.yield(), service_, caller_headers_.first_attempt_id);
    }
    unprobed_ = context_.probes.Probe(
        exchange_.yield(), context_.targets.Find(service_), context_.random());
    while (true) {
      if (state_->answer) {
        RespondWith(std::move(*state_->answer));
        return;
      }
      if (exchange_.PeerDisconnected()) {
        CancelAttempts();
        context_.metrics.RecordAnswer(route_.name(), 0,
                                      Clock::now() - started_at_);
        return;
      }
      const TimePoint now = Clock::now();
      if (context_.ending) {
        RespondWithFailure(now);
        return;
      }
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
      // A relay may send a hedge to the target that already has the request.
      const std::optional<Endpoint> relay =
          IsNextLimitedHedge() ? std::nullopt : ChooseRelay(now);
      const RoutedTargetPtr target =
          MaySendDirectly() ? ChooseTarget(now) : nullptr;
      const LiveAction action = state_->attempt_policy->Next(
          target != nullptr || relay.has_value(), now);
      if (action.kind == LiveAction::Kind::kGiveUp) {
        RespondWithFailure(now);
        return;
      }
      if (action.kind == LiveAction::Kind::kWait) {
        WaitUntil(action.until, now);
      } else if (action.kind == LiveAction::Kind::kAskPermit) {
        AskHedgePermit(now);
      } else if (relay) {
        StartRelayedAttempt(*relay, now);
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

  // Whether the next attempt would be a hedge that needs a permit.
  bool IsNextLimitedHedge() const {
    return context_.hedges.enabled() && state_->attempt_policy->open() > 0;
  }

  void AskHedgePermit(TimePoint now) {
    state_->attempt_policy->PermitAsked(now);
    context_.hedges.Ask(
        route_.name(), hedge_cost_, [state = state_](bool granted) {
          state->attempt_policy->PermitAnswered(granted, Clock::now());
          state->wake_timer.cancel();
        });
  }

  RoutedTargetPtr ChooseTarget(TimePoint now) {
    std::vector<std::string> tried = rate_limited_;
    if (IsNextLimitedHedge()) {
      context_.hedges.ExcludeFullTargets(context_.targets, service_, now,
                                         &tried);
    }
    for (const LiveAttempt& attempt : state_->attempts) {
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
    if (state_->attempts.empty() && !unprobed_.empty()) {
      std::vector<std::string> avoided = unprobed_;
      avoided.insert(avoided.end(), tried.begin(), tried.end());
      request.excluded = avoided;
      if (auto probed = context_.router.Choose(context_.targets, request)) {
        return probed;
      }
      request.excluded = tried;
    }
    const RoutedTargetPtr target =
        context_.router.Choose(context_.targets, request);
    // A target with a rate limit has nothing to spare for hedges.
    const bool is_usable = !target || !IsNextLimitedHedge() ||
                           !context_.permits.IsLimited(target->target, now);
    return is_usable ? target : nullptr;
  }

  AttemptRole NextRole() const {
    using enum AttemptRole::Kind;
    return {state_->attempts.empty()             ? kFirst
            : state_->attempt_policy->open() > 0 ? kHedge
                                                 : kRetry,
            hedge_cost_};
  }

  // A request from another gateway goes back there at once if this one reaches
  // no target either.
  bool MaySendDirectly() const {
    return !is_refused_ && (origin_ == LiveCallOrigin::kCaller ||
                            !context_.reach.IsUnreachable(service_));
  }

  // Another gateway to hand the request to, if this one cannot reach targets,
  // or an attempt has failed and there is no sign that it can. A request is
  // handed on once only.
  std::optional<Endpoint> ChooseRelay(TimePoint now) const {
    const bool is_cut_off =
        context_.reach.IsUnreachable(service_) ||
        (!state_->attempts.empty() && context_.reach.IsInDoubt(service_, now));
    if (origin_ == LiveCallOrigin::kGateway || is_refused_ || !is_cut_off ||
        relays_tried_.size() >= kMaxRelays) {
      return std::nullopt;
    }
    return context_.relays.Choose(service_, relays_tried_, context_.random(),
                                  now);
  }

  HttpCallOptions BeginAttempt(const std::string& target, TimePoint now) {
    if (state_->attempt_policy->open() > 0) {
      context_.metrics.CountHedge();
    } else if (!state_->attempts.empty()) {
      context_.metrics.CountRetry();
    }
    state_->attempt_policy->Sent(now);
    state_->attempts.push_back({target});
    state_->usage.OnSent(context_.wall_clock.Now());
    HttpCallOptions options;
    options.deadline = deadline_;
    options.progress_timeout = deadline_ - now;
    options.fresh_connection = route_.kind() != wire::ROUTE_IDEMPOTENT;
    options.cancel = state_->attempts.back().cancel;
    return options;
  }

  void StartAttempt(const RoutedTarget& target, TimePoint now) {
    context_.metrics.CountTargetCall();
    HttpRequest request = platform::MakeTargetRequest(
        exchange_.request(), target.target.id, deadline_ - now,
        {keys_required_, organisation_});
    const AttemptRole role = NextRole();  // Before the attempt is counted.
    RunTargetAttempt(context_, state_, target, role, std::move(request),
                     BeginAttempt(target.target.id, now));
  }

  void StartRelayedAttempt(const Endpoint& relay, TimePoint now) {
    context_.metrics.CountRelayedCall();
    relays_tried_.push_back(relay);
    Log(LogLevel::kInfo, "request_relayed",
        {{"request", caller_headers_.attempt_id},
         {"route", route_.name()},
         {"relay", relay.ToString()},
         {"unreachable", context_.reach.IsUnreachable(service_)},
         {"attempts", state_->attempts.size()}});
    RunRelayedAttempt(
        context_, state_, relay,
        platform::MakeRelayedRequest(exchange_.request(), deadline_ - now),
        BeginAttempt("", now));
  }

  void CancelAttempts() {
    state_->finished = true;
    for (const LiveAttempt& attempt : state_->attempts) {
      attempt.cancel->Cancel();
    }
  }

  // Takes the answer, as a copy of its body may be large.
  void RespondWith(TargetAnswer answer) {
    context_.suspects.OnAnswered(state_->content);
    CancelAttempts();
    const int status = answer.response.status;
    Respond(std::move(answer.response), {.outcome = RelayOutcome::kAnswered,
                                         .target = answer.target,
                                         .incarnation = answer.incarnation});
    const Duration latency = Clock::now() - started_at_;
    context_.metrics.RecordAnswer(route_.name(), status, latency);
    Log(LogLevel::kInfo, "answered",
        {{"request", caller_headers_.attempt_id},
         {"route", route_.name()},
         {"target", answer.target},
         {"status", status},
         {"from_gateway", origin_ == LiveCallOrigin::kGateway},
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
                               : context_.ending         ? "process_ends"
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
         {"from_gateway", origin_ == LiveCallOrigin::kGateway},
         {"attempts", state_->attempts.size()},
         {"targets", context_.targets.targets().size()},
         {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - started_at_)
                          .count()}});
    if (target_failure) {
      Respond(*target_failure);
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
    Respond(
        platform::MakeRefusal(
            status, caller_headers_, reason,
            may_return ? std::optional<Duration>(retry_after) : std::nullopt),
        {.outcome =
             not_run ? RelayOutcome::kNotRun : RelayOutcome::kMayHaveRun});
    context_.metrics.RecordAnswer(route_.name(), status, now - started_at_);
  }

  void Respond(const TargetAnswer& answer) {
    Respond(answer.response, {.outcome = RelayOutcome::kAnswered,
                              .target = answer.target,
                              .incarnation = answer.incarnation});
  }

  void Respond(HttpResponse response, const RelayResult& result) {
    if (origin_ == LiveCallOrigin::kGateway) {
      SetRelayResult(result, &response);
    }
    exchange_.Respond(response);
  }

  LiveCallContext& context_;
  HttpExchange& exchange_;
  const wire::Route& route_;
  const std::string& organisation_;  // Empty: none.
  const bool keys_required_;
  const LiveCallOrigin origin_;
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
  // Targets that the first attempt avoids, as they answered no probe.
  std::vector<std::string> unprobed_;
  std::vector<Endpoint> relays_tried_;
  Duration hedge_cost_{};  // Expected target time of a hedge with a permit.
  // The shortest wait of the permits that were denied.
  std::optional<Duration> permit_wait_;
  std::shared_ptr<LiveCallState> state_;
};

}  // namespace

void ServeLiveCall(LiveCallContext& context,
                   HttpExchange& exchange,
                   const wire::Route& route,
                   const std::string& organisation,
                   bool keys_required,
                   LiveCallOrigin origin) {
  LiveCall(context, exchange, route, organisation, keys_required, origin)
      .Serve();
}

}  // namespace limpethatch
