// Tasks of the leader: samples, weights, expiry of jobs.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// A previous leader that missed two digests is down or partitioned, so that
// the new leader need not wait for it.
constexpr Duration kPreviousLeaderTimeout = milliseconds(600);
// Samples are started in slices of this number, and at this period.
constexpr size_t kStartsPerSlice = 16;
constexpr Duration kStartSlicePeriod = milliseconds(5);
// Results have to stay readable for two minutes after a job's submission.
constexpr Duration kJobRetention = std::chrono::seconds(125);

}  // namespace

void FleetService::OnLeadershipChange(bool leading) {
  engine_table_initialised_ = false;
  planned_starts_.clear();
  sample_runner_.Reset();
  scheduler_.Reset();
  rollout_.Reset();
  weight_order_client_.Reset();
  reward_runner_.Reset();
  reward_scheduler_.Reset();
  log_format_proposed_ = false;
  if (usage_reporter_) {
    usage_reporter_->OnLeadershipChange();
  }
  hedge_budget_ = {};
  if (leading) {
    previous_leader_ = last_leader_;
    leading_since_ = Clock::now();
    ScheduleLeaderTasks();
  }
}

void FleetService::PrepareStop() {
  sample_runner_.Flush();
  api_.Drain();
}

uint64_t FleetService::OrderTerm() const {
  const TimePoint now = Clock::now();
  // A previous leader that is still alive may have issued an order just before
  // it lost leadership.
  const auto previous = peers_.find(previous_leader_);
  const bool must_wait =
      previous != peers_.end() &&
      now - previous->second.last_contact_at < kPreviousLeaderTimeout &&
      now - leading_since_ < settings_.order_lease;
  return IsActiveLeader(now) && !must_wait ? replica_.consensus()->term() : 0;
}

bool FleetService::RecordAdvances(const wire::SamplesAdvance& advances) {
  wire::Command command;
  *command.mutable_samples_advance() = advances;
  return static_cast<bool>(replica_.Propose(command.SerializeAsString()));
}

void FleetService::ScheduleLeaderTasks() {
  if (std::exchange(leader_tasks_scheduled_, true)) {
    return;
  }
  const auto run = [this] {
    leader_tasks_scheduled_ = false;
    const TimePoint start = Clock::now();
    RunLeaderTasks(start);
    leader_tasks_pacer_.OnRun(start, Clock::now());
  };
  const Duration delay = leader_tasks_pacer_.next_run() - Clock::now();
  if (delay > Duration::zero()) {
    timers_.After(delay, [run](TimePoint) { run(); });
  } else {
    boost::asio::post(io_, run);
  }
}

void FleetService::InitialiseEngineTable() {
  engine_table_initialised_ = true;
  for (const auto& [id, entry] : targets_.entries()) {
    scheduler_.engine_table().Announce(entry.record);
  }
}

void FleetService::RunLeaderTasks(TimePoint now) {
  const Consensus* consensus = replica_.consensus();
  if (consensus && !consensus->leading() && !consensus->leader().empty()) {
    last_leader_ = consensus->leader();
  }
  if (!IsActiveLeader(now)) {
    return;
  }
  scheduler_.engine_table().SetNewestVersions(ledger().weights());
  if (!engine_table_initialised_) {
    InitialiseEngineTable();
  }
  const wire::FleetConfiguration& configuration = ledger().configuration();
  if (configuration.version() != scheduler_configuration_version_) {
    scheduler_configuration_version_ = configuration.version();
    for (const wire::ServiceDeclaration& service : configuration.services()) {
      scheduler_.SetTokensPerEvent(service.name(), service.tokens_per_event());
      scheduler_.engine_table().SetCacheTokens(service.name(),
                                               service.cache_tokens());
    }
  }
  if (OrderTerm() != 0) {
    for (const WeightLoad& load :
         rollout_.Plan(ledger().weights(), scheduler_.engine_table(), now)) {
      weight_order_client_.OrderLoad(load, false);
    }
  }
  const SamplePlan plan =
      scheduler_.Plan(ledger().jobs(), now, ledger().crashes());
  for (const SampleStop& stop : plan.stops) {
    StopSample(stop, now);
  }
  planned_starts_.insert(planned_starts_.end(), plan.starts.begin(),
                         plan.starts.end());
  StartSamples(now);
  RunRewardTasks(now);
  if (usage_reporter_) {
    usage_reporter_->Run(now);
  }
  AnswerPendingJobQueries(now);
}

void FleetService::StartSamples(TimePoint now) {
  if (starts_scheduled_) {
    return;
  }
  for (size_t started = 0;
       started < kStartsPerSlice && !planned_starts_.empty(); ++started) {
    const SampleStart start = std::move(planned_starts_.front());
    planned_starts_.pop_front();
    const Job* job = ledger().jobs().Find(start.key.job);
    if (job && !job->ended) {
      sample_runner_.Start(start, *job,
                           ledger().configuration().keys_required());
    } else {
      scheduler_.EndRun(start.key, RunOutcome::kStopped, now);
    }
  }
  if (!planned_starts_.empty()) {
    starts_scheduled_ = true;
    timers_.After(kStartSlicePeriod, [this](TimePoint later) {
      starts_scheduled_ = false;
      StartSamples(later);
    });
  }
}

void FleetService::StopSample(const SampleStop& stop, TimePoint now) {
  const auto planned = std::find_if(
      planned_starts_.begin(), planned_starts_.end(),
      [&](const SampleStart& start) { return start.key == stop.key; });
  if (planned == planned_starts_.end()) {
    sample_runner_.Stop(stop);
    return;
  }
  planned_starts_.erase(planned);
  scheduler_.EndRun(stop.key, RunOutcome::kStopped, now);
}

void FleetService::ExpireJobs(TimePoint now) {
  const JobLedger& jobs = ledger().jobs();
  for (const std::string& id : jobs.order()) {
    job_first_seen_at_.try_emplace(id, now);
  }
  std::erase_if(job_first_seen_at_,
                [&](const auto& entry) { return !jobs.Find(entry.first); });
  if (!IsActiveLeader(now)) {
    return;
  }
  wire::SamplesAdvance timed_out;
  for (const auto& [id, first_seen_at] : job_first_seen_at_) {
    const Job& job = *jobs.Find(id);
    const Duration age = now - first_seen_at;
    if (job.ended && age > kJobRetention) {
      wire::Command command;
      command.mutable_job_forget()->set_job(id);
      if (!replica_.Propose(command.SerializeAsString())) {
        return;  // Retried at the next check.
      }
      continue;
    }
    const bool overdue =
        job.submit.max_queue_ms() > 0 &&
        age > BoundedTime<milliseconds>(job.submit.max_queue_ms());
    for (uint32_t index = 0;
         overdue && !job.ended && index < job.samples.size(); ++index) {
      if (job.samples[index].state == wire::SAMPLE_OPEN) {
        wire::SampleAdvance& advance = *timed_out.add_advances();
        advance.set_job(id);
        advance.set_sample(index);
        advance.set_state(wire::SAMPLE_DEAD);
      }
    }
  }
  if (timed_out.advances_size() > 0) {
    Log(LogLevel::kWarning, "samples_given_up",
        {{"reason", "max_queue"}, {"samples", timed_out.advances_size()}});
    RecordAdvances(timed_out);
  }
}

}  // namespace limpethatch
