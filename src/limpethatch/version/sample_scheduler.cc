#include "limpethatch/version/sample_scheduler.h"

#include <algorithm>
#include <limits>
#include <set>

#include "limpethatch/process/bounded_number.h"

namespace limpethatch {
namespace {

// Assumed number of events of a sample without an expected length.
constexpr uint32_t kDefaultEvents = 20;
// The remaining events of a sample are never estimated at less than its events
// so far divided by this, since it may exceed its expected length.
constexpr uint32_t kOverrunDivisor = 3;
// Broken runs without an event from which on a sample is suspected to crash
// engines.
constexpr uint32_t kSuspectBreaks = 2;

bool NeedsText(const JobSampleRecord& record) {
  return record.state == wire::SAMPLE_OPEN && !record.output.whole;
}

// Of the prompt and the output. Jobs on record may state any number.
uint64_t ExpectedTokens(const wire::JobSample& sample) {
  return BoundedSize(sample.prompt_tokens()) +
         BoundedSize(sample.expected_tokens());
}

uint32_t RemainingEvents(uint32_t expected, uint32_t received) {
  const uint32_t remaining = expected > received ? expected - received : 0;
  return std::max(remaining, received / kOverrunDivisor + 1);
}

}  // namespace

uint32_t SampleScheduler::ExpectedEvents(const wire::JobSubmit& submit,
                                         const wire::JobSample& sample) const {
  const auto found = tokens_per_event_.find(submit.service());
  if (sample.expected_tokens() == 0 || found == tokens_per_event_.end() ||
      found->second == 0) {
    return kDefaultEvents;
  }
  return BoundedCast<uint32_t>(
      BoundedSize(sample.expected_tokens()) / found->second + 1);
}

SamplePlan SampleScheduler::Plan(const JobLedger& jobs,
                                 TimePoint now,
                                 const CrashLedger& crashes) {
  SamplePlan plan;
  median_gaps_.clear();
  fast_gaps_.clear();
  std::erase_if(done_unlisted_, [&](const SampleKey& key) {
    const Job* job = jobs.Find(key.job);
    return !job || job->ended || !NeedsText(job->samples[key.index]);
  });
  const auto is_of_ended_job = [&](const auto& entry) {
    const Job* job = jobs.Find(entry.first.job);
    return !job || job->ended;
  };
  std::erase_if(resume_waits_, is_of_ended_job);
  std::erase_if(isolation_waits_, is_of_ended_job);
  PlanStops(jobs, now, &plan);
  const std::vector<Candidate> waiting = Waiting(jobs, now, crashes);
  PlanQuarantines(waiting, now);
  FindOpenEngines(now);
  for (const Candidate& candidate : waiting) {
    if (EngineState* engine = ChooseEngine(candidate, now)) {
      Start(candidate, *engine, now, &plan);
    }
  }
  open_engines_.clear();
  return plan;
}

Duration SampleScheduler::MedianEventGap(const std::string& service) const {
  const auto [entry, added] = median_gaps_.try_emplace(service);
  if (added) {
    entry->second = engine_table_.MedianEventGap(service);
  }
  return entry->second;
}

double SampleScheduler::UsualSlowness(const EngineState& engine) const {
  const auto [entry, added] = fast_gaps_.try_emplace(engine.service);
  if (added) {
    entry->second = engine_table_.FastEventGap(engine.service);
  }
  return EngineTable::Slowness(engine, entry->second);
}

void SampleScheduler::FindOpenEngines(TimePoint now) {
  for (auto& [id, engine] : engine_table_.engines()) {
    if (engine.running < engine.slots && engine.Usable(now)) {
      open_engines_[engine.service].push_back(&engine);
    }
  }
}

void SampleScheduler::PlanStops(const JobLedger& jobs,
                                TimePoint now,
                                SamplePlan* plan) {
  for (auto& [key, run] : runs_) {
    if (run.stopping) {
      continue;
    }
    const Job* job = jobs.Find(key.job);
    const EngineState* engine = engine_table_.Find(run.engine);
    StopReason reason;
    if (!job || job->ended || !NeedsText(job->samples[key.index])) {
      reason = StopReason::kJobOver;
    } else if (now - run.last_progress > options_.silence_timeout) {
      reason = StopReason::kSilent;
      engine_table_.RecordFailure(run.engine, now);
    } else if (engine && ShouldMove(key, run, now)) {
      reason = StopReason::kSlow;
    } else {
      continue;
    }
    if (reason != StopReason::kJobOver) {
      RetryState& retry = retry_states_[key];
      retry.excluded_engine = run.engine;
      retry.excluded_until = now + options_.exclusion_period;
    }
    run.stopping = true;
    plan->stops.push_back({key, reason});
  }
}

bool SampleScheduler::ShouldMove(const SampleKey& key,
                                 const Run& run,
                                 TimePoint now) const {
  if (const auto retry = retry_states_.find(key);
      retry != retry_states_.end() && now < retry->second.excluded_until) {
    return false;
  }
  const auto found = engine_table_.engines().find(run.engine);
  const EngineState& engine = found->second;
  const Duration median_gap = MedianEventGap(engine.service);
  if (!run.has_event || median_gap == Duration::zero() ||
      engine.event_gap < median_gap * options_.slow_factor) {
    return false;
  }
  const uint32_t remaining = RemainingEvents(run.expected_events, run.events);
  if (remaining * (engine.event_gap - median_gap) < options_.min_saving) {
    return false;
  }
  // Requires another engine of normal pace that has at least two free slots, so
  // that the sample need not wait there.
  return std::any_of(
      engine_table_.engines().begin(), engine_table_.engines().end(),
      [&](const auto& entry) {
        const EngineState& other = entry.second;
        return other.service == engine.service && other.Usable(now) &&
               other.software_version == engine.software_version &&
               other.running + 1 < other.slots &&
               other.event_gap < median_gap * options_.slow_factor &&
               other.ServableVersion(run.model, now) != 0 &&
               (run.single_version
                    ? other.ServableVersion(run.model, now) ==
                          engine.ServableVersion(run.model, now)
                    : other.ServableVersion(run.model, now) >=
                          engine.ServableVersion(run.model, now));
      });
}

std::vector<SampleScheduler::Candidate> SampleScheduler::Waiting(
    const JobLedger& jobs,
    TimePoint now,
    const CrashLedger& crashes) const {
  std::vector<Candidate> needed;
  std::vector<Candidate> spare;
  for (const std::string& id : jobs.order()) {
    const Job& job = *jobs.Find(id);
    if (!job.ended && !job.AllListed()) {
      AddWaiting(id, job, now, crashes, &needed, &spare);
    }
  }
  needed.insert(needed.end(), spare.begin(), spare.end());
  return needed;
}

void SampleScheduler::AddWaiting(const std::string& id,
                                 const Job& job,
                                 TimePoint now,
                                 const CrashLedger& crashes,
                                 std::vector<Candidate>* needed,
                                 std::vector<Candidate>* spare) const {
  struct Group {
    std::vector<Candidate> waiting;
    uint32_t longest = 0;  // Remaining events of its longest sample.
    bool carried = false;
    bool complete = true;
  };
  std::map<std::string, Group, std::less<>> groups;
  for (uint32_t index = 0; index < job.samples.size(); ++index) {
    const auto& sample = job.submit.samples(static_cast<int>(index));
    const JobSampleRecord& record = job.samples[index];
    Group& group = groups[sample.group()];
    group.carried = group.carried || record.carried;
    if (record.state != wire::SAMPLE_OPEN) {
      continue;
    }
    group.complete = false;
    if (!NeedsText(record)) {
      continue;
    }
    const SampleKey key{id, index};
    uint32_t received = record.output.events;
    const auto run = runs_.find(key);
    if (run != runs_.end()) {
      received = std::max(received, run->second.events);
    }
    const uint32_t remaining =
        RemainingEvents(ExpectedEvents(job.submit, sample), received);
    group.longest = std::max(group.longest, remaining);
    const auto retry = retry_states_.find(key);
    const bool paused =
        retry != retry_states_.end() && now < retry->second.retry_at;
    const std::string name =
        crashes.empty() ? "" : CrashLedger::NameOfSample(sample.id());
    if (run == runs_.end() && !paused && !done_unlisted_.contains(key)) {
      Candidate candidate{key, &job, remaining, crashes.CrashCount(name),
                          crashes.CrashedAlone(name)};
      candidate.isolated = candidate.suspect() && !IsIsolationOverdue(key, now);
      group.waiting.push_back(std::move(candidate));
    }
  }
  uint32_t groups_needed = job.submit.group_count() != 0
                               ? job.submit.group_count()
                               : static_cast<uint32_t>(groups.size());
  std::vector<Group*> incomplete;
  for (auto& [name, group] : groups) {
    if (group.complete) {
      groups_needed -= groups_needed > 0 ? 1 : 0;
    } else {
      incomplete.push_back(&group);
    }
  }
  std::stable_sort(incomplete.begin(), incomplete.end(),
                   [](Group* a, Group* b) {
                     return std::pair(!a->carried, a->longest) <
                            std::pair(!b->carried, b->longest);
                   });
  const size_t needed_before = needed->size();
  for (Group* group : incomplete) {
    std::vector<Candidate>* list = groups_needed > 0 ? needed : spare;
    groups_needed -= groups_needed > 0 ? 1 : 0;
    list->insert(list->end(), group->waiting.begin(), group->waiting.end());
  }
  std::stable_sort(needed->begin() + static_cast<std::ptrdiff_t>(needed_before),
                   needed->end(), [](const Candidate& a, const Candidate& b) {
                     return a.remaining > b.remaining;
                   });
}

bool SampleScheduler::IsIsolationOverdue(const SampleKey& key,
                                         TimePoint now) const {
  const auto wait = isolation_waits_.find(key);
  return wait != isolation_waits_.end() &&
         now - wait->second >= options_.max_isolation_wait;
}

void SampleScheduler::PlanQuarantines(const std::vector<Candidate>& waiting,
                                      TimePoint now) {
  Quarantines next;
  for (const auto& [key, run] : runs_) {
    if (const EngineState* engine = engine_table_.Find(run.engine);
        engine && run.quarantined) {
      next[engine->service] = engine->id;
    }
  }
  for (const Candidate& candidate : waiting) {
    const std::string& service = candidate.job->submit.service();
    if (!candidate.isolated || next.contains(service)) {
      continue;
    }
    if (const auto present = quarantines_.find(service);
        present != quarantines_.end()) {
      const EngineState* engine = engine_table_.Find(present->second);
      if (engine && Fits(candidate, *engine, now)) {
        next[service] = engine->id;
        continue;
      }
    }
    const EngineState* emptiest = nullptr;
    for (const auto& [id, engine] : engine_table_.engines()) {
      if (Fits(candidate, engine, now) &&
          (!emptiest || engine.running < emptiest->running)) {
        emptiest = &engine;
      }
    }
    if (emptiest) {
      next[service] = emptiest->id;
    }
  }
  quarantines_ = std::move(next);
}

EngineState* SampleScheduler::ChooseEngine(const Candidate& candidate,
                                           TimePoint now) {
  if (candidate.isolated) {
    isolation_waits_.try_emplace(candidate.key, now);
    const auto quarantine = quarantines_.find(candidate.job->submit.service());
    EngineState* engine = quarantine == quarantines_.end()
                              ? nullptr
                              : engine_table_.Find(quarantine->second);
    const bool is_free =
        engine && engine->running == 0 && Fits(candidate, *engine, now) &&
        rate_limits_.TimeToSend(engine->id, now) <= Duration::zero();
    return is_free ? engine : nullptr;
  }
  const SampleText& output = candidate.job->samples[candidate.key.index].output;
  if (output.events == 0) {
    return BestEngine(candidate, StartFrom::kFirstEvent, now);
  }
  if (EngineState* engine =
          BestEngine(candidate, StartFrom::kRecordedText, now)) {
    return engine;
  }
  const std::string& service = candidate.job->submit.service();
  const bool may_resume = std::any_of(
      engine_table_.engines().begin(), engine_table_.engines().end(),
      [&](const auto& entry) {
        const EngineState& engine = entry.second;
        return engine.service == service && !engine.IsFailing(now) &&
               !IsExcluded(candidate.key, engine, now) &&
               CanResume(candidate, engine);
      });
  if (may_resume) {
    const auto wait = resume_waits_.try_emplace(candidate.key, now).first;
    if (now - wait->second < options_.max_resume_wait) {
      return nullptr;
    }
  }
  return BestEngine(candidate, StartFrom::kFirstEvent, now);
}

bool SampleScheduler::CanResume(const Candidate& candidate,
                                const EngineState& engine) {
  const wire::JobSubmit& submit = candidate.job->submit;
  const SampleText& output = candidate.job->samples[candidate.key.index].output;
  if (engine.software_version != output.software_version) {
    return false;
  }
  if (!submit.single_version() || output.versions.empty()) {
    return true;
  }
  const auto model = engine.models.find(submit.model());
  return model != engine.models.end() &&
         std::max(model->second.version, model->second.loading_version) ==
             output.versions.front();
}

bool SampleScheduler::Fits(const Candidate& candidate,
                           const EngineState& engine,
                           TimePoint now) const {
  const wire::JobSubmit& submit = candidate.job->submit;
  const uint64_t version = engine.ServableVersion(submit.model(), now);
  const bool fits_version = version != 0 && version >= submit.min_version();
  return engine.service == submit.service() && engine.Usable(now) &&
         fits_version && !IsExcluded(candidate.key, engine, now);
}

bool SampleScheduler::IsExcluded(const SampleKey& key,
                                 const EngineState& engine,
                                 TimePoint now) const {
  const auto retry = retry_states_.find(key);
  return retry != retry_states_.end() &&
         retry->second.excluded_engine == engine.id &&
         now < retry->second.excluded_until;
}

void SampleScheduler::ExcludeEngine(const SampleKey& key,
                                    const Run& run,
                                    TimePoint now) {
  const EngineState* engine = engine_table_.Find(run.engine);
  const bool has_alternative =
      engine &&
      std::any_of(engine_table_.engines().begin(),
                  engine_table_.engines().end(), [&](const auto& entry) {
                    const EngineState& other = entry.second;
                    return other.id != engine->id &&
                           other.service == engine->service;
                  });
  if (has_alternative) {
    RetryState& retry = retry_states_[key];
    retry.excluded_engine = run.engine;
    retry.excluded_until = now + options_.exclusion_period;
  }
}

EngineState* SampleScheduler::BestEngine(const Candidate& candidate,
                                         StartFrom start_from,
                                         TimePoint now) {
  const wire::JobSubmit& submit = candidate.job->submit;
  const auto open = open_engines_.find(submit.service());
  if (open == open_engines_.end()) {
    return nullptr;
  }
  std::erase_if(open->second, [](const EngineState* engine) {
    return engine->running >= engine->slots;
  });
  if (open->second.empty()) {
    return nullptr;
  }
  const auto& sample = submit.samples(static_cast<int>(candidate.key.index));
  const uint64_t tokens = ExpectedTokens(sample);
  const Duration median_gap = MedianEventGap(submit.service());
  const auto quarantine = quarantines_.find(submit.service());
  EngineState* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (EngineState* open_engine : open->second) {
    EngineState& engine = *open_engine;
    const std::string& id = engine.id;
    if (start_from == StartFrom::kRecordedText &&
        !CanResume(candidate, engine)) {
      continue;
    }
    const bool fits_memory =
        engine.cache_tokens == 0 || engine.running == 0 ||
        static_cast<double>(engine.reserved_tokens + tokens) <=
            options_.memory_share * static_cast<double>(engine.cache_tokens);
    const bool quarantined =
        quarantine != quarantines_.end() && quarantine->second == id;
    // After a failure, a single sample probes whether the engine works again.
    const bool awaits_probe =
        engine.backoff > Duration::zero() && engine.running > 0;
    if (quarantined || awaits_probe || engine.running >= engine.slots ||
        rate_limits_.TimeToSend(id, now) > Duration::zero() || !fits_memory ||
        !Fits(candidate, engine, now)) {
      continue;
    }
    double relative_gap = 1.0;
    if (median_gap > Duration::zero() && engine.event_gap > Duration::zero()) {
      relative_gap =
          std::max(1.0, std::chrono::duration<double>(engine.event_gap) /
                            std::chrono::duration<double>(median_gap));
    }
    // A further sample slows an engine by a few per cent only, so the slots of
    // fast engines are worth filling before those of slow ones.
    double cost = relative_gap * (engine.running + 1) +
                  (UsualSlowness(engine) - 1.0) * engine.slots;
    const bool slow = relative_gap >= options_.slow_factor;
    if (!slow && engine.groups.contains(sample.group())) {
      cost -= options_.affinity_margin;
    }
    if (cost < best_cost) {
      best = &engine;
      best_cost = cost;
    }
  }
  return best;
}

void SampleScheduler::Start(const Candidate& candidate,
                            EngineState& engine,
                            TimePoint now,
                            SamplePlan* plan) {
  const wire::JobSubmit& submit = candidate.job->submit;
  const auto& sample = submit.samples(static_cast<int>(candidate.key.index));
  Run& run = runs_[candidate.key];
  run.engine = engine.id;
  run.model = submit.model();
  run.group = sample.group();
  run.tokens = ExpectedTokens(sample);
  const SampleText& output = candidate.job->samples[candidate.key.index].output;
  run.events = CanResume(candidate, engine) ? output.events : 0;
  run.expected_events = ExpectedEvents(submit, sample);
  run.suspect = candidate.suspect();
  run.quarantined = candidate.isolated;
  run.single_version = submit.single_version();
  run.last_progress = now;
  rate_limits_.Acquire(engine.id, {}, now);
  ++engine.running;
  engine.reserved_tokens += run.tokens;
  ++engine.running_by_model[run.model];
  ++engine.groups[run.group];
  resume_waits_.erase(candidate.key);
  isolation_waits_.erase(candidate.key);
  plan->starts.push_back({candidate.key, engine.id,
                          engine.ServableVersion(submit.model(), now),
                          engine.software_version, candidate.crash_count,
                          candidate.crashed_alone});
}

void SampleScheduler::RecordEvents(const SampleKey& key,
                                   uint32_t events,
                                   TimePoint now) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  if (run.has_event && events > run.events) {
    engine_table_.ObserveEventGap(
        run.engine, (now - run.last_progress) / (events - run.events));
  }
  engine_table_.RecordSuccess(run.engine);
  run.has_event = true;
  run.events = events;
  run.last_progress = now;
  if (const auto retry = retry_states_.find(key);
      retry != retry_states_.end() && now >= retry->second.excluded_until) {
    retry_states_.erase(retry);
  }
}

void SampleScheduler::ReleaseCapacity(const Run& run) {
  EngineState* engine = engine_table_.Find(run.engine);
  if (!engine) {
    return;
  }
  engine->running -= std::min<uint32_t>(engine->running, 1);
  engine->reserved_tokens -= std::min(engine->reserved_tokens, run.tokens);
  if (auto& count = engine->running_by_model[run.model]; count > 0) {
    --count;
  }
  const auto group = engine->groups.find(run.group);
  if (group != engine->groups.end() && --group->second == 0) {
    engine->groups.erase(group);
  }
}

void SampleScheduler::EndRun(const SampleKey& key,
                             RunOutcome outcome,
                             TimePoint now) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    return;
  }
  const Run& run = found->second;
  ReleaseCapacity(run);
  if (outcome == RunOutcome::kBroken || outcome == RunOutcome::kUnreachable) {
    engine_table_.RecordFailure(run.engine, now);
    if (!run.has_event) {
      ExcludeEngine(key, run, now);
    }
  }
  // A sample that the engine did not get can't have crashed it.
  if (outcome == RunOutcome::kBroken && (run.suspect || !run.has_event)) {
    RetryState& retry = retry_states_[key];
    retry.breaks_without_event += run.has_event ? 0 : 1;
    if (run.suspect || retry.breaks_without_event >= kSuspectBreaks) {
      retry.retry_at = now + options_.suspect_retry_delay;
    }
  }
  if (outcome == RunOutcome::kDone) {
    done_unlisted_.insert(key);
  }
  runs_.erase(found);
}

void SampleScheduler::Reset() {
  for (const auto& [key, run] : runs_) {
    ReleaseCapacity(run);
  }
  runs_.clear();
  retry_states_.clear();
  done_unlisted_.clear();
  resume_waits_.clear();
  isolation_waits_.clear();
  quarantines_.clear();
}

bool SampleScheduler::idle(const JobLedger& jobs) const {
  return runs_.empty() && std::all_of(jobs.jobs().begin(), jobs.jobs().end(),
                                      [](const auto& entry) {
                                        return entry.second.ended ||
                                               entry.second.AllListed();
                                      });
}

}  // namespace limpethatch
