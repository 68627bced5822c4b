#include "programs/gateway/gateway.h"

#include <csignal>
#include <random>
#include <utility>

#include "envelope.pb.h"
#include "limpethatch/process/log.h"
#include "platform/front_api.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// A submission, read or end of a batch job has this long; an election fits in.
constexpr Duration kJobCallTime = milliseconds(2500);
// Longer than an election, so that a change of leader does not count.
constexpr Duration kOutOfTouchLimit = milliseconds(1600);
constexpr Duration kExitCheckPeriod = milliseconds(50);
// Rare, as each look costs a wake-up on a small machine.
constexpr Duration kLoopCheck = milliseconds(500);
// Idle connections to targets are closed by them after some seconds.
constexpr Duration kTargetIdleTime = std::chrono::seconds(15);

ChangeOutcome FromCertainty(ControlCertainty certainty) {
  switch (certainty) {
    case ControlCertainty::kDone:
      return ChangeOutcome::kDone;
    case ControlCertainty::kNotApplied:
      return ChangeOutcome::kNotDone;
    default:
      return ChangeOutcome::kUncertain;
  }
}

ControlClientOptions ClientOptions(const GatewaySettings& settings) {
  ControlClientOptions options;
  options.instance = settings.process.id;
  options.zone = settings.process.zone;
  options.reply_to = settings.peers;
  options.replicas = settings.ControlEndpoints();
  return options;
}

}  // namespace

Gateway::Gateway(const GatewaySettings& settings, std::string settings_path)
    : settings_(settings),
      settings_path_(std::move(settings_path)),
      messenger_(io_,
                 {.translation = settings.process.address_translation},
                 [this](std::string_view message) { Receive(message); }),
      control_(io_, messenger_, ClientOptions(settings)),
      follower_(
          timers_,
          messenger_,
          settings_,
          {[this](const Endpoint& control) { control_.AddReplica(control); }}),
      client_(
          io_,
          HttpClientOptions{.translation = settings.process.address_translation,
                            .max_idle_time = kTargetIdleTime}),
      callers_(io_,
               HttpServerLimits{},
               [this](HttpExchange& exchange) {
                 platform::ServeFrontCall(*this, exchange);
               }),
      readiness_(io_,
                 HttpServerLimits{},
                 [this](HttpExchange& exchange) {
                   platform::ServeReadiness(Ready(), exchange);
                 }),
      metrics_server_(
          io_,
          HttpServerLimits{},
          [this](HttpExchange& exchange) { ServeMetrics(exchange); }),
      router_(RouterOptions{.zone = settings.process.zone}),
      random_(std::random_device()()),
      live_{io_, client_, follower_.targets(), router_, random_, metrics_},
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      watch_(timers_, settings_path_, [this] { Reload(); }),
      loop_watch_(timers_, kLoopCheck) {}

std::error_code Gateway::Start() {
  if (std::error_code error = messenger_.Listen(settings_.peers)) {
    Log(LogLevel::kError, "listen_failed",
        {{"peers", settings_.peers.ToString()}, {"error", error.message()}});
    return error;
  }
  follower_.Start();
  for (auto [server, endpoint] :
       {std::pair(&callers_, &settings_.callers),
        std::pair(&readiness_, &settings_.readiness),
        std::pair(&metrics_server_, &settings_.metrics)}) {
    if (std::error_code error = server->Listen(*endpoint)) {
      Log(LogLevel::kError, "listen_failed",
          {{"address", endpoint->ToString()}, {"error", error.message()}});
      return error;
    }
  }
  WaitForSignal();
  Log(LogLevel::kInfo, "started",
      {{"version", LIMPETHATCH_VERSION},
       {"callers", settings_.callers.ToString()},
       {"zone", settings_.process.zone},
       {"seeds", settings_.seeds.size()}});
  return {};
}

void Gateway::Run() {
  io_.run();
  messenger_.StopReceiving();
  Log(LogLevel::kInfo, "stopped");
}

void Gateway::Receive(std::string_view bytes) {
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Log(LogLevel::kWarning, "message_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  if (envelope.has_fleet_news()) {
    follower_.Receive(envelope.fleet_news());
    UseLimits();
  } else if (envelope.has_reply()) {
    control_.OnReply(envelope.reply());
  }
}

void Gateway::UseLimits() {
  const RouteTablePtr table = follower_.routes();
  if (!table || table->version() == limits_version_) {
    return;
  }
  limits_version_ = table->version();
  const wire::CallerLimits& given = table->configuration().limits();
  HttpServerLimits limits;
  if (given.max_header_bytes() > 0) {
    limits.max_header_bytes = given.max_header_bytes();
  }
  if (given.max_body_bytes() > 0) {
    limits.max_body_bytes = given.max_body_bytes();
  }
  if (given.header_timeout_ms() > 0) {
    limits.header_timeout = milliseconds(given.header_timeout_ms());
  }
  if (given.idle_timeout_ms() > 0) {
    limits.idle_timeout = milliseconds(given.idle_timeout_ms());
  }
  callers_.SetLimits(limits);
}

// Without a quorum batch jobs can't be taken or read here, and targets and
// configuration grow old: where a whole zone is cut off, its callers are better
// sent to another one, and that happens once all its gateways say so.
bool Gateway::Ready() const {
  return !stopping_ && follower_.routes() != nullptr &&
         follower_.out_of_touch(Clock::now()) < kOutOfTouchLimit;
}

void Gateway::ServeLive(HttpExchange& exchange, const wire::Route& route) {
  // Keeps the route alive while the call lasts.
  const RouteTablePtr table = follower_.routes();
  ServeLiveCall(live_, exchange, route);
}

ChangeOutcome Gateway::SubmitJob(Yield yield, const wire::JobSubmit& submit) {
  metrics_.Job("submit");
  wire::ControlRequest request;
  *request.mutable_command()->mutable_job_submit() = submit;
  const ChangeOutcome written = FromCertainty(
      control_
          .SendRequest(yield, std::move(request), Clock::now() + kJobCallTime)
          .certainty);
  Log(LogLevel::kInfo, "job_submitted",
      {{"job", submit.job()},
       {"step", submit.step()},
       {"samples", submit.samples_size()},
       {"min_version", submit.min_version()},
       {"outcome", written == ChangeOutcome::kDone      ? "accepted"
                   : written == ChangeOutcome::kNotDone ? "not_done"
                                                        : "uncertain"}});
  return written;
}

ChangeOutcome Gateway::EndJob(Yield yield,
                              const std::string& job,
                              bool* known) {
  metrics_.Job("end");
  wire::ControlRequest request;
  request.mutable_command()->mutable_job_end()->set_job(job);
  const ControlClient::Answer answer = control_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTime);
  *known = answer.reply.result().job().verdict() != wire::JobOutcome::UNKNOWN;
  Log(LogLevel::kInfo, "job_ended",
      {{"job", job},
       {"done", answer.certainty == ControlCertainty::kDone},
       {"known", *known}});
  return FromCertainty(answer.certainty);
}

std::optional<wire::JobPage> Gateway::ReadJob(Yield yield,
                                              const std::string& job,
                                              uint64_t after,
                                              Duration wait) {
  metrics_.Job("read");
  wire::ControlRequest request;
  request.mutable_job()->set_job(job);
  request.mutable_job()->set_after(after);
  request.mutable_job()->set_wait_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(wait).count()));
  ControlClient::Answer answer = control_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTime, wait);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::nullopt;
  }
  return std::move(*answer.reply.mutable_job());
}

std::optional<wire::JobBody> Gateway::ReadBody(Yield yield,
                                               const std::string& job,
                                               const std::string& sample) {
  metrics_.Job("body");
  wire::ControlRequest request;
  request.mutable_job_body()->set_job(job);
  request.mutable_job_body()->set_sample(sample);
  ControlClient::Answer answer = control_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTime);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::nullopt;
  }
  return std::move(*answer.reply.mutable_job_body());
}

void Gateway::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int which) {
        if (error) {
          return;
        }
        if (which == SIGHUP) {
          Reload();
        } else {
          Stop();
        }
        WaitForSignal();
      });
}

void Gateway::Reload() {
  const auto settings = LoadSettings<GatewaySettings>(settings_path_);
  if (!settings) {
    Log(LogLevel::kError, "reload_refused", {{"settings", settings_path_}});
    return;
  }
  for (const Endpoint& control : settings->ControlEndpoints()) {
    follower_.AddControl(control);
    control_.AddReplica(control);
  }
  Log(LogLevel::kInfo, "reloaded", {{"seeds", settings->seeds.size()}});
}

void Gateway::Stop() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  const TimePoint now = Clock::now();
  Log(LogLevel::kInfo, "stopping",
      {{"active", callers_.active_requests()},
       {"connections", callers_.open_connections()}});
  callers_.DisableKeepAlive();
  timers_.After(settings_.accept_time, [this](TimePoint) { callers_.Drain(); });
  timers_.After(settings_.accept_time, [this, now](TimePoint) {
    ExitWhenIdle(now + settings_.stop_time);
  });
}

void Gateway::ExitWhenIdle(TimePoint until) {
  const bool idle =
      callers_.active_requests() == 0 && callers_.open_connections() == 0;
  if (idle || Clock::now() >= until) {
    io_.stop();
    return;
  }
  timers_.After(kExitCheckPeriod,
                [this, until](TimePoint) { ExitWhenIdle(until); });
}

void Gateway::ServeMetrics(HttpExchange& exchange) {
  HttpResponse response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body =
      metrics_.Text(follower_.routes() ? follower_.routes()->version() : 0,
                    follower_.targets().targets().size(), follower_.in_touch());
  exchange.Respond(response);
}

}  // namespace limpethatch
