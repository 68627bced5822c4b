#include "programs/gateway/hedge_permits.h"

#include <chrono>
#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Timeout of a query. Longer than the wait of a request for its permit, as the
// end of a query without an answer resets the connection to the leader, which
// other requests use too.
constexpr Duration kQueryTimeout = milliseconds(150);
constexpr Duration kPrunePeriod = std::chrono::seconds(10);
constexpr Duration kDenialLogPeriod = std::chrono::seconds(1);

}  // namespace

std::optional<HedgeDelay::Figures> HedgePermits::Figures(
    const std::string& route,
    TimePoint now) {
  if (!settings_ || settings_->extra_work <= 0) {
    return std::nullopt;
  }
  return routes_[route].delay.Get(now);
}

std::optional<HedgeDelay::Figures> HedgePermits::PeekFigures(
    const std::string& route,
    TimePoint now) const {
  const auto found = routes_.find(route);
  if (!settings_ || settings_->extra_work <= 0 || found == routes_.end()) {
    return std::nullopt;
  }
  HedgeDelay copy = found->second.delay;
  return copy.Get(now);
}

void HedgePermits::ExcludeFullTargets(const TargetTable& targets,
                                      std::string_view service,
                                      TimePoint now,
                                      std::vector<std::string>* excluded) {
  if (now - pruned_at_ >= kPrunePeriod) {
    pruned_at_ = now;
    slots_.Prune(targets);
  }
  for (std::string& id : slots_.FindFull(targets, service, now)) {
    excluded->push_back(std::move(id));
  }
}

void HedgePermits::Ask(const std::string& route,
                       Duration expected,
                       std::function<void(bool granted)> done) {
  ++asked_;
  Spawn(io_,
        [this, route, expected, done = std::move(done)](const Yield& yield) {
          const Verdict verdict = Query(yield, route, expected);
          granted_ += verdict == Verdict::kGranted ? 1 : 0;
          denied_ += verdict == Verdict::kDenied ? 1 : 0;
          unanswered_ += verdict == Verdict::kUnanswered ? 1 : 0;
          if (verdict != Verdict::kGranted) {
            LogDenied(route, verdict);
          }
          done(verdict == Verdict::kGranted);
        });
}

HedgePermits::Verdict HedgePermits::Query(const Yield& yield,
                                          const std::string& route,
                                          Duration expected) {
  const TimePoint now = Clock::now();
  const HedgeReport::Figures reported = routes_[route].report.Take(now);
  wire::ControlRequest request;
  wire::HedgePermitQuery& query = *request.mutable_hedge_permit();
  query.set_route(route);
  query.set_earned_ms(static_cast<uint64_t>(reported.earned.count()));
  query.set_overrun_ms(static_cast<uint64_t>(reported.overrun.count()));
  query.set_expected_ms(
      static_cast<uint64_t>(std::chrono::ceil<milliseconds>(expected).count()));
  query.set_extra_work(settings_->extra_work);
  const ControlClient::Answer answer = control_client_.SendRequest(
      yield, std::move(request), now + kQueryTimeout);
  if (answer.certainty != ControlCertainty::kDone) {
    routes_[route].report.Restore(reported.overrun);
    return Verdict::kUnanswered;
  }
  return answer.reply.hedge_permit().granted() ? Verdict::kGranted
                                               : Verdict::kDenied;
}

void HedgePermits::LogDenied(const std::string& route, Verdict verdict) {
  ++denials_unlogged_;
  const TimePoint now = Clock::now();
  if (now - denial_logged_at_ < kDenialLogPeriod) {
    return;
  }
  denial_logged_at_ = now;
  Log(LogLevel::kInfo, "hedge_denied",
      {{"route", route},
       {"reason", verdict == Verdict::kDenied ? "budget" : "no_answer"},
       {"denials", std::exchange(denials_unlogged_, 0)}});
}

void HedgePermits::OnLoad(const RoutedTarget& target,
                          std::optional<uint32_t> running,
                          std::optional<uint32_t> waiting) {
  if (settings_ && running) {
    slots_.OnAnswer(target, *running, waiting.value_or(0), Clock::now());
  }
}

void HedgePermits::OnAttemptEnded(const std::string& route,
                                  const AttemptRole& role,
                                  const AttemptEnd& end) {
  if (!settings_) {
    return;
  }
  RouteState& state = routes_[route];
  const TimePoint now = Clock::now();
  if (role.kind == AttemptRole::Kind::kFirst) {
    if (end.is_latency) {
      state.delay.Add(end.took, now);
    }
    if (end.may_have_run) {
      state.report.OnFirstAttemptEnded(end.took, now);
    }
  }
  if (role.kind == AttemptRole::Kind::kHedge && end.may_have_run) {
    hedge_time_ += end.took;
    won_ += end.is_answer ? 1 : 0;
    state.report.OnHedgeEnded(end.took, role.charged);
  }
}

void HedgePermits::WriteMetrics(MetricsText* text) const {
  text->Single("limpethatch_hedge_permits_asked_total", MetricType::kCounter,
               "Permits for hedges that were asked for.",
               static_cast<double>(asked_));
  text->Family("limpethatch_hedge_permits_total", MetricType::kCounter,
               "Permits for hedges by outcome.");
  for (const auto& [outcome, count] :
       {std::pair("granted", granted_), std::pair("denied", denied_),
        std::pair("unanswered", unanswered_)}) {
    text->Sample({{"outcome", outcome}}, static_cast<double>(count));
  }
  text->Single("limpethatch_hedges_won_total", MetricType::kCounter,
               "Hedges that brought the answer.", static_cast<double>(won_));
  text->Single("limpethatch_hedge_target_seconds_total", MetricType::kCounter,
               "Time that hedges spent at targets.",
               std::chrono::duration<double>(hedge_time_).count());
}

}  // namespace limpethatch
