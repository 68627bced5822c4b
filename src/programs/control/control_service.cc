#include "programs/control/control_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "envelope.pb.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// A peer counts as reachable for this time after its last message.
constexpr Duration kReachabilityTimeout = std::chrono::seconds(1);
// A connection over which a reply was missed is reset unless bytes were written
// to it within this time.
constexpr Duration kStalledTime = std::chrono::milliseconds(300);
constexpr Duration kWeightOrderPeriod = std::chrono::milliseconds(50);
// Maximum number of open steps in a status reply, oldest first.
constexpr size_t kMaxListedSteps = 200;
constexpr Duration kSessionCheckPeriod = std::chrono::milliseconds(200);

// The fields of a command that the burn report needs in addition to its result.
wire::Command ExtractBurnFields(const wire::Command& command) {
  wire::Command part;
  if (command.has_step_open()) {
    part.mutable_step_open()->set_trainer(command.step_open().trainer());
    part.mutable_step_open()->set_step(command.step_open().step());
  } else if (command.has_step_fetch()) {
    *part.mutable_step_fetch() = command.step_fetch();
  }
  return part;
}

uint64_t ToMilliseconds(Duration duration) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

ControlService::ControlService(boost::asio::io_context& io,
                               TimerService& timers,
                               Messenger& messenger,
                               const ControlSettings& settings)
    : timers_(timers),
      messenger_(messenger),
      replica_(io,
               timers,
               messenger,
               settings,
               {[this](uint64_t index, uint64_t term, std::string result) {
                  OnApplied(index, term, result);
                },
                [this](bool leading) { OnLeadershipChange(leading); }}),
      sessions_(settings.session_timeout),
      order_lease_({.longest_lease = settings.election_timeout,
                    .delivery_bound = settings.order_delivery_bound}),
      pool_weights_(io,
                    settings.process.address_translation,
                    [this](TimePoint now) { return IssueOrder(now); }) {
  if (settings.fleet) {
    fleet_.emplace(io, timers, messenger, settings, replica_);
  }
}

std::error_code ControlService::Start() {
  timers_.Every(kSessionCheckPeriod,
                [this](TimePoint now) { ReportExpiredHolders(now); });
  timers_.Every(kWeightOrderPeriod,
                [this](TimePoint now) { IssueWeightOrders(now); });
  if (std::error_code error = replica_.Start()) {
    return error;
  }
  return fleet_ ? fleet_->Start() : std::error_code();
}

bool ControlService::leading() const {
  return replica_.consensus() && replica_.consensus()->leading();
}

void ControlService::PrepareStop() {
  if (fleet_) {
    fleet_->PrepareStop();
  }
  replica_.TransferLeadership();
}

void ControlService::Receive(std::string_view bytes) {
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Log(LogLevel::kWarning, "message_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  if (fleet_ && fleet_->Receive(envelope)) {
    return;
  }
  if (envelope.has_consensus()) {
    replica_.Receive(envelope.consensus());
  } else if (envelope.has_request()) {
    HandleRequest(envelope.request());
  }
}

void ControlService::HandleRequest(const wire::ControlRequest& request) {
  if (leading() && !request.from().empty() && request.incarnation() != 0) {
    sessions_.RecordContact(request.from(), request.incarnation(),
                            Clock::now());
  }
  if (Endpoint sender;
      request.answer_missed() && ParseEndpoint(request.reply_to(), &sender)) {
    messenger_.Reset(sender, Clock::now() - kStalledTime);
  }
  // First, as it refuses some commands.
  if (fleet_ && fleet_->HandleRequest(request)) {
    return;
  }
  if (request.has_command()) {
    HandleCommand(request);
    return;
  }
  wire::ControlReply reply;
  reply.set_id(request.id());
  reply.set_outcome(wire::ControlReply::OK);
  reply.set_leader(replica_.LeaderEndpoint());
  if (request.has_hello()) {
    HandleHello(request, &reply);
  } else if (request.has_manifest()) {
    HandleManifest(request, &reply);
  } else if (request.has_status()) {
    HandleStatus(&reply);
  } else if (request.has_members()) {
    HandleMembers(request, &reply);
  } else if (request.has_history()) {
    HandleHistory(&reply);
  } else if (request.has_burn()) {
    HandleBurn(&reply);
  } else {
    return;
  }
  SendReply(request.reply_to(), reply);
}

void ControlService::HandleCommand(const wire::ControlRequest& request) {
  if (leading() &&
      sessions_.IsStaleRequest(request.from(), request.incarnation(),
                               request.id(), request.oldest_open())) {
    Log(LogLevel::kInfo, "command_outdated",
        {{"from", request.from()},
         {"incarnation", request.incarnation()},
         {"id", request.id()},
         {"oldest_open", request.oldest_open()}});
    return;
  }
  if (std::optional<wire::CommandResult> result =
          AnswerLocally(request.command())) {
    wire::ControlReply reply;
    reply.set_id(request.id());
    reply.set_outcome(wire::ControlReply::OK);
    *reply.mutable_result() = std::move(*result);
    SendReply(request.reply_to(), reply);
    return;
  }
  const Result<uint64_t> index =
      replica_.Propose(request.command().SerializeAsString());
  if (index) {
    if (request.command().has_configuration_put()) {
      Log(LogLevel::kInfo, "configuration_proposed",
          {{"version",
            request.command().configuration_put().configuration().version()},
           {"index", index.value()},
           {"term", replica_.consensus()->term()},
           {"commit_index", replica_.consensus()->commit_index()}});
    }
    pending_commands_[index.value()] = {replica_.consensus()->term(),
                                        request.reply_to(), request.id(),
                                        ExtractBurnFields(request.command())};
    return;
  }
  wire::ControlReply reply;
  reply.set_id(request.id());
  if (index.error() == ConsensusError::kNotLeader) {
    SetNotLeader(&reply);
  } else {
    reply.set_outcome(wire::ControlReply::UNAVAILABLE);
  }
  SendReply(request.reply_to(), reply);
}

std::optional<wire::CommandResult> ControlService::AnswerLocally(
    const wire::Command& command) const {
  if (!leading() || !replica_.consensus()->HoldsLease(Clock::now())) {
    return std::nullopt;
  }
  const StepLedger& steps = replica_.ledgers().steps();
  wire::CommandResult result;
  if (command.has_sample_take() && steps.IsNoOp(command.sample_take())) {
    result.mutable_taken();
    return result;
  }
  if (command.has_step_fetch()) {
    if (auto delivery = steps.Peek(command.step_fetch())) {
      *result.mutable_delivery() = std::move(*delivery);
      return result;
    }
  }
  return std::nullopt;
}

void ControlService::SetNotLeader(wire::ControlReply* reply) const {
  reply->set_outcome(wire::ControlReply::NOT_LEADER);
  reply->set_leader(replica_.LeaderEndpoint());
}

void ControlService::HandleHello(const wire::ControlRequest& request,
                                 wire::ControlReply* reply) {
  wire::HelloReply& hello = *reply->mutable_hello();
  hello.set_manifest_version(replica_.ledgers().manifest().version());
  if (!leading()) {
    SetNotLeader(reply);
    return;
  }
  hello.set_term(replica_.consensus()->term());
  sessions_.SetDetails(request.from(), request.hello().zone(),
                       request.hello().manifest_version());
  hello.set_holder_gone(replica_.ledgers().gone(
      HolderName(request.from(), request.incarnation())));
  for (const std::string& pool :
       replica_.ledgers().steps().PoolsWithWaitingSamples()) {
    hello.add_takes_wanted(pool);
  }
  for (wire::PoolVersion& pool : replica_.ledgers().pools()) {
    *hello.add_pools() = std::move(pool);
  }
  for (const wire::EngineReport& report : request.hello().engines()) {
    pool_weights_.OnReport(report, Clock::now());
  }
  burn_.OnHello(replica_.ledgers().manifest(), request, Clock::now());
}

void ControlService::HandleManifest(const wire::ControlRequest& request,
                                    wire::ControlReply* reply) {
  const ManifestRegister& manifest = replica_.ledgers().manifest();
  reply->mutable_manifest()->set_version(manifest.version());
  if (manifest.version() > request.manifest().newer_than()) {
    reply->mutable_manifest()->set_manifest(manifest.manifest());
  }
}

void ControlService::HandleMembers(const wire::ControlRequest& request,
                                   wire::ControlReply* reply) {
  const std::error_code error = replica_.ChangeMembers(request.members());
  if (error == ConsensusError::kNotLeader) {
    SetNotLeader(reply);
  } else if (error) {
    reply->set_outcome(wire::ControlReply::UNAVAILABLE);
  }
}

void ControlService::HandleStatus(wire::ControlReply* reply) {
  wire::StatusReply& status = *reply->mutable_status();
  status.set_manifest_version(replica_.ledgers().manifest().version());
  if (!replica_.consensus()) {
    reply->set_outcome(wire::ControlReply::UNAVAILABLE);
    return;
  }
  const Consensus& consensus = *replica_.consensus();
  status.set_leader(consensus.leader());
  status.set_term(consensus.term());
  status.set_commit_index(consensus.commit_index());
  status.set_quorum(leading() ? consensus.HoldsLease(Clock::now())
                              : !consensus.leader().empty());
  AddReplicas(&status);
  AddInstances(&status);
  AddSteps(&status);
}

void ControlService::HandleHistory(wire::ControlReply* reply) const {
  wire::HistoryReply& history = *reply->mutable_history();
  for (const auto& version : replica_.ledgers().manifest().history()) {
    wire::ManifestChange& change = *history.add_changes();
    change.set_version(version.version());
    change.set_change_id(version.change_id());
    change.set_author(version.author());
  }
}

void ControlService::HandleBurn(wire::ControlReply* reply) {
  if (!leading()) {
    SetNotLeader(reply);
    return;
  }
  *reply->mutable_burn() =
      burn_.Report(replica_.ledgers().manifest(), Clock::now());
}

void ControlService::AddReplicas(wire::StatusReply* status) {
  const Consensus& consensus = *replica_.consensus();
  const TimePoint now = Clock::now();
  for (const wire::Member& member : consensus.members().members()) {
    wire::ReplicaStatus& replica = *status->add_replicas();
    replica.set_id(member.id());
    replica.set_voting(member.voter() && member.disk() != 0);
    const auto found = consensus.progress().find(member.id());
    if (member.id() == consensus.id()) {
      replica.set_match_index(consensus.log().last_index());
      replica.set_reachable(true);
      continue;
    }
    replica.set_reachable(now - replica_.LastContactAt(member.id()) <
                          kReachabilityTimeout);
    if (leading() && found != consensus.progress().end()) {
      replica.set_match_index(found->second.match);
      // A replica has no vote until its disk is the one that its member entry
      // names.
      replica.set_voting(member.voter() && member.disk() == found->second.disk);
    }
  }
}

void ControlService::AddInstances(wire::StatusReply* status) {
  if (!leading()) {
    return;
  }
  for (const auto& [id, session] : sessions_.sessions()) {
    wire::InstanceStatus& instance = *status->add_instances();
    instance.set_id(id);
    instance.set_zone(session.zone);
    instance.set_manifest_version(session.manifest_version);
    instance.set_silent_ms(
        ToMilliseconds(Clock::now() - session.last_contact_at));
  }
}

std::optional<Order> ControlService::IssueOrder(TimePoint now) const {
  if (!leading()) {
    return std::nullopt;
  }
  const Consensus& consensus = *replica_.consensus();
  return order_lease_.Issue(now, consensus.term(), consensus.leading_since(),
                            consensus.LeaseEnd(now));
}

void ControlService::IssueWeightOrders(TimePoint now) {
  if (!leading()) {
    return;
  }
  for (const wire::PoolVersion& pool : replica_.ledgers().pools()) {
    pool_weights_.Declare(pool.pool(), pool.version(), pool.concurrent_loads());
  }
  pool_weights_.Tick(now);
}

void ControlService::AddSteps(wire::StatusReply* status) const {
  const StepLedger& steps = replica_.ledgers().steps();
  for (const OpenStepTerms& open : steps.OpenSteps()) {
    const auto found = steps.Status(open.trainer, open.step);
    if (!found ||
        static_cast<size_t>(status->steps_size()) >= kMaxListedSteps) {
      continue;
    }
    wire::StepStatus& step = *status->add_steps();
    step.set_trainer(open.trainer);
    step.set_step(open.step);
    step.set_total(found->total);
    step.set_waiting(found->waiting);
    step.set_running(found->running);
    step.set_recorded(found->recorded);
    step.set_acknowledged(found->acknowledged);
    step.set_remade(found->remade);
    step.set_most_remakes(found->most_remakes);
  }
  for (wire::PoolVersion& pool : replica_.ledgers().pools()) {
    *status->add_pools() = std::move(pool);
  }
}

void ControlService::OnApplied(uint64_t index,
                               uint64_t term,
                               const std::string& result) {
  if (fleet_) {
    fleet_->OnApplied();
  }
  if (const auto expiry = proposed_expiries_.find(index);
      expiry != proposed_expiries_.end()) {
    sessions_.RemoveExpired(expiry->second);
    proposed_expiries_.erase(expiry);
  }
  const auto found = pending_commands_.find(index);
  if (found == pending_commands_.end()) {
    return;
  }
  wire::ControlReply reply;
  reply.set_id(found->second.id);
  if (found->second.term == term) {
    reply.set_outcome(wire::ControlReply::OK);
    reply.mutable_result()->ParseFromString(result);
    burn_.OnApplied(replica_.ledgers().manifest(), found->second.burn_command,
                    reply.result(), Clock::now());
  } else {
    reply.set_outcome(wire::ControlReply::UNCERTAIN);
  }
  SendReply(found->second.reply_to, reply);
  pending_commands_.erase(found);
}

void ControlService::OnLeadershipChange(bool leading) {
  if (fleet_) {
    fleet_->OnLeadershipChange(leading);
  }
  proposed_expiries_.clear();
  pool_weights_.Reset();
  if (leading) {
    sessions_.Reset(replica_.ledgers().holders(), Clock::now());
    burn_.Start(Clock::now());
    return;
  }
  for (const auto& [index, pending] : std::exchange(pending_commands_, {})) {
    wire::ControlReply reply;
    reply.set_id(pending.id);
    reply.set_outcome(wire::ControlReply::UNCERTAIN);
    SendReply(pending.reply_to, reply);
  }
}

void ControlService::ReportExpiredHolders(TimePoint now) {
  if (!leading()) {
    return;
  }
  for (const std::string& holder : sessions_.ExpiredHolders(now)) {
    const bool already_proposed = std::any_of(
        proposed_expiries_.begin(), proposed_expiries_.end(),
        [&](const auto& report) { return report.second == holder; });
    if (already_proposed) {
      continue;
    }
    wire::Command command;
    command.mutable_holder_gone()->set_holder(holder);
    if (const Result<uint64_t> index =
            replica_.Propose(command.SerializeAsString())) {
      proposed_expiries_[index.value()] = holder;
      Log(LogLevel::kInfo, "instance_expired", {{"holder", holder}});
    }
  }
}

void ControlService::SendReply(const std::string& to,
                               const wire::ControlReply& reply) {
  Endpoint endpoint;
  if (!ParseEndpoint(to, &endpoint)) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_reply() = reply;
  messenger_.Send(endpoint, envelope.SerializeAsString());
}

}  // namespace limpethatch
