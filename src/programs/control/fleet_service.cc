#include "programs/control/fleet_service.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"
#include "limpethatch/version/job_route.h"
#include "platform/control_api.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Below the second after which callers try another instance, so that they
// still get an answer.
constexpr Duration kCallTimeout = milliseconds(900);
// Digests carry heartbeats among control instances and changes of targets.
constexpr Duration kDigestPeriod = milliseconds(250);
// All targets are sent again at this period, in case a digest was lost.
constexpr Duration kFullDigestPeriod = std::chrono::seconds(3);
// A replica whose state may be older than this has no quorum contact, so that
// gateways use another one: it lags behind, has just restarted, is cut off, or
// was removed from the group.
constexpr milliseconds kMaxStateAge{600};
// Gateways renew their watch at least every second.
constexpr Duration kWatcherTimeout = std::chrono::seconds(4);
// Time after which a configuration that a gateway has not confirmed is sent
// again. Gateways confirm with their next watch.
constexpr Duration kTransferConfirmationTimeout = milliseconds(1200);
constexpr Duration kLeaderTaskPeriod = milliseconds(50);
constexpr Duration kPendingReadPeriod = milliseconds(20);
constexpr Duration kHousekeepingPeriod = std::chrono::seconds(1);

uint64_t RandomEpoch() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device() | 1;
}

// Parts of the machine's memory and of the descriptors that are not reserved.
// The rest is for the replicated state, and for streams of engines.
constexpr size_t kMemoryDivisor = 4;
constexpr size_t kApiDivisor = 2;
constexpr size_t kMonitoringDivisor = 64;

ControlClientOptions ClientOptions(const ControlSettings& settings,
                                   const ReplicaRunner& replica) {
  ControlClientOptions options;
  options.instance = settings.process.id;
  options.zone = settings.process.zone;
  options.reply_to = settings.peers;
  for (const Endpoint& seed : settings.seeds) {
    options.replicas.push_back(settings.MessengerEndpoint(seed));
  }
  if (std::find(options.replicas.begin(), options.replicas.end(),
                settings.peers) == options.replicas.end()) {
    options.replicas.push_back(settings.peers);
  }
  options.known_leader = [&replica]() -> std::optional<Endpoint> {
    Endpoint leader;
    return ParseEndpoint(replica.LeaderEndpoint(), &leader)
               ? std::optional(leader)
               : std::nullopt;
  };
  return options;
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

// A request to a follower, which names the leader, and one to the leader.
constexpr size_t kUsualAttempts = 2;

std::string_view ChangeName(const wire::Command& command) {
  if (command.has_configuration_put()) {
    return "configuration";
  }
  if (command.has_weights_named()) {
    return "weights";
  }
  return command.has_instance_retire() ? "retirement" : "other";
}

}  // namespace

FleetService::FleetService(boost::asio::io_context& io,
                           TimerService& timers,
                           Messenger& messenger,
                           const ControlSettings& settings,
                           ReplicaRunner& replica)
    : io_(io),
      timers_(timers),
      messenger_(messenger),
      settings_(settings),
      replica_(replica),
      client_(io, messenger, ClientOptions(settings, replica)),
      client_memory_(std::make_shared<ClientMemory>(
          settings.client_limits.Budget(kMemoryDivisor))),
      api_(
          io,
          settings.client_limits.ServerLimits(DescriptorLimit(), kApiDivisor),
          [this](HttpExchange& exchange) {
            platform::ServeControlCall(*this, exchange);
          },
          client_memory_),
      metrics_(
          io,
          settings.client_limits.ServerLimits(DescriptorLimit(),
                                              kMonitoringDivisor),
          [this](HttpExchange& exchange) { ServeMetrics(exchange); },
          client_memory_),
      disk_(settings.data_folder),
      epoch_(RandomEpoch()),
      configuration_transfers_(kTransferConfirmationTimeout),
      crash_detector_(
          io,
          {[this](std::vector<wire::CrashedRun> runs) { RecordCrashes(runs); },
           [this](const std::string& target) { return OtherTargets(target); }}),
      sample_runner_(io, timers, scheduler_, MakeRunListener()),
      weight_order_client_(
          io,
          settings.process.id,
          scheduler_.engine_table(),
          rollout_,
          [this] { return OrderTerm(); },
          [this](const std::string& engine, uint64_t incarnation) {
            OnTargetLeaving(engine, incarnation);
          }),
      random_(RandomEpoch()),
      reward_scheduler_(settings.process.zone),
      reward_runner_(
          io,
          timers,
          reward_scheduler_,
          [this] {
            RunListener listener = MakeRunListener();
            listener.replan = [this] { ScheduleRewardTasks(); };
            return listener;
          }(),
          [this](const std::string& target,
                 uint32_t running,
                 uint32_t waiting) {
            OnTargetLoad(target, running, waiting);
          }) {
  StartDuties();
}

RunListener FleetService::MakeRunListener() {
  return {[this](const wire::SamplesAdvance& advances) {
            return RecordAdvances(advances);
          },
          [this] { ScheduleLeaderTasks(); },
          [this](const std::string& target, uint64_t incarnation,
                 std::optional<double> rate_limit) {
            ObserveRateLimit(target, incarnation, rate_limit);
          },
          [this](const std::string& target, uint64_t incarnation) {
            OnTargetLeaving(target, incarnation);
          },
          [this](const UnfinishedRun& run, bool connection_lost) {
            if (connection_lost) {
              crash_detector_.OnConnectionLost(run);
            } else {
              crash_detector_.OnNoAnswer(run);
            }
          }};
}

std::error_code FleetService::Start() {
  LoadTargets();
  AddSeeds(settings_.seeds);
  timers_.Every(kDigestPeriod, [this](TimePoint now) {
    MarkSilentPeers(now);
    SendDigests(now);
    ReconcileMembers(now);
  });
  timers_.Every(kFullDigestPeriod, [this](TimePoint now) {
    for (const auto& [id, entry] : targets_.entries()) {
      pending_digest_targets_.insert(id);
    }
    targets_.Expire(now);
  });
  timers_.Every(kLeaderTaskPeriod, [this](TimePoint now) {
    TrackQuorumContact(now);
    ScheduleLeaderTasks();
  });
  timers_.Every(kPendingReadPeriod, [this](TimePoint now) {
    AnswerConfirmedReads(now);
    AnswerPendingJobQueries(now);
  });
  timers_.Every(kHousekeepingPeriod, [this](TimePoint now) {
    ExpireJobs(now);
    DropRateLimitsOfGoneTargets();
    ForgetCrashes(now);
    std::erase_if(watchers_, [&](const auto& entry) {
      const bool expired = now - entry.second.last_contact_at > kWatcherTimeout;
      if (expired) {
        configuration_transfers_.Remove(entry.first);
      }
      return expired;
    });
  });
  if (settings_.metrics.port != 0) {
    if (std::error_code error = metrics_.Listen(settings_.metrics)) {
      Log(LogLevel::kError, "listen_failed",
          {{"metrics", settings_.metrics.ToString()},
           {"error", error.message()}});
    }
  }
  return api_.Listen(settings_.api);
}

void FleetService::AddSeeds(const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    const Endpoint messenger = settings_.MessengerEndpoint(seed);
    replica_.AddContact(seed.host, messenger);
    client_.AddReplica(messenger);
    if (seed.host != settings_.process.id && !peers_.contains(seed.host)) {
      Peer& peer = peers_[seed.host];
      peer.record.set_id(seed.host);
      peer.record.set_endpoint(messenger.ToString());
    }
  }
}

bool FleetService::IsActiveLeader(TimePoint now) const {
  const Consensus* consensus = replica_.consensus();
  return consensus && consensus->leading() && consensus->HoldsLease(now) &&
         consensus->applied_index() == consensus->commit_index();
}

bool FleetService::HasQuorumContact(TimePoint now) const {
  const Consensus* consensus = replica_.consensus();
  if (!consensus) {
    return false;
  }
  if (consensus->leading()) {
    return consensus->HoldsLease(now);
  }
  const std::optional<milliseconds> age = StateAge(now);
  return age && *age < kMaxStateAge;
}

std::optional<milliseconds> FleetService::StateAge(TimePoint now) const {
  const Consensus* consensus = replica_.consensus();
  if (!consensus) {
    return std::nullopt;
  }
  const std::optional<TimePoint> confirmed_at =
      consensus->StateConfirmedAt(now);
  if (!confirmed_at) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(now - *confirmed_at);
}

void FleetService::TrackQuorumContact(TimePoint now) {
  const bool has_contact = HasQuorumContact(now);
  if (has_contact == had_quorum_contact_) {
    return;
  }
  had_quorum_contact_ = has_contact;
  const Consensus* consensus = replica_.consensus();
  Log(LogLevel::kInfo,
      has_contact ? "quorum_contact_established" : "quorum_contact_lost",
      {{"leader", consensus ? consensus->leader() : ""},
       {"term", consensus ? consensus->term() : 0},
       {"state_age_ms", StateAge(now)},
       {"configuration", ledger().configuration().version()}});
  if (!has_contact) {
    // So that gateways leave now and not at their next periodic watch request.
    ScheduleNewsPush();
  }
}

bool FleetService::Receive(const wire::Envelope& envelope) {
  if (envelope.has_control_digest()) {
    Receive(envelope.control_digest());
  } else if (envelope.has_watch()) {
    Receive(envelope.watch());
  } else if (envelope.has_reply()) {
    client_.OnReply(envelope.reply());
  } else {
    return false;
  }
  return true;
}

bool FleetService::HandleRequest(const wire::ControlRequest& request) {
  if (request.command().has_job_submit()) {
    return RefuseChangedRoute(request) || RefuseUnsupportedJob(request);
  }
  if (request.command().has_job_end()) {
    return RefuseUnsupportedJob(request);
  }
  if (!request.has_configuration() && !request.has_job() &&
      !request.has_job_body() && !request.has_target_rate() &&
      !request.has_target_permit() && !request.has_stream_begun() &&
      !request.has_stream_origin() && !request.has_target_leaving() &&
      !request.has_usage_counts() && !request.has_hedge_permit()) {
    return false;
  }
  if (!replica_.consensus() || !replica_.consensus()->leading()) {
    ReplyNotLeader(request);
  } else if (request.has_configuration()) {
    pending_configuration_reads_.push_back({request, Clock::now()});
  } else if (request.has_job()) {
    AnswerJobQuery(request, true);
  } else if (request.has_target_rate()) {
    AnswerRateReport(request);
  } else if (request.has_target_permit()) {
    AnswerPermitQuery(request);
  } else if (request.has_hedge_permit()) {
    AnswerHedgePermitQuery(request);
  } else if (request.has_stream_begun()) {
    RecordStreamOrigin(request);
  } else if (request.has_stream_origin()) {
    AnswerStreamOriginQuery(request);
  } else if (request.has_usage_counts()) {
    AnswerUsageCounts(request);
  } else if (request.has_target_leaving()) {
    OnTargetLeaving(request.target_leaving().target(),
                    request.target_leaving().incarnation());
    SendReply(request, {});
  } else {
    AnswerJobBodyQuery(request);
  }
  return true;
}

bool FleetService::RefuseChangedRoute(const wire::ControlRequest& request) {
  const wire::JobSubmit& submit = request.command().job_submit();
  if (!IsActiveLeader(Clock::now()) || ledger().jobs().Find(submit.job()) ||
      IsJobRouteInForce(ledger().configuration(), submit)) {
    return false;
  }
  Log(LogLevel::kInfo, "job_refused",
      {{"job", submit.job()},
       {"reason", "route_changed"},
       {"from", request.from()},
       {"submitted_under", submit.configuration_version()},
       {"configuration", ledger().configuration().version()}});
  wire::ControlReply reply;
  reply.mutable_result()->mutable_job()->set_verdict(
      wire::JobOutcome::ROUTE_CHANGED);
  SendReply(request, std::move(reply));
  return true;
}

void FleetService::SendReply(const wire::ControlRequest& request,
                             wire::ControlReply reply) {
  Endpoint to;
  if (!ParseEndpoint(request.reply_to(), &to)) {
    return;
  }
  reply.set_id(request.id());
  reply.set_leader(replica_.LeaderEndpoint());
  if (reply.outcome() == wire::ControlReply::UNSPECIFIED) {
    reply.set_outcome(wire::ControlReply::OK);
  }
  wire::Envelope envelope;
  *envelope.mutable_reply() = std::move(reply);
  messenger_.Send(to, envelope.SerializeAsString());
}

void FleetService::ReplyNotLeader(const wire::ControlRequest& request) {
  wire::ControlReply reply;
  reply.set_outcome(wire::ControlReply::NOT_LEADER);
  SendReply(request, std::move(reply));
}

void FleetService::AnswerJobQuery(const wire::ControlRequest& request,
                                  bool may_wait) {
  const TimePoint now = Clock::now();
  wire::ControlReply reply;
  if (!IsActiveLeader(now)) {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
    SendReply(request, std::move(reply));
    return;
  }
  wire::JobPage page = ledger().jobs().Page(request.job());
  const bool should_wait = may_wait && page.known() && page.results().empty() &&
                           request.job().after() < page.total() &&
                           request.job().wait_ms() > 0;
  if (should_wait) {
    pending_job_queries_.push_back(
        {request, now + BoundedTime<milliseconds>(request.job().wait_ms())});
    return;
  }
  *reply.mutable_job() = std::move(page);
  SendReply(request, std::move(reply));
}

void FleetService::AnswerJobBodyQuery(const wire::ControlRequest& request) {
  wire::ControlReply reply;
  if (IsActiveLeader(Clock::now())) {
    *reply.mutable_job_body() = ledger().jobs().Body(request.job_body());
  } else {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
  }
  SendReply(request, std::move(reply));
}

void FleetService::AnswerPendingJobQueries(TimePoint now) {
  std::vector<PendingJobQuery> still_waiting;
  for (PendingJobQuery& pending : std::exchange(pending_job_queries_, {})) {
    const wire::JobQuery& query = pending.request.job();
    const Job* job = ledger().jobs().Find(query.job());
    const bool due = now >= pending.deadline || !job || !IsActiveLeader(now) ||
                     job->positions() > query.after();
    if (due) {
      AnswerJobQuery(pending.request, false);
    } else {
      still_waiting.push_back(std::move(pending));
    }
  }
  pending_job_queries_.insert(pending_job_queries_.end(),
                              std::make_move_iterator(still_waiting.begin()),
                              std::make_move_iterator(still_waiting.end()));
}

void FleetService::AnswerConfirmedReads(TimePoint now) {
  std::erase_if(
      pending_configuration_reads_, [&](const PendingConfigurationRead& read) {
        const Consensus* consensus = replica_.consensus();
        if (consensus &&
            consensus->ConfirmedLeaderSince(read.received_at, now)) {
          wire::ControlReply reply;
          const wire::FleetConfiguration& configuration =
              ledger().configuration();
          reply.mutable_configuration()->set_version(configuration.version());
          reply.mutable_configuration()->set_document(configuration.document());
          SendReply(read.request, std::move(reply));
          return true;
        }
        const bool lost_leadership = !consensus || !consensus->leading();
        if (lost_leadership) {
          ReplyNotLeader(read.request);
        }
        return lost_leadership || now - read.received_at > kCallTimeout;
      });
}

ChangeOutcome FleetService::SubmitCommand(Yield yield, wire::Command command) {
  const TimePoint began_at = Clock::now();
  const std::string_view change = ChangeName(command);
  wire::ControlRequest request;
  *request.mutable_command() = std::move(command);
  const ControlClient::Answer answer =
      client_.SendRequest(yield, std::move(request), began_at + kCallTimeout);
  const bool slow = answer.attempts.size() > kUsualAttempts;
  if (answer.certainty != ControlCertainty::kDone || slow) {
    Log(LogLevel::kInfo, "change_retried",
        {{"change", change},
         {"attempts", Describe(answer.attempts)},
         {"leader", replica_.LeaderEndpoint()},
         {"took_ms",
          std::chrono::duration_cast<milliseconds>(Clock::now() - began_at)
              .count()}});
  }
  return ToChangeOutcome(answer.certainty);
}

ChangeOutcome FleetService::PutConfiguration(
    Yield yield,
    const wire::FleetConfiguration& configuration) {
  const TimePoint received_at = Clock::now();
  Log(LogLevel::kInfo, "configuration_received",
      {{"version", configuration.version()},
       {"routes", configuration.routes_size()},
       {"organisations", configuration.organisations_size()}});
  wire::Command command;
  *command.mutable_configuration_put()->mutable_configuration() = configuration;
  const ChangeOutcome outcome = SubmitCommand(yield, std::move(command));
  Log(LogLevel::kInfo, "configuration_put",
      {{"version", configuration.version()},
       {"took_ms",
        std::chrono::duration_cast<milliseconds>(Clock::now() - received_at)
            .count()},
       {"outcome", outcome == ChangeOutcome::kDone      ? "done"
                   : outcome == ChangeOutcome::kNotDone ? "not_done"
                                                        : "uncertain"}});
  return outcome;
}

std::optional<wire::ConfigurationReply> FleetService::ReadConfiguration(
    Yield yield) {
  wire::ControlRequest request;
  request.mutable_configuration();
  ControlClient::Answer answer = client_.SendRequest(
      yield, std::move(request), Clock::now() + kCallTimeout);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::nullopt;
  }
  return std::move(*answer.reply.mutable_configuration());
}

ChangeOutcome FleetService::SetWeightsVersion(Yield yield,
                                              const std::string& model,
                                              uint64_t version) {
  wire::Command command;
  command.mutable_weights_named()->set_model(model);
  command.mutable_weights_named()->set_version(version);
  const ChangeOutcome outcome = SubmitCommand(yield, std::move(command));
  Log(LogLevel::kInfo, "weights_named",
      {{"model", model},
       {"weights", version},
       {"durable", outcome == ChangeOutcome::kDone}});
  return outcome;
}

void FleetService::OnApplied() {
  if (ledger().configuration().version() != pushed_configuration_version_) {
    pushed_configuration_version_ = ledger().configuration().version();
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"version", pushed_configuration_version_}});
    ScheduleNewsPush();
  }
  if (ledger().crashes().revision() != pushed_crash_revision_) {
    pushed_crash_revision_ = ledger().crashes().revision();
    ScheduleNewsPush();
  }
  if (replica_.consensus() && replica_.consensus()->leading()) {
    ScheduleLeaderTasks();
  }
}

}  // namespace limpethatch
