#include "programs/control/fleet_service.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "limpethatch/process/log.h"
#include "limpethatch/process/metrics_text.h"
#include "platform/control_api.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Callers try another instance after a second without an answer.
constexpr Duration kCallTime = milliseconds(900);
// Signs of life among control instances, and news of targets.
constexpr Duration kDigestPeriod = milliseconds(250);
// Everything known of targets is told again, in case a digest was lost.
constexpr Duration kFullDigestPeriod = std::chrono::seconds(3);
// Several digests.
constexpr Duration kAliveWithin = milliseconds(1000);
// A former leader that missed two digests is down or cut off.
constexpr Duration kGoneAfter = milliseconds(600);
// A voter that was silent for so long is replaced if another can be had.
constexpr Duration kReplaceAfter = milliseconds(2500);
// Another replica led or heard a leader within this time: two elections.
constexpr Duration kQuorumContactWithin = milliseconds(1000);
// A replica whose state was older than the leader's for so long sends gateways
// to others: one that comes back with an empty disk has all to learn.
constexpr Duration kMostBehind = milliseconds(600);
// Gateways ask at least every second.
constexpr Duration kForgetWatcherAfter = std::chrono::seconds(4);
constexpr const char* kTargetsFile = "targets";
// Changes of targets that come together are saved together.
constexpr Duration kSaveDelay = milliseconds(150);
// Changes that come together are told together.
constexpr Duration kPushDelay = milliseconds(2);
constexpr Duration kWorkPeriod = milliseconds(50);
constexpr Duration kReadPeriod = milliseconds(20);
constexpr Duration kHousekeepingPeriod = std::chrono::seconds(1);
// Results stay readable for two minutes behind a job's submission.
constexpr Duration kKeepJobs = std::chrono::seconds(125);

uint64_t RandomEpoch() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device() | 1;
}

ControlClientOptions ClientOptions(const ControlSettings& settings) {
  ControlClientOptions options;
  options.instance = settings.process.id;
  options.zone = settings.process.zone;
  options.reply_to = settings.peers;
  for (const Endpoint& seed : settings.seeds) {
    options.replicas.push_back(settings.MessengerOf(seed));
  }
  options.replicas.push_back(settings.peers);
  return options;
}

Written FromCertainty(ControlCertainty certainty) {
  switch (certainty) {
    case ControlCertainty::kDone:
      return Written::kDone;
    case ControlCertainty::kNothingDone:
      return Written::kNotDone;
    default:
      return Written::kUncertain;
  }
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
      client_(io, messenger, ClientOptions(settings)),
      api_(io,
           HttpServerLimits{},
           [this](HttpExchange& exchange) {
             platform::ServeControlCall(*this, exchange);
           }),
      metrics_(io,
               HttpServerLimits{},
               [this](HttpExchange& exchange) { ServeMetrics(exchange); }),
      disk_(settings.data_folder),
      epoch_(RandomEpoch()),
      runner_(io,
              timers,
              scheduler_,
              {[this](const wire::SamplesAdvance& advances) {
                 return Record(advances);
               },
               [this] { WorkSoon(); }}),
      orderer_(io, settings.process.id, scheduler_.board(), rollout_, [this] {
        return OrderTerm();
      }) {}

std::error_code FleetService::Start() {
  LoadTargets();
  UseSeeds(settings_.seeds);
  timers_.Every(kDigestPeriod, [this](TimePoint now) {
    NoteSilentPeers(now);
    SendDigests(now);
    PlanMembers(now);
  });
  timers_.Every(kFullDigestPeriod, [this](TimePoint now) {
    for (const auto& [id, entry] : targets_.entries()) {
      refreshed_.insert(id);
    }
    targets_.Expire(now);
  });
  timers_.Every(kWorkPeriod, [this](TimePoint now) {
    NoteProgress(now);
    Work(now);
  });
  timers_.Every(kReadPeriod, [this](TimePoint now) {
    AnswerConfirmed(now);
    AnswerReaders(now);
  });
  timers_.Every(kHousekeepingPeriod, [this](TimePoint now) {
    AgeJobs(now);
    std::erase_if(watchers_, [&](const auto& entry) {
      return now - entry.second.heard_at > kForgetWatcherAfter;
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

void FleetService::UseSeeds(const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    const Endpoint messenger = settings_.MessengerOf(seed);
    replica_.AddContact(seed.host, messenger);
    client_.AddReplica(messenger);
    if (seed.host != settings_.process.id && !peers_.contains(seed.host)) {
      Peer& peer = peers_[seed.host];
      peer.record.set_id(seed.host);
      peer.record.set_endpoint(messenger.ToString());
    }
  }
}

bool FleetService::Active(TimePoint now) const {
  const Consensus* consensus = replica_.consensus();
  return consensus && consensus->leading() && consensus->HoldsLease(now) &&
         consensus->applied_index() == consensus->commit_index();
}

void FleetService::NoteProgress(TimePoint now) {
  if (const Consensus* consensus = replica_.consensus();
      consensus && !consensus->Behind()) {
    last_level_ = now;
  }
}

bool FleetService::HasQuorumContact(TimePoint now) const {
  const Consensus* consensus = replica_.consensus();
  if (!consensus) {
    return false;
  }
  if (consensus->leading()) {
    return consensus->HoldsLease(now);
  }
  const bool level =
      last_level_ != TimePoint::min() && now - last_level_ < kMostBehind;
  return level && !consensus->leader().empty() &&
         now - replica_.HeardFrom(consensus->leader()) < kQuorumContactWithin;
}

// ---- Messages ----

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

bool FleetService::Handle(const wire::ControlRequest& request) {
  if (!request.has_configuration() && !request.has_job() &&
      !request.has_job_body()) {
    return false;
  }
  if (!replica_.consensus() || !replica_.consensus()->leading()) {
    RefuseAsFollower(request);
  } else if (request.has_configuration()) {
    confirmed_reads_.push_back({request, Clock::now()});
  } else if (request.has_job()) {
    AnswerJob(request, true);
  } else {
    AnswerBody(request);
  }
  return true;
}

void FleetService::Answer(const wire::ControlRequest& request,
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

void FleetService::RefuseAsFollower(const wire::ControlRequest& request) {
  wire::ControlReply reply;
  reply.set_outcome(wire::ControlReply::NOT_LEADER);
  Answer(request, std::move(reply));
}

void FleetService::AnswerJob(const wire::ControlRequest& request,
                             bool may_wait) {
  const TimePoint now = Clock::now();
  wire::ControlReply reply;
  if (!Active(now)) {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
    Answer(request, std::move(reply));
    return;
  }
  wire::JobPage page =
      ledger().jobs().Page(request.job().job(), request.job().after());
  const bool wait = may_wait && page.known() && page.results().empty() &&
                    request.job().after() < page.total() &&
                    request.job().wait_ms() > 0;
  if (wait) {
    job_readers_.push_back(
        {request, now + milliseconds(request.job().wait_ms())});
    return;
  }
  *reply.mutable_job() = std::move(page);
  Answer(request, std::move(reply));
}

void FleetService::AnswerBody(const wire::ControlRequest& request) {
  wire::ControlReply reply;
  if (Active(Clock::now())) {
    *reply.mutable_job_body() = ledger().jobs().Body(
        request.job_body().job(), request.job_body().sample());
  } else {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
  }
  Answer(request, std::move(reply));
}

void FleetService::AnswerReaders(TimePoint now) {
  std::vector<JobReader> still_waiting;
  for (JobReader& reader : std::exchange(job_readers_, {})) {
    const wire::JobQuery& query = reader.request.job();
    const Job* job = ledger().jobs().Find(query.job());
    const bool due = now >= reader.until || !job || !Active(now) ||
                     job->listed.size() > query.after();
    if (due) {
      AnswerJob(reader.request, false);
    } else {
      still_waiting.push_back(std::move(reader));
    }
  }
  job_readers_.insert(job_readers_.end(),
                      std::make_move_iterator(still_waiting.begin()),
                      std::make_move_iterator(still_waiting.end()));
}

void FleetService::AnswerConfirmed(TimePoint now) {
  std::erase_if(confirmed_reads_, [&](const ConfirmedRead& read) {
    const Consensus* consensus = replica_.consensus();
    if (consensus && consensus->LedSince(read.asked_at, now)) {
      wire::ControlReply reply;
      const wire::FleetConfiguration& stands = ledger().configuration();
      reply.mutable_configuration()->set_version(stands.version());
      reply.mutable_configuration()->set_document(stands.document());
      Answer(read.request, std::move(reply));
      return true;
    }
    const bool lost = !consensus || !consensus->leading();
    if (lost) {
      RefuseAsFollower(read.request);
    }
    return lost || now - read.asked_at > kCallTime;
  });
}

// ---- Control instances ----

wire::ControlDigest FleetService::NewDigest(TimePoint now) const {
  wire::ControlDigest digest;
  wire::ControlInstanceRecord& self = *digest.mutable_sender();
  self.set_id(settings_.process.id);
  self.set_endpoint(settings_.peers.ToString());
  self.set_name(settings_.name);
  self.set_zone(settings_.process.zone);
  self.set_stores(true);
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard_at < kAliveWithin) {
      wire::ControlInstanceRecord& known = *digest.add_known();
      known = peer.record;
      known.set_age_ms(static_cast<uint64_t>(
          std::chrono::duration_cast<milliseconds>(now - peer.heard_at)
              .count()));
    }
  }
  return digest;
}

void FleetService::SendDigests(TimePoint now) {
  wire::ControlDigest digest = NewDigest(now);
  for (const std::string& id : std::exchange(refreshed_, {})) {
    const auto found = targets_.entries().find(id);
    if (found != targets_.entries().end()) {
      *digest.add_targets() = TargetRegistry::WithAge(found->second, now);
    }
  }
  Broadcast(digest);
}

void FleetService::NoteSilentPeers(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (peer.alive && now - peer.heard_at > kAliveWithin) {
      peer.alive = false;
      Log(LogLevel::kWarning, "control_instance_silent",
          {{"id", id}, {"name", peer.record.name()}});
    }
  }
}

void FleetService::Broadcast(const wire::ControlDigest& digest) {
  wire::Envelope envelope;
  *envelope.mutable_control_digest() = digest;
  const std::string bytes = envelope.SerializeAsString();
  for (const auto& [id, peer] : peers_) {
    Endpoint endpoint;
    if (ParseEndpoint(peer.record.endpoint(), &endpoint)) {
      messenger_.Send(endpoint, bytes);
    }
  }
}

void FleetService::Receive(const wire::ControlDigest& digest) {
  const TimePoint now = Clock::now();
  const auto known = peers_.find(digest.sender().id());
  const bool was_silent =
      known == peers_.end() || now - known->second.heard_at > kAliveWithin;
  if (was_silent) {
    Log(LogLevel::kInfo, "control_instance_heard",
        {{"id", digest.sender().id()}, {"name", digest.sender().name()}});
    for (const auto& [id, entry] : targets_.entries()) {
      refreshed_.insert(id);
    }
  }
  HearOf(digest.sender(), now);
  replica_.Heard(digest.sender().id(), now);
  for (const wire::ControlInstanceRecord& record : digest.known()) {
    if (!peers_.contains(record.id())) {
      HearOf(record, TimePoint::min());
    }
  }
  bool changed = false;
  for (const wire::TargetRecord& target : digest.targets()) {
    changed |= TakeIn(target, now - milliseconds(target.age_ms()));
  }
  if (changed) {
    PushNewsSoon();
  }
}

void FleetService::HearOf(const wire::ControlInstanceRecord& record,
                          TimePoint heard_at) {
  Endpoint endpoint;
  if (record.id() == settings_.process.id || record.id().empty() ||
      !ParseEndpoint(record.endpoint(), &endpoint)) {
    return;
  }
  Peer& peer = peers_[record.id()];
  peer.record = record;
  if (heard_at != TimePoint::min()) {
    peer.heard_at = heard_at;
    peer.alive = true;
  }
  client_.AddReplica(endpoint);
  replica_.AddContact(record.id(), endpoint);
}

void FleetService::PlanMembers(TimePoint now) {
  const Consensus* consensus = replica_.consensus();
  if (!consensus || !Active(now) || !consensus->MembersCommitted()) {
    return;
  }
  std::vector<KnownReplica> replicas;
  const auto add = [&](const std::string& id, const std::string& endpoint,
                       const std::string& zone, TimePoint heard_at) {
    KnownReplica& replica = replicas.emplace_back();
    replica.id = id;
    replica.endpoint = endpoint;
    replica.zone = zone;
    replica.alive = now - heard_at < kAliveWithin;
    replica.silent =
        now - std::max(heard_at, consensus->leading_since()) > kReplaceAfter;
    replica.retired = ledger().retired().contains(id);
    for (const wire::Member& member : consensus->members().members()) {
      if (member.id() == id) {
        replica.member = true;
        replica.votes = member.voter() && member.disk() != 0;
      }
    }
  };
  add(settings_.process.id, settings_.peers.ToString(), settings_.process.zone,
      now);
  for (const auto& [id, peer] : peers_) {
    add(id, peer.record.endpoint(), peer.record.zone(), peer.heard_at);
  }
  const size_t wanted = 2 * settings_.tolerated_losses + 1;
  const std::optional<MemberChange> change =
      limpethatch::PlanMembers(replicas, wanted);
  if (!change) {
    return;
  }
  wire::MembersChange message;
  if (change->kind == MemberChange::Kind::kAdd) {
    message.mutable_add()->set_id(change->id);
    message.mutable_add()->set_endpoint(change->endpoint);
  } else {
    message.set_remove(change->id);
  }
  const std::error_code error = replica_.ChangeMembers(message);
  Log(LogLevel::kInfo, "members_change",
      {{"change", change->kind == MemberChange::Kind::kAdd ? "add" : "remove"},
       {"replica", change->id},
       {"outcome", error ? error.message() : "proposed"}});
}

const FleetService::Peer* FleetService::FindByName(
    const std::string& name) const {
  for (const auto& [id, peer] : peers_) {
    if (peer.record.name() == name) {
      return &peer;
    }
  }
  return nullptr;
}

size_t FleetService::StoresLeftWithout(const std::string& id,
                                       TimePoint now) const {
  const auto counts = [&](const std::string& other) {
    return other != id && !ledger().retired().contains(other);
  };
  size_t left = counts(settings_.process.id) ? 1 : 0;
  for (const auto& [other, peer] : peers_) {
    left += counts(other) && now - peer.heard_at < kReplaceAfter ? 1 : 0;
  }
  return left;
}

std::optional<Emptying> FleetService::Empty(Yield yield,
                                            const std::string& name) {
  const TimePoint now = Clock::now();
  const Peer* peer = FindByName(name);
  if (!peer && name != settings_.name) {
    return HasQuorumContact(now) ? std::optional(Emptying::kUnknownInstance)
                                 : std::nullopt;
  }
  const std::string id = peer ? peer->record.id() : settings_.process.id;
  if (!ledger().retired().contains(id)) {
    if (StoresLeftWithout(id, now) < 2 * settings_.tolerated_losses + 1) {
      return Emptying::kTooFewLeft;
    }
    wire::Command command;
    command.mutable_instance_retire()->set_id(id);
    if (Write(yield, std::move(command)) != Written::kDone) {
      return std::nullopt;
    }
    Log(LogLevel::kInfo, "emptying", {{"name", name}, {"replica", id}});
  }
  return EmptyingState(yield, name);
}

std::optional<Emptying> FleetService::EmptyingState(Yield,
                                                    const std::string& name) {
  const Peer* peer = FindByName(name);
  const Consensus* consensus = replica_.consensus();
  if (!consensus || !HasQuorumContact(Clock::now())) {
    return std::nullopt;
  }
  if (!peer && name != settings_.name) {
    return Emptying::kUnknownInstance;
  }
  const std::string id = peer ? peer->record.id() : settings_.process.id;
  if (!ledger().retired().contains(id) || !consensus->MembersCommitted()) {
    return Emptying::kRunning;
  }
  const auto& members = consensus->members().members();
  const bool member =
      std::any_of(members.begin(), members.end(),
                  [&](const auto& other) { return other.id() == id; });
  return member ? Emptying::kRunning : Emptying::kCompleted;
}

// ---- Targets and gateways ----

void FleetService::LoadTargets() {
  const Result<std::string> contents = disk_.Read(kTargetsFile);
  wire::ControlDigest saved;
  if (!contents || !saved.ParseFromString(contents.value())) {
    return;  // The first start, or a copy that was torn.
  }
  for (const wire::TargetRecord& target : saved.targets()) {
    targets_.Merge(target, Clock::now());
  }
  Log(LogLevel::kInfo, "targets_loaded",
      {{"targets", targets_.entries().size()}});
}

void FleetService::SaveTargetsSoon() {
  if (!std::exchange(save_due_, true)) {
    timers_.After(kSaveDelay, [this](TimePoint) { SaveTargets(); });
  }
}

void FleetService::SaveTargets() {
  save_due_ = false;
  wire::ControlDigest saved;
  for (const auto& [id, entry] : targets_.entries()) {
    *saved.add_targets() = entry.record;
  }
  if (std::error_code error =
          disk_.Replace(kTargetsFile, saved.SerializeAsString())) {
    // They will announce themselves again anyway.
    Log(LogLevel::kWarning, "targets_not_saved", {{"error", error.message()}});
  }
}

bool FleetService::TakeIn(const wire::TargetRecord& target,
                          TimePoint heard_at) {
  const uint64_t before = targets_.revision();
  const TargetChange change = targets_.Merge(target, heard_at);
  if (change == TargetChange::kStale) {
    return false;
  }
  const TimePoint now = Clock::now();
  if (targets_.revision() != before) {
    SaveTargetsSoon();
    for (const wire::TargetRecord& record :
         targets_.ChangedSince(before, now)) {
      scheduler_.board().Announce(record);
      Log(LogLevel::kInfo, "target_changed",
          {{"target", record.id()},
           {"service", record.service()},
           {"address", record.address()},
           {"incarnation", record.born_ms()},
           {"sequence", record.sequence()},
           {"draining", record.draining()},
           {"gone", record.gone()}});
    }
  } else {
    scheduler_.board().Announce(targets_.entries().at(target.id()).record);
  }
  WorkSoon();
  return change == TargetChange::kChanged;
}

bool FleetService::KnowsService(std::string_view service) const {
  const wire::FleetConfiguration& stands = ledger().configuration();
  return stands.version() == 0 ||
         std::any_of(
             stands.services().begin(), stands.services().end(),
             [&](const auto& declared) { return declared.name() == service; });
}

bool FleetService::Announce(const wire::TargetRecord& target) {
  const TimePoint now = Clock::now();
  if (TakeIn(target, now)) {
    wire::ControlDigest digest = NewDigest(now);
    *digest.add_targets() =
        TargetRegistry::WithAge(targets_.entries().at(target.id()), now);
    Broadcast(digest);
    PushNewsSoon();
  } else {
    refreshed_.insert(target.id());
  }
  return HasQuorumContact(now);
}

bool FleetService::Leave(std::string_view id, std::optional<uint64_t> born_ms) {
  const TimePoint now = Clock::now();
  if (targets_.Leave(id, born_ms, now) == TargetChange::kChanged) {
    const auto& entry = targets_.entries().find(id)->second;
    scheduler_.board().Drop(id);
    SaveTargetsSoon();
    wire::ControlDigest digest = NewDigest(now);
    *digest.add_targets() = TargetRegistry::WithAge(entry, now);
    Broadcast(digest);
    PushNewsSoon();
    Log(LogLevel::kInfo, "target_left",
        {{"target", id}, {"incarnation", entry.record.born_ms()}});
  }
  return HasQuorumContact(now);
}

void FleetService::Receive(const wire::Watch& watch) {
  const TimePoint now = Clock::now();
  Watcher& watcher = watchers_[watch.instance()];
  if (!ParseEndpoint(watch.reply_to(), &watcher.reply_to)) {
    watchers_.erase(watch.instance());
    return;
  }
  if (watch.answer_missed()) {
    messenger_.Reset(watcher.reply_to);
  }
  watcher.heard_at = now;
  watcher.configuration_version = watch.configuration_version();
  watcher.revision = watch.epoch() == epoch_ ? watch.revision() : 0;
  SendNews(watcher, now);
}

void FleetService::PushNewsSoon() {
  if (!std::exchange(push_due_, true)) {
    timers_.After(kPushDelay, [this](TimePoint) { PushNews(); });
  }
}

void FleetService::PushNews() {
  push_due_ = false;
  const TimePoint now = Clock::now();
  for (auto& [instance, watcher] : watchers_) {
    SendNews(watcher, now);
  }
}

void FleetService::SendNews(Watcher& watcher, TimePoint now) {
  wire::Envelope envelope;
  wire::FleetNews& news = *envelope.mutable_fleet_news();
  news.set_from(settings_.peers.ToString());
  news.set_quorum_contact(HasQuorumContact(now));
  news.set_epoch(epoch_);
  news.set_base_revision(watcher.revision);
  news.set_revision(targets_.revision());
  news.set_leader(replica_.LeaderEndpoint());
  for (wire::TargetRecord& target :
       targets_.ChangedSince(watcher.revision, now)) {
    target.clear_weights();
    *news.add_targets() = std::move(target);
  }
  if (const wire::FleetConfiguration& stands = ledger().configuration();
      stands.version() > watcher.configuration_version) {
    *news.mutable_configuration() = stands;
    news.mutable_configuration()->clear_document();
    watcher.configuration_version = stands.version();
  }
  news.add_control_endpoints(settings_.peers.ToString());
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard_at < kAliveWithin) {
      news.add_control_endpoints(peer.record.endpoint());
    }
  }
  watcher.revision = targets_.revision();
  messenger_.Send(watcher.reply_to, envelope.SerializeAsString());
}

// ---- Changes ----

Written FleetService::Write(Yield yield, wire::Command command) {
  wire::ControlRequest request;
  *request.mutable_command() = std::move(command);
  return FromCertainty(
      client_.Ask(yield, std::move(request), Clock::now() + kCallTime)
          .certainty);
}

Written FleetService::PutConfiguration(
    Yield yield,
    const wire::FleetConfiguration& configuration) {
  wire::Command command;
  *command.mutable_configuration_put()->mutable_configuration() = configuration;
  const Written written = Write(yield, std::move(command));
  Log(LogLevel::kInfo, "configuration_put",
      {{"version", configuration.version()},
       {"outcome", written == Written::kDone      ? "done"
                   : written == Written::kNotDone ? "not_done"
                                                  : "uncertain"}});
  return written;
}

std::optional<wire::ConfigurationReply> FleetService::ReadConfiguration(
    Yield yield) {
  wire::ControlRequest request;
  request.mutable_configuration();
  ControlClient::Answer answer =
      client_.Ask(yield, std::move(request), Clock::now() + kCallTime);
  if (answer.certainty != ControlCertainty::kDone) {
    return std::nullopt;
  }
  return std::move(*answer.reply.mutable_configuration());
}

Written FleetService::NameWeights(Yield yield,
                                  const std::string& model,
                                  uint64_t version) {
  wire::Command command;
  command.mutable_weights_named()->set_model(model);
  command.mutable_weights_named()->set_version(version);
  const Written written = Write(yield, std::move(command));
  Log(LogLevel::kInfo, "weights_named",
      {{"model", model},
       {"weights", version},
       {"durable", written == Written::kDone}});
  return written;
}

void FleetService::Applied() {
  if (ledger().configuration().version() != pushed_version_) {
    pushed_version_ = ledger().configuration().version();
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"version", pushed_version_}});
    PushNewsSoon();
  }
  if (replica_.consensus() && replica_.consensus()->leading()) {
    WorkSoon();
  }
}

// ---- The leader's work ----

void FleetService::Leadership(bool leading) {
  adopted_ = false;
  runner_.Reset();
  scheduler_.Reset();
  rollout_.Reset();
  orderer_.Reset();
  if (leading) {
    previous_leader_ = last_leader_;
    led_from_ = Clock::now();
    WorkSoon();
  }
}

void FleetService::PrepareStop() {
  runner_.Flush();
  api_.Drain();
}

uint64_t FleetService::OrderTerm() const {
  const TimePoint now = Clock::now();
  // A leader that is still heard may have given an order just now.
  const auto previous = peers_.find(previous_leader_);
  const bool wait = previous != peers_.end() &&
                    now - previous->second.heard_at < kGoneAfter &&
                    now - led_from_ < settings_.order_lease;
  return Active(now) && !wait ? replica_.consensus()->term() : 0;
}

bool FleetService::Record(const wire::SamplesAdvance& advances) {
  wire::Command command;
  *command.mutable_samples_advance() = advances;
  return static_cast<bool>(replica_.Propose(command.SerializeAsString()));
}

void FleetService::WorkSoon() {
  if (std::exchange(work_due_, true)) {
    return;
  }
  boost::asio::post(io_, [this] {
    work_due_ = false;
    Work(Clock::now());
  });
}

void FleetService::Adopt() {
  adopted_ = true;
  for (const auto& [id, entry] : targets_.entries()) {
    scheduler_.board().Announce(entry.record);
  }
}

void FleetService::Work(TimePoint now) {
  const Consensus* consensus = replica_.consensus();
  if (consensus && !consensus->leading() && !consensus->leader().empty()) {
    last_leader_ = consensus->leader();
  }
  if (!Active(now)) {
    return;
  }
  if (!adopted_) {
    Adopt();
  }
  const wire::FleetConfiguration& stands = ledger().configuration();
  if (stands.version() != declared_version_) {
    declared_version_ = stands.version();
    for (const wire::ServiceDeclaration& service : stands.services()) {
      scheduler_.SetTokensPerEvent(service.name(), service.tokens_per_event());
      scheduler_.board().SetCacheTokens(service.name(), service.cache_tokens());
    }
  }
  if (OrderTerm() != 0) {
    for (const WeightLoad& load :
         rollout_.Plan(ledger().weights(), scheduler_.board(), now)) {
      orderer_.Order(load, false);
    }
  }
  const SamplePlan plan = scheduler_.Plan(ledger().jobs(), now);
  for (const SampleStop& stop : plan.stops) {
    runner_.Stop(stop);
  }
  for (const SampleStart& start : plan.starts) {
    runner_.Start(start, *ledger().jobs().Find(start.key.job));
  }
  AnswerReaders(now);
}

void FleetService::AgeJobs(TimePoint now) {
  const JobLedger& jobs = ledger().jobs();
  for (const std::string& id : jobs.order()) {
    job_seen_.try_emplace(id, now);
  }
  std::erase_if(job_seen_,
                [&](const auto& entry) { return !jobs.Find(entry.first); });
  if (!Active(now)) {
    return;
  }
  wire::SamplesAdvance given_up;
  for (const auto& [id, seen] : job_seen_) {
    const Job& job = *jobs.Find(id);
    const Duration age = now - seen;
    if (job.ended && age > kKeepJobs) {
      wire::Command command;
      command.mutable_job_forget()->set_job(id);
      if (!replica_.Propose(command.SerializeAsString())) {
        return;  // Tried again with the next check.
      }
      continue;
    }
    const bool overdue = job.submit.max_queue_ms() > 0 &&
                         age > milliseconds(job.submit.max_queue_ms());
    for (uint32_t index = 0;
         overdue && !job.ended && index < job.samples.size(); ++index) {
      if (job.samples[index].state == wire::SAMPLE_OPEN) {
        wire::SampleAdvance& advance = *given_up.add_advances();
        advance.set_job(id);
        advance.set_sample(index);
        advance.set_state(wire::SAMPLE_DEAD);
      }
    }
  }
  if (given_up.advances_size() > 0) {
    Log(LogLevel::kWarning, "samples_given_up",
        {{"reason", "max_queue"}, {"samples", given_up.advances_size()}});
    Record(given_up);
  }
}

void FleetService::ServeMetrics(HttpExchange& exchange) {
  MetricsText text;
  const Consensus* consensus = replica_.consensus();
  const auto count = [&](std::string_view name, std::string_view help,
                         double value) {
    text.Single(name, MetricType::kCounter, help, value);
  };
  const auto gauge = [&](std::string_view name, std::string_view help,
                         double value) {
    text.Single(name, MetricType::kGauge, help, value);
  };
  gauge("limpethatch_leading", "1 while this instance leads.",
        consensus && consensus->leading() ? 1 : 0);
  gauge("limpethatch_term", "Term of the last known leader.",
        consensus ? static_cast<double>(consensus->term()) : 0);
  gauge("limpethatch_commit_index", "Last committed entry.",
        consensus ? static_cast<double>(consensus->commit_index()) : 0);
  gauge("limpethatch_configuration_version", "Configuration in force here.",
        static_cast<double>(ledger().configuration().version()));
  gauge("limpethatch_gateways", "Gateways that ask this instance for news.",
        static_cast<double>(watchers_.size()));
  gauge("limpethatch_targets", "Targets known, tombstones included.",
        static_cast<double>(targets_.entries().size()));
  gauge("limpethatch_jobs", "Batch jobs kept.",
        static_cast<double>(ledger().jobs().jobs().size()));
  gauge("limpethatch_samples_running", "Samples at engines.",
        static_cast<double>(scheduler_.running()));
  const SampleRunner::Counters& runs = runner_.counters();
  count("limpethatch_samples_started_total", "Runs begun.",
        static_cast<double>(runs.started));
  count("limpethatch_samples_finished_total", "Runs that ended whole or dead.",
        static_cast<double>(runs.finished));
  count("limpethatch_samples_not_run_total", "Runs that engines refused.",
        static_cast<double>(runs.not_run));
  count("limpethatch_samples_failed_total", "Runs that engines failed.",
        static_cast<double>(runs.failed));
  count("limpethatch_samples_broken_total", "Streams that broke off.",
        static_cast<double>(runs.broken));
  count("limpethatch_samples_stopped_total", "Runs stopped by the scheduler.",
        static_cast<double>(runs.stopped));
  count("limpethatch_sample_events_total", "Events taken in.",
        static_cast<double>(runs.events));
  count("limpethatch_weight_orders_accepted_total", "Loads begun.",
        static_cast<double>(orderer_.accepted()));
  count("limpethatch_weight_orders_lost_total", "Orders without an answer.",
        static_cast<double>(orderer_.lost()));
  HttpResponse response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = text.text();
  exchange.Respond(response);
}

}  // namespace limpethatch
