// The members of BasicStepLedger that deliver and close steps and end stale
// attempts. Included by step_ledger.cc only.
#ifndef LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_DELIVERY_H_
#define LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_DELIVERY_H_

#include <utility>
#include <vector>

#include "limpethatch/version/internal/attempt_table.h"
#include "limpethatch/version/internal/open_step.h"
#include "limpethatch/version/step_ledger.h"

namespace limpethatch {

namespace internal {

// Weight of the newest interval in the smoothed interval between two versions
// of a trainer.
inline constexpr double kNewestIntervalWeight = 0.5;

}  // namespace internal

template <DispatchPolicy Policy>
wire::StepDelivery BasicStepLedger<Policy>::Apply(
    const wire::StepFetch& command) {
  wire::StepDelivery delivery;
  const StepName name{command.trainer(), command.step()};
  auto* step = FindStep(name);
  if (!step) {
    const auto closed = closed_.find(name);
    if (closed != closed_.end()) {
      return DeliverClosed(command, closed->second);
    }
    delivery.set_verdict(wire::StepDelivery::UNKNOWN_STEP);
    return delivery;
  }
  if (!step->Resume(command.session())) {
    delivery.set_verdict(wire::StepDelivery::FENCED_SESSION);
    return delivery;
  }
  delivery.set_verdict(wire::StepDelivery::OK);
  RaiseTrainerVersion(command.trainer(), step->open().pool(),
                      command.at_version());
  step->Acknowledge(command.after());
  const auto limit =
      command.max_samples() > 0 ? command.max_samples() : kDefaultFetchSamples;
  const auto dropped =
      step->Deliver(OldestAllowedVersion(*step), limit, delivery);
  for (const auto index : dropped) {
    trainers_.at(command.trainer()).unrecorded.insert(step->order());
    Enqueue(*step, index);
  }
  FillCounts(*step, delivery);
  if (delivery.complete()) {
    Close(name);
  }
  return delivery;
}

template <DispatchPolicy Policy>
std::optional<wire::StepDelivery> BasicStepLedger<Policy>::Peek(
    const wire::StepFetch& command) const {
  const auto* step = FindStep({command.trainer(), command.step()});
  if (!step || step->session() != command.session() || step->HasContent() ||
      step->acknowledged() == step->total() ||
      command.at_version() > trainers_.at(command.trainer()).at_version) {
    return std::nullopt;
  }
  wire::StepDelivery delivery;
  delivery.set_verdict(wire::StepDelivery::OK);
  FillCounts(*step, delivery);
  return delivery;
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::FillCounts(const internal::OpenStep& step,
                                         wire::StepDelivery& delivery) {
  delivery.set_total(step.total());
  delivery.set_acknowledged(step.acknowledged());
  delivery.set_remade(step.remade());
  delivery.set_complete(step.acknowledged() == step.total());
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::RaiseTrainerVersion(const std::string& name,
                                                  const std::string& pool,
                                                  uint64_t version) {
  auto& trainer = trainers_[name];
  if (version <= trainer.at_version) {
    return;
  }
  const auto now = pools_[pool].tokens;
  if (trainer.at_version > 0) {
    const auto rise = static_cast<double>(version - trainer.at_version);
    trainer.versions_per_rise +=
        internal::kNewestIntervalWeight * (rise - trainer.versions_per_rise);
    const auto interval =
        static_cast<double>(now - trainer.version_clock) / rise;
    auto& learned = trainer.tokens_per_version;
    learned = learned > 0 ? learned + internal::kNewestIntervalWeight *
                                          (interval - learned)
                          : interval;
  }
  trainer.at_version = version;
  trainer.closed_since_rise = 0;
  trainer.version_clock = now;
  EndStaleAttempts(name);
}

// An attempt whose first tokens already exceed the staleness bound can't yield
// a deliverable sample.
template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::EndStaleAttempts(const std::string& trainer) {
  std::vector<internal::Attempt> ended;
  for (const auto& [epoch, attempt] : attempts_->attempts()) {
    const auto& step = *steps_.at(attempt.step);
    if (step.open().trainer() == trainer &&
        attempt.oldest_version < OldestAllowedVersion(step)) {
      ended.push_back(attempt);
    }
  }
  for (const auto& attempt : ended) {
    auto& step = *steps_.at(attempt.step);
    EndAttempt(attempt.epoch, 0);
    step.CountRemake(attempt.sample);
    Enqueue(step, attempt.sample);
  }
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::Close(const StepName& name) {
  const auto order = names_.at(name);
  const auto& step = *steps_.at(order);
  for (const auto& group : step.groups()) {
    lengths_.Merge(group.prompt_digest, group.finished);
  }
  ClosedStep closed{step.open().digest(), step.total(), step.remade(),
                    step.session()};
  auto& trainer = trainers_.at(name.first);
  trainer.open.erase(order);
  ++trainer.closed_since_rise;
  names_.erase(name);
  steps_.erase(order);
  AddClosed(name, std::move(closed));
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::AddClosed(const StepName& name,
                                        ClosedStep closed) {
  closed_.emplace(name, std::move(closed));
  closed_order_.push_back(name);
  if (closed_order_.size() > kMaxClosedSteps) {
    closed_.erase(closed_order_.front());
    closed_order_.pop_front();
  }
}

template <DispatchPolicy Policy>
wire::StepDelivery BasicStepLedger<Policy>::DeliverClosed(
    const wire::StepFetch& command,
    ClosedStep& closed) const {
  wire::StepDelivery delivery;
  if (command.session() < closed.session) {
    delivery.set_verdict(wire::StepDelivery::FENCED_SESSION);
    return delivery;
  }
  closed.session = command.session();
  delivery.set_verdict(wire::StepDelivery::OK);
  delivery.set_total(closed.samples);
  delivery.set_acknowledged(closed.samples);
  delivery.set_remade(closed.remade);
  delivery.set_complete(true);
  return delivery;
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_DELIVERY_H_
