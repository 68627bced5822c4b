// The members of BasicStepLedger that dispatch samples. Included by
// step_ledger.cc only.
#ifndef LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_DISPATCH_H_
#define LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_DISPATCH_H_

#include <algorithm>
#include <cmath>

#include "limpethatch/version/internal/attempt_table.h"
#include "limpethatch/version/internal/open_step.h"
#include "limpethatch/version/sample_label.h"
#include "limpethatch/version/step_ledger.h"

namespace limpethatch {

namespace internal {

// Number of steps per trainer that are considered for one pull.
inline constexpr size_t kStepsPerTrainer = 2;

// Weight of the pool's mean length in an estimate, in samples of the group.
inline constexpr double kPriorSamples = 0.3;

// Assumed ratio of actual to expected length of an overdue sample, until one
// has completed.
inline constexpr double kDefaultOverdueRatio = 4;

// A long sample is likely to be waiting from this expected number on.
inline constexpr double kLikelyLongSamples = 0.5;

// Prior for the share of long attempts: one in this many.
inline constexpr double kPriorAttempts = 50;

// Assumed mean length until a sample of the pool has completed.
inline constexpr double kDefaultTokens = 256;

}  // namespace internal

template <DispatchPolicy Policy>
wire::SampleTaken BasicStepLedger<Policy>::Apply(
    const wire::SampleTake& command) {
  wire::SampleTaken taken;
  if (gone_holders_.Contains(command.holder())) {
    taken.set_holder_gone(true);
    return taken;
  }
  auto& last = pulls_[{command.holder(), command.engine()}];
  if (command.pull() != 0 && command.pull() <= last.pull) {
    for (const auto epoch : last.epochs) {
      const auto* attempt = attempts_->Find(epoch);
      if (attempt && command.pull() == last.pull) {
        *taken.add_assignments() =
            Assignment(*steps_.at(attempt->step), *attempt);
      }
    }
    return taken;
  }
  last = {command.pull(), {}};
  attempts_->Pull(command.engine(), command.pool(), command.engine_version());
  UpdateProgress(command);
  for (uint32_t slot = 0; slot < command.count(); ++slot) {
    auto assignment = Dispatch(command);
    if (!assignment) {
      break;
    }
    last.epochs.push_back(assignment->epoch());
    *taken.add_assignments() = std::move(*assignment);
  }
  GiveBack(command, taken);
  return taken;
}

template <DispatchPolicy Policy>
bool BasicStepLedger<Policy>::IsNoOp(const wire::SampleTake& command) const {
  if (gone_holders_.Contains(command.holder()) || command.progress_size() > 0) {
    return false;
  }
  const auto engine = attempts_->engines().find(command.engine());
  if (engine == attempts_->engines().end() ||
      engine->second.pool != command.pool() ||
      engine->second.version != command.engine_version() ||
      (command.all_listed() && !engine->second.live.empty())) {
    return false;
  }
  // A repeated pull is answered with its first assignments.
  const auto last = pulls_.find({command.holder(), command.engine()});
  if (last == pulls_.end() || command.pull() <= last->second.pull) {
    return false;
  }
  const auto pool = pools_.find(command.pool());
  const bool has_waiting = pool != pools_.end() && pool->second.waiting > 0;
  if (has_waiting && command.count() > 0) {
    return false;
  }
  return engine->second.live.empty() ||
         !policy_.ShouldMigrate(ViewPull(command));
}

template <DispatchPolicy Policy>
std::optional<wire::SampleAssignment> BasicStepLedger<Policy>::Dispatch(
    const wire::SampleTake& command) {
  const auto pull = ViewPull(command);
  for (const auto& [step, view] : Candidates(pull, command.pool())) {
    const auto index = step->FirstWaiting(policy_.MaxRank(pull));
    const bool within_bound = WithinStalenessBound(
        pull.engine_version, view.max_staleness, view.at_version);
    if (index && within_bound &&
        policy_.Accepts(view, ViewSample(*step, *index), pull)) {
      return Start(command, *step, *index);
    }
    step->Decline();
  }
  return std::nullopt;
}

// The first steps of each trainer with waiting samples, in the order in which
// they are to be served.
template <DispatchPolicy Policy>
auto BasicStepLedger<Policy>::Candidates(const PullView& pull,
                                         const std::string& pool) const
    -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return candidates;
  }
  for (const auto& [trainer, orders] : found->second.steps) {
    size_t examined = 0;
    for (const auto order : orders) {
      if (examined++ == internal::kStepsPerTrainer) {
        break;
      }
      auto* step = steps_.at(order).get();
      candidates.push_back({step, ViewStep(*step)});
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const auto& left, const auto& right) {
                     return policy_.ServesBefore(left.view, right.view, pull);
                   });
  return candidates;
}

// Expected length of the longest waiting sample, in tokens. If a long sample is
// likely to be waiting, the running ones need no protection, since the waiting
// one will end later.
template <DispatchPolicy Policy>
double BasicStepLedger<Policy>::ExpectedLongestWaiting(const PoolState& pool,
                                                       const PullView& view) {
  const double known =
      internal::kPriorAttempts + pool.lengths.samples + view.running;
  const double were_long = 1.0 + pool.overdue.samples + view.long_attempts;
  const auto long_waiting = view.waiting * were_long / known;
  const auto mean = MeanTokens(pool);
  return long_waiting >= internal::kLikelyLongSamples
             ? OverdueRatio(pool) * mean
             : mean;
}

template <DispatchPolicy Policy>
PullView BasicStepLedger<Policy>::ViewPull(
    const wire::SampleTake& command) const {
  const auto& engine = attempts_->engines().at(command.engine());
  PullView view;
  view.engine_version = command.engine_version();
  view.engine_attempts = static_cast<uint32_t>(engine.live.size());
  view.min_engine_attempts = attempts_->MinEngineAttempts(command.pool());
  view.engines = attempts_->CountEngines(command.pool());
  view.running = attempts_->CountRunning(command.pool());

  if (const auto pool = pools_.find(command.pool()); pool != pools_.end()) {
    view.pool_version = pool->second.version;
    view.waiting = pool->second.waiting;
    const auto mean = MeanTokens(pool->second);
    view.long_threshold_tokens = internal::kLongFactor * mean;
    view.long_attempts =
        attempts_->CountLong(command.pool(), mean, view.engines);
    const auto until_pool_end =
        view.waiting * mean / std::max(view.running, 1U) +
        ExpectedLongestWaiting(pool->second, view);
    for (const auto& [step, left, longest] :
         attempts_->LongOnEngine(command.engine(), mean)) {
      const auto until_waiting_end =
          steps_.at(step)->waiting() > 0 ? until_pool_end : 0;
      const auto slack =
          std::max(longest, until_waiting_end) / std::max(left, 1.0);
      view.min_slack = view.has_long ? std::min(view.min_slack, slack) : slack;
      view.has_long = true;
    }
  }
  return view;
}

template <DispatchPolicy Policy>
double BasicStepLedger<Policy>::MeanTokens(const PoolState& pool) {
  return pool.lengths.samples > 0 ? std::exp(pool.lengths.mean_log_tokens)
                                  : internal::kDefaultTokens;
}

template <DispatchPolicy Policy>
double BasicStepLedger<Policy>::OverdueRatio(const PoolState& pool) {
  return pool.overdue.samples > 0 ? std::exp(pool.overdue.mean_log_tokens)
                                  : internal::kDefaultOverdueRatio;
}

template <DispatchPolicy Policy>
StepView BasicStepLedger<Policy>::ViewStep(
    const internal::OpenStep& step) const {
  const auto& trainer = trainers_.at(step.open().trainer());
  const auto& pool = pools_.at(step.open().pool());
  StepView view;
  view.order = step.order();
  view.virtual_time = trainer.virtual_time;
  view.weighting = trainer.weighting;
  view.max_staleness = step.open().max_staleness();
  view.at_version = trainer.at_version;
  view.total = step.total();
  view.waiting = step.waiting();
  view.unrecorded = step.unrecorded();
  view.steps_ahead = static_cast<uint32_t>(
      std::distance(trainer.unrecorded.begin(),
                    trainer.unrecorded.lower_bound(step.order())));
  view.declines = step.declines();
  view.tokens_since_version =
      static_cast<double>(pool.tokens - trainer.version_clock);
  view.tokens_per_version = trainer.tokens_per_version;
  view.versions_per_rise = trainer.versions_per_rise;
  view.pending_version_rises =
      trainer.closed_since_rise +
      static_cast<uint32_t>(std::distance(
          trainer.open.begin(), trainer.open.lower_bound(step.order())));
  return view;
}

// The expected length is a mean of logarithms over the group's completed
// samples, those of the same prompt in earlier steps and, with a small weight,
// the pool's mean.
template <DispatchPolicy Policy>
SampleView BasicStepLedger<Policy>::ViewSample(const internal::OpenStep& step,
                                               uint32_t index) const {
  const auto& sample = step.sample(index);
  const auto& group = step.group(sample.group);
  const auto earlier = lengths_.Find(group.prompt_digest);
  const auto& pool = pools_.at(step.open().pool());
  const auto prior = std::log(MeanTokens(pool));
  const auto& own = group.finished;
  const double known = own.samples + earlier.samples;
  const auto sum = own.samples * own.mean_log_tokens +
                   earlier.samples * earlier.mean_log_tokens +
                   internal::kPriorSamples * prior;
  SampleView view;
  view.index = index;
  view.expected_tokens = std::exp(sum / (known + internal::kPriorSamples));
  view.partial_tokens = sample.partial ? sample.partial->tokens : 0;
  view.prompt_predicts_length = pool.spread.PromptPredictsLength();
  view.probes_group =
      known == 0 && group.started == 0 && index == group.first_sample;
  return view;
}

template <DispatchPolicy Policy>
wire::SampleAssignment BasicStepLedger<Policy>::Start(
    const wire::SampleTake& command,
    internal::OpenStep& step,
    uint32_t index) {
  auto& sample = step.sample(index);
  const auto expected = ViewSample(step, index).expected_tokens;
  auto oldest = command.engine_version();
  if (sample.partial) {
    if (const auto reached = OldestVersion(sample.partial->ranges);
        reached < OldestAllowedVersion(step)) {
      sample.partial.reset();
    } else {
      oldest = std::min(oldest, reached);
    }
  }
  const auto charge = static_cast<uint64_t>(expected);
  auto& trainer = trainers_.at(step.open().trainer());
  pools_.at(step.open().pool()).virtual_time = trainer.virtual_time;
  trainer.virtual_time += static_cast<double>(charge) / trainer.share;
  internal::Attempt attempt{
      ++last_epoch_,
      step.order(),
      index,
      command.holder(),
      command.engine(),
      oldest,
      charge,
      sample.partial ? sample.partial->tokens : 0,
      static_cast<uint64_t>(expected *
                            OverdueRatio(pools_.at(step.open().pool())))};
  const auto before = step.waiting();
  step.Start(index, attempt.epoch);
  UpdateWaitingIndex(step, before);
  auto assignment = Assignment(step, attempt);
  attempts_->Add(std::move(attempt));
  return assignment;
}

template <DispatchPolicy Policy>
wire::SampleAssignment BasicStepLedger<Policy>::Assignment(
    const internal::OpenStep& step,
    const internal::Attempt& attempt) const {
  const auto& sample = step.sample(attempt.sample);
  const auto& open = step.open();
  wire::SampleAssignment assignment;
  assignment.set_trainer(open.trainer());
  assignment.set_step(open.step());
  assignment.set_sample(attempt.sample);
  assignment.set_group(sample.group);
  assignment.set_epoch(attempt.epoch);
  assignment.set_prompt(open.groups(static_cast<int>(sample.group)).prompt());
  assignment.set_max_tokens(open.max_tokens());
  assignment.set_oldest_version(OldestAllowedVersion(step));
  assignment.set_scorer(open.scorer());
  if (sample.partial) {
    assignment.set_partial_text(sample.partial->text);
    assignment.set_partial_tokens(sample.partial->tokens);
    *assignment.mutable_partial_ranges() = sample.partial->ranges;
  }
  return assignment;
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::UpdateProgress(const wire::SampleTake& command) {
  std::set<uint64_t> listed;
  for (const auto& progress : command.progress()) {
    attempts_->Progress(progress.epoch(), progress.tokens());
    listed.insert(progress.epoch());
  }
  if (!command.all_listed()) {
    return;
  }
  const auto live = attempts_->engines().at(command.engine()).live;
  for (const auto epoch : live) {
    const auto attempt = *attempts_->Find(epoch);
    if (attempt.holder == command.holder() && !listed.contains(epoch)) {
      EndAttempt(epoch, 0);
      Enqueue(*steps_.at(attempt.step), attempt.sample);
    }
  }
}

// The attempt with the fewest tokens is migrated, since it is the cheapest to
// resume. The remaining ones run faster with one attempt less on the engine.
template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::GiveBack(const wire::SampleTake& command,
                                       wire::SampleTaken& taken) {
  const auto& live = attempts_->engines().at(command.engine()).live;
  if (live.empty() || !policy_.ShouldMigrate(ViewPull(command))) {
    return;
  }
  const internal::Attempt* cheapest = nullptr;
  for (const auto epoch : live) {
    const auto* attempt = attempts_->Find(epoch);
    if (attempt->holder == command.holder() &&
        (!cheapest || attempt->reached < cheapest->reached)) {
      cheapest = attempt;
    }
  }
  if (cheapest) {
    taken.add_give_back(cheapest->epoch);
  }
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_DISPATCH_H_
