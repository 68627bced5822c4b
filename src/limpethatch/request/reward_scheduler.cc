#include "limpethatch/request/reward_scheduler.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace limpethatch {

RewardScheduler::RewardScheduler(std::string zone,
                                 RewardSchedulerOptions options)
    : options_(options), router_(RouterOptions{.zone = std::move(zone)}) {}

RewardPlan RewardScheduler::Plan(const RewardContext& context, TimePoint now) {
  RewardPlan plan;
  PlanStops(context.jobs, &plan);
  for (const Candidate& candidate : Waiting(context.jobs, now)) {
    StartCall(context, candidate, now, &plan);
  }
  return plan;
}

void RewardScheduler::PlanStops(const JobLedger& jobs, RewardPlan* plan) {
  for (auto& [key, call] : calls_) {
    if (call.running && !jobs.unscored().contains(key) &&
        !std::exchange(call.stopping, true)) {
      plan->stops.push_back(key);
    }
  }
  std::erase_if(calls_, [&](const auto& entry) {
    return !entry.second.running && !jobs.unscored().contains(entry.first);
  });
}

std::vector<RewardScheduler::Candidate> RewardScheduler::Waiting(
    const JobLedger& jobs,
    TimePoint now) {
  std::vector<Candidate> waiting;
  for (const SampleKey& key : jobs.unscored()) {
    const auto [entry, added] = calls_.try_emplace(key);
    Call& call = entry->second;
    if (added) {
      call.failures = jobs.Find(key.job)->samples[key.index].score_failures;
    }
    if (!call.running && !call.ended && now >= call.retry_at) {
      waiting.push_back({.key = key});
    }
  }
  if (waiting.size() <= 1) {
    return waiting;
  }
  std::map<std::string_view, std::vector<Candidate*>> by_job;
  for (Candidate& candidate : waiting) {
    by_job[candidate.key.job].push_back(&candidate);
  }
  size_t job_order = 0;
  for (const std::string& id : jobs.order()) {
    if (const auto found = by_job.find(id); found != by_job.end()) {
      RankGroups(*jobs.Find(id), job_order, std::move(found->second));
    }
    ++job_order;
  }
  const auto rank = [](const Candidate& candidate) {
    return std::tuple(candidate.spare, candidate.lacks_text,
                      candidate.job_order, candidate.unscored);
  };
  std::stable_sort(waiting.begin(), waiting.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return rank(a) < rank(b);
                   });
  return waiting;
}

void RewardScheduler::RankGroups(const Job& job,
                                 size_t job_order,
                                 std::vector<Candidate*> candidates) {
  struct Group {
    uint32_t without_text = 0;
    uint32_t unscored = 0;
  };
  std::map<std::string_view, Group> groups;
  for (uint32_t index = 0; index < job.samples.size(); ++index) {
    const JobSampleRecord& record = job.samples[index];
    Group& group = groups[job.submit.samples(static_cast<int>(index)).group()];
    group.unscored += record.AwaitsScore() ? 1 : 0;
    group.without_text +=
        record.state == wire::SAMPLE_OPEN && !record.output.whole ? 1 : 0;
  }
  const auto complete =
      std::count_if(groups.begin(), groups.end(), [](const auto& entry) {
        return entry.second.without_text + entry.second.unscored == 0;
      });
  const bool spare = job.submit.group_count() > 0 &&
                     complete >= int64_t{job.submit.group_count()};
  for (Candidate* candidate : candidates) {
    const int index = static_cast<int>(candidate->key.index);
    const Group& group = groups[job.submit.samples(index).group()];
    candidate->spare = spare;
    candidate->lacks_text = group.without_text > 0;
    candidate->job_order = job_order;
    candidate->unscored = group.unscored;
  }
}

void RewardScheduler::StartCall(const RewardContext& context,
                                const Candidate& candidate,
                                TimePoint now,
                                RewardPlan* plan) {
  const wire::JobSubmit& submit = context.jobs.Find(candidate.key.job)->submit;
  const wire::JobSample& sample =
      submit.samples(static_cast<int>(candidate.key.index));
  const wire::RewardCall& reward_call = sample.reward_call();
  const wire::Route* route =
      context.routes.Match(reward_call.host(), reward_call.path());
  if (!route || route->services().empty() || !context.may_run(reward_call)) {
    return;
  }
  Call& call = calls_[candidate.key];
  RoutedTargetPtr target = ChooseTarget(
      context, RouteTable::ServiceFor(*route, context.random()), call, now);
  if (!target) {
    return;
  }
  context.rate_limits.Acquire(target->target.id, {}, now);
  call.running = true;
  call.target = target->target.id;
  call.max_failures = std::max<uint32_t>(
      {submit.max_attempts(), route->max_attempts(), uint32_t{1}});
  CallTicket ticket(*target, RequestClass::kRollout, now);
  plan->starts.push_back({candidate.key, sample.id(), reward_call,
                          std::move(target), std::move(ticket),
                          call.max_failures, submit.organisation()});
}

RoutedTargetPtr RewardScheduler::ChooseTarget(const RewardContext& context,
                                              const std::string& service,
                                              const Call& call,
                                              TimePoint now) const {
  std::vector<std::string> excluded;
  if (now < call.excluded_until) {
    excluded.push_back(call.excluded_target);
  }
  const ServiceTargets* targets = context.targets.Find(service);
  if (!targets) {
    return nullptr;
  }
  uint32_t slots = 0;
  for (const RoutedTargetPtr& routed : targets->all) {
    slots = std::max(slots, routed->target.slots);
    if (context.rate_limits.TimeToSend(routed->target.id, now) >
        Duration::zero()) {
      excluded.push_back(routed->target.id);
    }
  }
  RouteRequest request;
  request.service = service;
  request.request_class = RequestClass::kRollout;
  request.excluded = excluded;
  request.rollout_share = RolloutShare{
      .spare_slots =
          slots < 2 ? 0 : std::max(slots / options_.slots_per_live_slot, 1U),
      .prefer_own_zone = true};
  request.random = context.random();
  request.now = now;
  return router_.Choose(context.targets, request);
}

void RewardScheduler::EndCall(const SampleKey& key,
                              RewardOutcome outcome,
                              TimePoint now) {
  const auto found = calls_.find(key);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.running = false;
  call.stopping = false;
  switch (outcome) {
    case RewardOutcome::kScored:
      call.ended = true;
      return;
    case RewardOutcome::kFailed:
      ++call.failures;
      call.ended = call.failures >= call.max_failures;
      break;
    case RewardOutcome::kNotRun:
      call.retry_at = now + options_.refusal_backoff;
      break;
    case RewardOutcome::kBroken:
      call.backoff = std::clamp(call.backoff * 2, options_.initial_backoff,
                                options_.max_backoff);
      call.retry_at = now + call.backoff;
      break;
  }
  call.excluded_target = call.target;
  call.excluded_until = now + options_.exclusion_period;
}

uint32_t RewardScheduler::failures(const SampleKey& key) const {
  const auto found = calls_.find(key);
  return found == calls_.end() ? 0 : found->second.failures;
}

size_t RewardScheduler::running() const {
  return static_cast<size_t>(
      std::count_if(calls_.begin(), calls_.end(),
                    [](const auto& entry) { return entry.second.running; }));
}

}  // namespace limpethatch
