#include "limpethatch/version/step_ledger.h"

#include <algorithm>

#include "limpethatch/version/internal/attempt_table.h"
#include "limpethatch/version/internal/open_step.h"
#include "limpethatch/version/internal/step_ledger_delivery.h"
#include "limpethatch/version/internal/step_ledger_dispatch.h"
#include "limpethatch/version/internal/step_ledger_snapshot.h"
#include "limpethatch/version/sample_label.h"

namespace limpethatch {
namespace {

wire::SampleOutcome Outcome(wire::SampleOutcome::Verdict verdict) {
  wire::SampleOutcome outcome;
  outcome.set_verdict(verdict);
  return outcome;
}

wire::StepOutcome Outcome(wire::StepOutcome::Verdict verdict,
                          uint32_t samples) {
  wire::StepOutcome outcome;
  outcome.set_verdict(verdict);
  outcome.set_samples(samples);
  return outcome;
}

}  // namespace

template <DispatchPolicy Policy>
BasicStepLedger<Policy>::BasicStepLedger(Policy policy)
    : policy_(std::move(policy)),
      attempts_(std::make_unique<internal::AttemptTable>()) {}

template <DispatchPolicy Policy>
BasicStepLedger<Policy>::BasicStepLedger(BasicStepLedger&&) noexcept = default;

template <DispatchPolicy Policy>
BasicStepLedger<Policy>& BasicStepLedger<Policy>::operator=(
    BasicStepLedger&&) noexcept = default;

template <DispatchPolicy Policy>
BasicStepLedger<Policy>::~BasicStepLedger() = default;

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::Configure(const Manifest& manifest) {
  for (const auto& [name, declared] : manifest.pools) {
    auto& version = pools_[name].version;
    version = std::max(version, declared.weights_version);
  }
  for (auto& [name, trainer] : trainers_) {
    trainer.share = 1;
    trainer.weighting = Weighting::kIdleTime;
  }
  for (const auto& [name, declared] : manifest.trainers) {
    auto& trainer = trainers_[name];
    trainer.share = declared.share > 0 ? declared.share : 1;
    trainer.weighting = declared.weighting;
  }
}

template <DispatchPolicy Policy>
wire::StepOutcome BasicStepLedger<Policy>::Apply(
    const wire::StepOpen& command) {
  const StepName name{command.trainer(), command.step()};
  if (const auto* open = FindStep(name)) {
    return Outcome(open->open().digest() == command.digest()
                       ? wire::StepOutcome::OPENED
                       : wire::StepOutcome::CONFLICT,
                   open->total());
  }
  if (const auto closed = closed_.find(name); closed != closed_.end()) {
    return Outcome(closed->second.digest == command.digest()
                       ? wire::StepOutcome::OPENED
                       : wire::StepOutcome::CONFLICT,
                   closed->second.samples);
  }
  const auto order = ++last_order_;
  auto& step =
      *steps_
           .emplace(order, std::make_unique<internal::OpenStep>(order, command))
           .first->second;
  names_.emplace(name, order);
  auto& pool = pools_[command.pool()];
  auto& trainer = trainers_[command.trainer()];
  if (trainer.unrecorded.empty()) {
    trainer.virtual_time = std::max(trainer.virtual_time, pool.virtual_time);
  }
  RaiseTrainerVersion(command.trainer(), command.pool(), command.at_version());
  trainer.open.insert(order);
  if (step.total() > 0) {
    trainer.unrecorded.insert(order);
  }
  for (uint32_t index = 0; index < step.total(); ++index) {
    step.Enqueue(index, policy_.Rank(ViewSample(step, index)));
  }
  UpdateWaitingIndex(step, 0);
  return Outcome(wire::StepOutcome::OPENED, step.total());
}

template <DispatchPolicy Policy>
wire::SampleOutcome BasicStepLedger<Policy>::Apply(
    const wire::SampleRecord& command) {
  const StepName name{command.trainer(), command.step()};
  auto* step = FindStep(name);
  if (!step) {
    return Outcome(closed_.contains(name) ? wire::SampleOutcome::FENCED
                                          : wire::SampleOutcome::UNKNOWN_STEP);
  }
  const auto index = command.sample();
  if (index >= step->total() || !IsValidRecord(command)) {
    return Outcome(wire::SampleOutcome::REFUSED);
  }
  const auto& sample = step->sample(index);
  if (command.epoch() != 0 && sample.recorded_epoch == command.epoch()) {
    return Outcome(wire::SampleOutcome::DONE);
  }
  if (command.epoch() == 0 || sample.live_epoch != command.epoch()) {
    return Outcome(wire::SampleOutcome::FENCED);
  }
  const auto expected = attempts_->Find(command.epoch())->charge;
  EndAttempt(command.epoch(), command.tokens());
  pools_.at(step->open().pool()).tokens += command.tokens();
  LearnLength(*step, index, command.tokens(), expected);
  if (OldestVersion(command.ranges()) < OldestAllowedVersion(*step)) {
    step->CountRemake(index);
    Enqueue(*step, index);
    return Outcome(wire::SampleOutcome::FENCED);
  }
  step->Record(index, command);
  UpdateUnrecordedIndex(*step);
  return Outcome(wire::SampleOutcome::DONE);
}

template <DispatchPolicy Policy>
wire::SampleOutcome BasicStepLedger<Policy>::Apply(
    const wire::SampleReturn& command) {
  const StepName name{command.trainer(), command.step()};
  auto* step = FindStep(name);
  if (!step) {
    return Outcome(closed_.contains(name) ? wire::SampleOutcome::FENCED
                                          : wire::SampleOutcome::UNKNOWN_STEP);
  }
  const auto index = command.sample();
  if (index >= step->total()) {
    return Outcome(wire::SampleOutcome::REFUSED);
  }
  auto& sample = step->sample(index);
  if (command.epoch() == 0 || sample.live_epoch != command.epoch()) {
    return Outcome(wire::SampleOutcome::FENCED);
  }
  EndAttempt(command.epoch(), command.partial_tokens());
  const auto kept = sample.partial ? sample.partial->tokens : 0;
  if (command.partial_tokens() > kept &&
      RangesCover(command.partial_ranges(), command.partial_tokens())) {
    sample.partial = std::make_unique<internal::Partial>(
        internal::Partial{command.partial_text(), command.partial_tokens(),
                          command.partial_ranges()});
  }
  Enqueue(*step, index);
  return Outcome(wire::SampleOutcome::DONE);
}

template <DispatchPolicy Policy>
wire::VersionOutcome BasicStepLedger<Policy>::Apply(
    const wire::VersionPublish& command) {
  auto& version = pools_[command.pool()].version;
  version = std::max(version, command.version());
  wire::VersionOutcome outcome;
  outcome.set_version(version);
  return outcome;
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::Apply(const wire::HolderGone& command) {
  gone_holders_.Add(command.holder());
  for (const auto epoch : attempts_->EpochsOfHolder(command.holder())) {
    const auto attempt = *attempts_->Find(epoch);
    EndAttempt(epoch, 0);
    Enqueue(*steps_.at(attempt.step), attempt.sample);
  }
  const auto first = pulls_.lower_bound({command.holder(), {}});
  auto end = first;
  while (end != pulls_.end() && end->first.first == command.holder()) {
    ++end;
  }
  pulls_.erase(first, end);
}

template <DispatchPolicy Policy>
std::vector<std::string> BasicStepLedger<Policy>::PoolsWithWaitingSamples()
    const {
  std::vector<std::string> names;
  for (const auto& [name, pool] : pools_) {
    if (pool.waiting > 0) {
      names.push_back(name);
    }
  }
  return names;
}

template <DispatchPolicy Policy>
uint64_t BasicStepLedger<Policy>::DeclaredVersion(
    const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.version;
}

template <DispatchPolicy Policy>
std::vector<OpenStepTerms> BasicStepLedger<Policy>::OpenSteps() const {
  std::vector<OpenStepTerms> terms;
  for (const auto& [order, step] : steps_) {
    const wire::StepOpen& open = step->open();
    terms.push_back({open.trainer(), open.step(), open.pool(),
                     open.max_staleness(), open.scorer()});
  }
  return terms;
}

template <DispatchPolicy Policy>
std::optional<StepStatus> BasicStepLedger<Policy>::Status(
    const std::string& trainer,
    const std::string& step_name) const {
  const StepName name{trainer, step_name};
  StepStatus status;
  if (const auto closed = closed_.find(name); closed != closed_.end()) {
    status.total = status.acknowledged = closed->second.samples;
    status.remade = closed->second.remade;
    status.complete = true;
    return status;
  }
  const auto* step = FindStep(name);
  if (!step) {
    return std::nullopt;
  }
  status.total = step->total();
  status.waiting = step->waiting();
  status.running = step->unrecorded() - step->waiting();
  status.acknowledged = step->acknowledged();
  status.recorded = step->total() - step->unrecorded() - step->acknowledged();
  status.remade = step->remade();
  status.most_remakes = step->MostRemakes();
  return status;
}

template <DispatchPolicy Policy>
std::vector<uint64_t> BasicStepLedger<Policy>::LiveEpochs(
    const std::string& holder) const {
  return attempts_->EpochsOfHolder(holder);
}

template <DispatchPolicy Policy>
internal::OpenStep* BasicStepLedger<Policy>::FindStep(
    const StepName& name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? nullptr : steps_.at(found->second).get();
}

template <DispatchPolicy Policy>
uint64_t BasicStepLedger<Policy>::OldestAllowedVersion(
    const internal::OpenStep& step) const {
  const auto at_version = trainers_.at(step.open().trainer()).at_version;
  const auto bound = step.open().max_staleness();
  return at_version > bound ? at_version - bound : 0;
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::Enqueue(internal::OpenStep& step,
                                      uint32_t index) {
  const auto before = step.waiting();
  step.Enqueue(index, policy_.Rank(ViewSample(step, index)));
  UpdateWaitingIndex(step, before);
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::LearnLength(internal::OpenStep& step,
                                          uint32_t index,
                                          uint32_t tokens,
                                          uint64_t expected) {
  auto& group = step.group(step.sample(index).group);
  auto& pool = pools_.at(step.open().pool());
  LengthEstimate same_prompt = group.finished;
  same_prompt.Merge(lengths_.Find(group.prompt_digest));
  const bool was_predictive = pool.spread.PromptPredictsLength();
  pool.spread.Add(tokens, same_prompt);
  group.finished.Add(tokens);
  pool.lengths.Add(tokens);
  if (const auto ratio = tokens / std::max<double>(expected, 1);
      ratio > internal::kOverdueFactor) {
    pool.overdue.Add(ratio);
  }
  if (pool.spread.PromptPredictsLength() != was_predictive) {
    RerankPool(step.open().pool());
    return;
  }
  RerankGroup(step, group);
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::RerankGroup(internal::OpenStep& step,
                                          const internal::Group& group) {
  for (uint32_t member = 0; member < group.samples; ++member) {
    const auto index = group.first_sample + member;
    if (step.sample(index).waiting) {
      step.Rerank(index, policy_.Rank(ViewSample(step, index)));
    }
  }
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::RerankPool(const std::string& pool) {
  for (auto& [order, step] : steps_) {
    if (step->open().pool() != pool) {
      continue;
    }
    for (const auto& group : step->groups()) {
      RerankGroup(*step, group);
    }
  }
}

// Replaces the charge made in advance by the number of tokens that the attempt
// has generated.
template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::EndAttempt(uint64_t epoch, uint32_t tokens) {
  const auto attempt = attempts_->Remove(epoch);
  if (!attempt) {
    return;
  }
  auto& step = *steps_.at(attempt->step);
  const auto& sample = step.sample(attempt->sample);
  const auto resumed = sample.partial ? sample.partial->tokens : 0;
  const double generated = tokens > resumed ? tokens - resumed : 0;
  auto& trainer = trainers_.at(step.open().trainer());
  trainer.virtual_time +=
      (generated - static_cast<double>(attempt->charge)) / trainer.share;
}

// Updates the pool's index of waiting samples; `before` is the number of
// samples that were waiting in the step before the change.
template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::UpdateWaitingIndex(const internal::OpenStep& step,
                                                 uint32_t before) {
  auto& pool = pools_.at(step.open().pool());
  pool.waiting += step.waiting() - before;
  auto& orders = pool.steps[step.open().trainer()];
  if (step.waiting() > 0) {
    orders.insert(step.order());
    return;
  }
  orders.erase(step.order());
  if (orders.empty()) {
    pool.steps.erase(step.open().trainer());
  }
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::UpdateUnrecordedIndex(
    const internal::OpenStep& step) {
  if (step.unrecorded() == 0) {
    trainers_.at(step.open().trainer()).unrecorded.erase(step.order());
  }
}

template class BasicStepLedger<FifoDispatch>;
template class BasicStepLedger<WeightedDispatch>;

}  // namespace limpethatch
