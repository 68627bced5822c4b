#include "programs/gateway/gateway.h"

#include <csignal>
#include <random>
#include <utility>

#include "envelope.pb.h"
#include "limpethatch/connection/relay_result.h"
#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"
#include "limpethatch/process/metrics_text.h"
#include "limpethatch/version/job_page.h"
#include "platform/caller_check.h"
#include "platform/gateway_api.h"
#include "programs/gateway/where.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Timeout of a control request that submits, reads or ends a batch job; long
// enough for a leader election.
constexpr Duration kJobCallTimeout = milliseconds(2500);
// A gateway without quorum contact for this long is not ready. Longer than an
// election, so that a change of leader does not make it unready.
constexpr Duration kQuorumContactTimeout = milliseconds(1600);
constexpr Duration kExitCheckPeriod = milliseconds(50);
// Infrequent, as each check wakes up a small machine.
constexpr Duration kEventLoopCheckPeriod = milliseconds(500);
// Targets close idle connections after some seconds.
constexpr Duration kTargetConnectionIdleTime = std::chrono::seconds(15);
// Finds idle connections that carry nothing any more within about two seconds,
// so that no request is sent on them.
constexpr TcpKeepAlive kTargetKeepAlive{.idle_time = std::chrono::seconds(1),
                                        .interval = std::chrono::seconds(1),
                                        .probes = 2};
// Requests served for other gateways at the same time; more are refused, so
// that the callers of this gateway do not suffer.
constexpr size_t kMaxCallsForGateways = 32;
// Size of the header fields in which a relayed request may exceed the caller's.
constexpr size_t kRelayHeaderBytes = 256;
constexpr int kUnavailable = 503;
// Parts of the machine's memory and of the descriptors that are not reserved.
// The rest of the memory is for targets' answers, state and the kernel.
constexpr size_t kMemoryDivisor = 2;
constexpr size_t kCallerDivisor = 1;
constexpr size_t kRelayDivisor = 16;
constexpr size_t kMonitoringDivisor = 64;
// Requests that are still active at the end of an orderly stop are answered
// within this time; several times the period at which calls check for it.
constexpr Duration kFinalAnswerTime = milliseconds(400);
// Time limit for the usage counts that are sent at the end of an orderly stop.
constexpr Duration kFinalUsageTime = milliseconds(500);

HttpServerLimits MakeServerLimits(const GatewaySettings& settings,
                                  size_t divisor) {
  return settings.client_limits.ServerLimits(DescriptorLimit(), divisor);
}

ChangeOutcome ToChangeOutcome(ControlCertainty certainty) {
  switch (certainty) {
    case ControlCertainty::kDone:
      return ChangeOutcome::kDone;
    case ControlCertainty::kNotDone:
      return ChangeOutcome::kNotDone;
    default:
      return ChangeOutcome::kUncertain;
  }
}

ControlClientOptions MakeControlClientOptions(const GatewaySettings& settings) {
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
                 [this](std::string_view message) { OnMessage(message); }),
      control_client_(io_, messenger_, MakeControlClientOptions(settings)),
      target_permits_(io_, control_client_),
      stream_directory_(
          io_,
          control_client_,
          [this] { return fleet_subscriber_.HasCurrentTargets(); }),
      usage_sender_(io_,
                    timers_,
                    control_client_,
                    usage_counter_,
                    wall_clock_,
                    settings.process.id),
      fleet_subscriber_(timers_,
                        messenger_,
                        settings_,
                        {[this](const Endpoint& control) {
                           control_client_.AddReplica(control);
                         },
                         [this](const wire::TargetRates& rates) {
                           target_permits_.OnNews(rates);
                         },
                         [this](const wire::SuspectRequests& suspects) {
                           suspect_requests_.OnNews(suspects);
                         },
                         [this](const wire::RelayGateways& relays) {
                           relay_choice_.OnNews(relays);
                         },
                         [this](const wire::TargetRecord& target) {
                           stream_directory_.OnTarget(target);
                           suspect_requests_.OnTarget(target);
                         },
                         [this](Duration usage_window) {
                           usage_sender_.SetWindowLength(usage_window);
                         }}),
      leaving_targets_(io_, control_client_, fleet_subscriber_),
      suspect_requests_(io_, control_client_, fleet_subscriber_.targets()),
      relay_choice_(settings.process.zone),
      hedge_permits_(io_, control_client_, settings.hedging),
      target_client_(
          io_,
          HttpClientOptions{.translation = settings.process.address_translation,
                            .max_idle_time = kTargetConnectionIdleTime,
                            .keep_alive = kTargetKeepAlive}),
      client_memory_(std::make_shared<ClientMemory>(
          settings.client_limits.Budget(kMemoryDivisor))),
      caller_server_(
          io_,
          MakeServerLimits(settings, kCallerDivisor),
          [this](HttpExchange& exchange) {
            platform::ServeGatewayCall(*this, exchange);
          },
          client_memory_),
      relay_server_(
          io_,
          MakeServerLimits(settings, kRelayDivisor),
          [this](HttpExchange& exchange) { ServeForGateway(exchange); },
          client_memory_),
      readiness_server_(
          io_,
          MakeServerLimits(settings, kMonitoringDivisor),
          [this](HttpExchange& exchange) {
            platform::ServeReadiness(IsReady(), exchange);
          },
          client_memory_),
      metrics_server_(
          io_,
          MakeServerLimits(settings, kMonitoringDivisor),
          [this](HttpExchange& exchange) { ServeMetrics(exchange); },
          client_memory_),
      router_(
          RouterOptions{.zone = settings.process.zone, .use_estimates = true}),
      random_(std::random_device()()),
      service_reach_(
          io_,
          fleet_subscriber_.targets(),
          random_,
          [this] { fleet_subscriber_.OfferRelay(MakeRelayOffer()); }),
      target_probes_(io_,
                     target_client_,
                     metrics_,
                     {.enabled = settings.target_probes},
                     [this](std::string_view service) {
                       const RouteTablePtr table = fleet_subscriber_.routes();
                       const auto* declared =
                           table ? table->Service(service) : nullptr;
                       return declared ? declared->health_path() : "";
                     }),
      live_call_context_{io_,
                         target_client_,
                         fleet_subscriber_.targets(),
                         router_,
                         random_,
                         metrics_,
                         target_permits_,
                         stream_directory_,
                         leaving_targets_,
                         suspect_requests_,
                         service_reach_,
                         relay_choice_,
                         usage_counter_,
                         wall_clock_,
                         target_probes_,
                         *client_memory_,
                         hedge_permits_},
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      settings_watcher_(timers_, settings_path_, [this] { Reload(); }),
      event_loop_monitor_(timers_, kEventLoopCheckPeriod) {}

std::error_code Gateway::Start() {
  if (std::error_code error = messenger_.Listen(settings_.peers)) {
    Log(LogLevel::kError, "listen_failed",
        {{"peers", settings_.peers.ToString()}, {"error", error.message()}});
    return error;
  }
  fleet_subscriber_.OfferRelay(MakeRelayOffer());
  fleet_subscriber_.Start();
  service_reach_.Start(timers_);
  for (auto [server, endpoint] :
       {std::pair(&caller_server_, &settings_.callers),
        std::pair(&relay_server_, &settings_.relay),
        std::pair(&readiness_server_, &settings_.readiness),
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

void Gateway::OnMessage(std::string_view bytes) {
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Log(LogLevel::kWarning, "message_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  if (envelope.has_fleet_news()) {
    fleet_subscriber_.OnFleetNews(envelope.fleet_news());
    ApplyLimits();
  } else if (envelope.has_reply()) {
    control_client_.OnReply(envelope.reply());
  }
}

void Gateway::ApplyLimits() {
  const RouteTablePtr table = fleet_subscriber_.routes();
  if (!table || table->version() == applied_limits_version_) {
    return;
  }
  applied_limits_version_ = table->version();
  const wire::CallerLimits& configured = table->configuration().limits();
  HttpServerLimits limits = MakeServerLimits(settings_, kCallerDivisor);
  if (configured.max_header_bytes() > 0) {
    limits.max_header_bytes = BoundedSize(configured.max_header_bytes());
  }
  if (configured.max_body_bytes() > 0) {
    limits.max_body_bytes = BoundedSize(configured.max_body_bytes());
  }
  if (configured.header_timeout_ms() > 0) {
    limits.header_timeout =
        BoundedTime<milliseconds>(configured.header_timeout_ms());
  }
  if (configured.idle_timeout_ms() > 0) {
    limits.idle_timeout =
        BoundedTime<milliseconds>(configured.idle_timeout_ms());
  }
  caller_server_.SetLimits(limits);
  // The header fields that a gateway adds or writes differently.
  limits.max_header_bytes += kRelayHeaderBytes;
  limits.max_connections =
      MakeServerLimits(settings_, kRelayDivisor).max_connections;
  relay_server_.SetLimits(limits);
}

// Without quorum contact this gateway can neither accept nor read batch jobs,
// and its targets and configuration become stale. If a whole zone is
// partitioned, its callers should be sent to another one, which the platform
// does once all gateways of the zone report that they are not ready.
bool Gateway::IsReady() const {
  return !stopping_ && fleet_subscriber_.routes() != nullptr &&
         fleet_subscriber_.time_since_quorum_contact(Clock::now()) <
             kQuorumContactTimeout;
}

void Gateway::ServeLive(HttpExchange& exchange,
                        const wire::Route& route,
                        const std::string& organisation) {
  // Keeps the arguments valid during the call, even if the configuration
  // changes.
  const RouteTablePtr table = fleet_subscriber_.routes();
  ServeLiveCall(live_call_context_, exchange, route, organisation,
                table->organisations().keys_required(),
                LiveCallOrigin::kCaller);
}

wire::RelayGateway Gateway::MakeRelayOffer() const {
  wire::RelayGateway offer;
  if (!stopping_) {
    offer.set_address(settings_.relay.ToString());
    offer.set_zone(settings_.process.zone);
    for (std::string& service : service_reach_.UnreachableServices()) {
      offer.add_unreachable_services(std::move(service));
    }
  }
  return offer;
}

void Gateway::ServeForGateway(HttpExchange& exchange) {
  metrics_.CountCallForGateway();
  const RouteTablePtr table = fleet_subscriber_.routes();
  const HttpRequest& request = exchange.request();
  const wire::Route* route =
      table ? table->Match(request.headers.Get("Host"), request.path) : nullptr;
  // The other gateway's configuration may be older than this one's.
  const platform::CallerCheck caller =
      route ? platform::CheckCaller(table->organisations(), request, *route)
            : platform::CallerCheck();
  if (!route || route->kind() == wire::ROUTE_JOBS || !caller.permitted ||
      IsConfigurationOutdated() ||
      relay_server_.active_requests() > kMaxCallsForGateways) {
    HttpResponse refusal;
    refusal.status = kUnavailable;
    SetRelayResult({.outcome = RelayOutcome::kNotRun}, &refusal);
    exchange.Respond(refusal);
    return;
  }
  ServeLiveCall(live_call_context_, exchange, *route, caller.OrganisationName(),
                table->organisations().keys_required(),
                LiveCallOrigin::kGateway);
}

JobChange Gateway::SubmitJob(Yield yield, const wire::JobSubmit& submit) {
  metrics_.CountJobCall("submit");
  wire::ControlRequest request;
  *request.mutable_command()->mutable_job_submit() = submit;
  const ControlClient::Answer answer = control_client_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTimeout);
  const wire::JobOutcome::Verdict verdict =
      answer.reply.result().job().verdict();
  const bool refused = verdict == wire::JobOutcome::ROUTE_CHANGED ||
                       verdict == wire::JobOutcome::ENDED ||
                       verdict == wire::JobOutcome::UNKNOWN;
  const ChangeOutcome outcome =
      refused ? ChangeOutcome::kNotDone : ToChangeOutcome(answer.certainty);
  Log(LogLevel::kInfo, "job_submitted",
      {{"job", submit.job()},
       {"step", submit.step()},
       {"samples", submit.samples_size()},
       {"min_version", submit.min_version()},
       {"configuration", submit.configuration_version()},
       {"verdict", wire::JobOutcome::Verdict_Name(verdict)},
       {"outcome", outcome == ChangeOutcome::kDone      ? "accepted"
                   : outcome == ChangeOutcome::kNotDone ? "not_done"
                                                        : "uncertain"}});
  return {outcome, verdict != wire::JobOutcome::UNKNOWN};
}

JobChange Gateway::EndJob(Yield yield,
                          const std::string& organisation,
                          const std::string& job) {
  metrics_.CountJobCall("end");
  wire::ControlRequest request;
  wire::JobEnd& end = *request.mutable_command()->mutable_job_end();
  end.set_job(job);
  end.set_organisation(organisation);
  const ControlClient::Answer answer = control_client_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTimeout);
  const bool known =
      answer.reply.result().job().verdict() != wire::JobOutcome::UNKNOWN;
  Log(LogLevel::kInfo, "job_ended",
      {{"job", job},
       {"done", answer.certainty == ControlCertainty::kDone},
       {"known", known}});
  return {ToChangeOutcome(answer.certainty), known};
}

std::optional<wire::JobPage> Gateway::ReadJob(Yield yield,
                                              const std::string& organisation,
                                              const std::string& job,
                                              uint64_t after,
                                              Duration wait) {
  metrics_.CountJobCall("read");
  wire::ControlRequest request;
  request.mutable_job()->set_organisation(organisation);
  request.mutable_job()->set_job(job);
  request.mutable_job()->set_after(after);
  request.mutable_job()->set_accepts_packed_text(true);
  request.mutable_job()->set_wait_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(wait).count()));
  ControlClient::Answer answer = control_client_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTimeout, wait);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::nullopt;
  }
  if (!UnpackTexts(answer.reply.mutable_job())) {
    Log(LogLevel::kError, "job_page_corrupt", {{"job", job}, {"after", after}});
    return std::nullopt;
  }
  return std::move(*answer.reply.mutable_job());
}

std::optional<wire::JobBody> Gateway::ReadBody(Yield yield,
                                               const std::string& organisation,
                                               const std::string& job,
                                               const std::string& sample) {
  metrics_.CountJobCall("body");
  wire::ControlRequest request;
  request.mutable_job_body()->set_organisation(organisation);
  request.mutable_job_body()->set_job(job);
  request.mutable_job_body()->set_sample(sample);
  ControlClient::Answer answer = control_client_.SendRequest(
      yield, std::move(request), Clock::now() + kJobCallTimeout);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::nullopt;
  }
  return std::move(*answer.reply.mutable_job_body());
}

void Gateway::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal_number) {
        if (error) {
          return;
        }
        if (signal_number == SIGHUP) {
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
    fleet_subscriber_.AddControlInstance(control);
    control_client_.AddReplica(control);
  }
  Log(LogLevel::kInfo, "reloaded", {{"seeds", settings->seeds.size()}});
}

void Gateway::Stop() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  const TimePoint now = Clock::now();
  Log(LogLevel::kInfo, "stopping",
      {{"active", caller_server_.active_requests()},
       {"connections", caller_server_.open_connections()}});
  caller_server_.DisableKeepAlive();
  relay_server_.DisableKeepAlive();
  fleet_subscriber_.OfferRelay(MakeRelayOffer());
  timers_.After(settings_.accept_time, [this](TimePoint) {
    caller_server_.Drain();
    relay_server_.Drain();
  });
  timers_.After(settings_.accept_time, [this, now](TimePoint) {
    ExitWhenIdle(now + settings_.stop_time);
  });
}

void Gateway::ExitWhenIdle(TimePoint deadline) {
  const bool idle = caller_server_.active_requests() == 0 &&
                    caller_server_.open_connections() == 0 &&
                    relay_server_.active_requests() == 0;
  const TimePoint now = Clock::now();
  if (idle || now >= deadline + kFinalAnswerTime) {
    Exit();
    return;
  }
  if (now >= deadline && !std::exchange(live_call_context_.ending, true)) {
    Log(LogLevel::kWarning, "active_requests_given_up",
        {{"active", caller_server_.active_requests()},
         {"for_gateways", relay_server_.active_requests()}});
  }
  timers_.After(kExitCheckPeriod,
                [this, deadline](TimePoint) { ExitWhenIdle(deadline); });
}

void Gateway::Exit() {
  Spawn(io_, [this](Yield yield) {
    usage_sender_.SendAll(yield, Clock::now() + kFinalUsageTime);
    io_.stop();
  });
}

void Gateway::ServeMetrics(HttpExchange& exchange) {
  const TimePoint now = Clock::now();
  if (exchange.request().path == kWherePath) {
    exchange.Respond(ExplainWhere(exchange.request(),
                                  {.context = live_call_context_,
                                   .subscriber = fleet_subscriber_,
                                   .instance = settings_.process.id,
                                   .zone = settings_.process.zone,
                                   .is_ready = IsReady(),
                                   .random = random_()},
                                  now));
    return;
  }
  HttpResponse response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = metrics_.Text(
      fleet_subscriber_.routes() ? fleet_subscriber_.routes()->version() : 0,
      fleet_subscriber_.targets().targets().size(),
      fleet_subscriber_.has_quorum_contact(), hedge_permits_);
  MetricsText clients;
  client_memory_->Write(&clients);
  response.body += clients.text();
  exchange.Respond(response);
}

}  // namespace limpethatch
