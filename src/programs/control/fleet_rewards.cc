// The leader's calls that score samples, and the targets that it knows for
// them.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "limpethatch/connection/request_content.h"
#include "limpethatch/process/log.h"
#include "platform/reward_codec.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

// The oldest format in which a command that submits or ends a batch job keeps
// all its fields.
LogFormat NeededLogFormat(const wire::Command& command) {
  const wire::JobSubmit& submit = command.job_submit();
  if (!submit.organisation().empty() ||
      !command.job_end().organisation().empty()) {
    return LogFormat::kOrganisations;
  }
  const bool is_scored = std::any_of(
      submit.samples().begin(), submit.samples().end(),
      [](const wire::JobSample& sample) { return sample.has_reward_call(); });
  return is_scored ? LogFormat::kScoredSamples : LogFormat::kBase;
}

}  // namespace

void FleetService::UpdateRewardTargets() {
  const wire::FleetConfiguration& configuration = ledger().configuration();
  if (!reward_routes_ || reward_routes_->version() != configuration.version()) {
    wire::FleetConfiguration without_document = configuration;
    without_document.clear_document();
    without_document.clear_organisations();  // Reward calls carry no key.
    reward_routes_.emplace(std::move(without_document));
    reward_targets_outdated_ = true;
  }
  if (reward_targets_revision_ != targets_.revision()) {
    reward_targets_revision_ = targets_.revision();
    reward_targets_outdated_ = true;
  }
  if (!std::exchange(reward_targets_outdated_, false)) {
    return;
  }
  std::vector<Target> targets;
  for (const auto& [id, entry] : targets_.entries()) {
    const wire::TargetRecord& record = entry.record;
    const wire::ServiceDeclaration* service =
        reward_routes_->Service(record.service());
    const bool is_engine = !service || service->cache_tokens() > 0;
    Target target;
    if (is_engine || record.gone() ||
        !ParseEndpoint(record.address(), &target.address)) {
      continue;
    }
    target.id = id;
    target.service = record.service();
    target.zone = record.zone();
    target.slots = std::max<uint32_t>(record.slots(), 1);
    target.incarnation = record.born_ms();
    target.software_version = record.software_version();
    target.leaving = record.draining();
    if (const auto load = reward_target_loads_.find(id);
        load != reward_target_loads_.end()) {
      target.load = load->second;
    }
    targets.push_back(std::move(target));
  }
  reward_targets_ = TargetTable(std::move(targets), &reward_targets_);
}

void FleetService::OnTargetLoad(const std::string& target,
                                uint32_t running,
                                uint32_t waiting) {
  reward_target_loads_[target] = {running, waiting, Clock::now()};
  reward_targets_outdated_ = true;
}

void FleetService::ScheduleRewardTasks() {
  if (std::exchange(reward_tasks_scheduled_, true)) {
    return;
  }
  boost::asio::post(io_, [this] {
    reward_tasks_scheduled_ = false;
    RunRewardTasks(Clock::now());
  });
}

void FleetService::RunRewardTasks(TimePoint now) {
  if (!IsActiveLeader(now)) {
    return;
  }
  if (ledger().jobs().unscored().empty() && reward_scheduler_.running() == 0) {
    return;
  }
  UpdateRewardTargets();
  RewardPlan plan = reward_scheduler_.Plan(
      {.jobs = ledger().jobs(),
       .routes = *reward_routes_,
       .targets = reward_targets_,
       .rate_limits = scheduler_.rate_limits(),
       .may_run =
           [this](const wire::RewardCall& call) {
             return ledger().crashes().empty() ||
                    !ledger().crashes().IsRefused(
                        ContentDigestOf(platform::EncodeRewardCall(call)));
           },
       .random = [this] { return random_(); }},
      now);
  for (const SampleKey& key : plan.stops) {
    reward_runner_.Stop(key);
  }
  for (RewardStart& start : plan.starts) {
    reward_runner_.Start(std::move(start));
  }
}

bool FleetService::RefuseUnsupportedJob(const wire::ControlRequest& request) {
  const wire::Command& command = request.command();
  const bool is_leader =
      replica_.consensus() && replica_.consensus()->leading();
  if (!is_leader || ledger().log_format() >= NeededLogFormat(command)) {
    return false;
  }
  if (!IsActiveLeader(Clock::now())) {
    // The format may have been raised by an entry that is not applied yet. The
    // sender repeats its request.
    return true;
  }
  Log(LogLevel::kWarning, "job_refused",
      {{"job", command.has_job_end() ? command.job_end().job()
                                     : command.job_submit().job()},
       {"reason", "a member of the group runs an earlier release"},
       {"log_format", static_cast<uint32_t>(ledger().log_format())}});
  wire::ControlReply reply;
  reply.set_outcome(wire::ControlReply::UNAVAILABLE);
  SendReply(request, std::move(reply));
  return true;
}

}  // namespace limpethatch
