// Snapshot and restore of BasicStepLedger. Included by step_ledger.cc only.
#ifndef LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_SNAPSHOT_H_
#define LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_SNAPSHOT_H_

#include "limpethatch/version/internal/attempt_table.h"
#include "limpethatch/version/internal/open_step.h"
#include "limpethatch/version/step_ledger.h"

namespace limpethatch {

template <DispatchPolicy Policy>
wire::StepLedgerSnapshot BasicStepLedger<Policy>::Snapshot() const {
  wire::StepLedgerSnapshot snapshot;
  snapshot.set_last_epoch(last_epoch_);
  snapshot.set_last_order(last_order_);
  for (const auto& [order, step] : steps_) {
    *snapshot.add_steps() = step->Snapshot();
  }
  for (const auto& name : closed_order_) {
    const auto& closed = closed_.at(name);
    auto& saved = *snapshot.add_closed();
    saved.set_trainer(name.first);
    saved.set_step(name.second);
    saved.set_digest(closed.digest);
    saved.set_samples(closed.samples);
    saved.set_remade(closed.remade);
    saved.set_session(closed.session);
  }
  for (const auto& [name, trainer] : trainers_) {
    auto& saved = *snapshot.add_trainers();
    saved.set_trainer(name);
    saved.set_at_version(trainer.at_version);
    saved.set_service(trainer.virtual_time);
    saved.set_version_clock(trainer.version_clock);
    saved.set_tokens_per_version(trainer.tokens_per_version);
    saved.set_versions_per_rise(trainer.versions_per_rise);
    saved.set_closed_since_rise(trainer.closed_since_rise);
  }
  for (const auto& [name, pool] : pools_) {
    auto& saved = *snapshot.add_pools();
    saved.set_pool(name);
    saved.set_version(pool.version);
    saved.set_tokens(pool.tokens);
    saved.set_virtual_time(pool.virtual_time);
    saved.set_finished(pool.lengths.samples);
    saved.set_mean_log_tokens(pool.lengths.mean_log_tokens);
    saved.set_overdue(pool.overdue.samples);
    saved.set_mean_log_overdue(pool.overdue.mean_log_tokens);
    *saved.mutable_spread() = pool.spread.Save();
  }
  for (const auto& [name, pull] : pulls_) {
    auto& saved = *snapshot.add_pulls();
    saved.set_holder(name.first);
    saved.set_engine(name.second);
    saved.set_pull(pull.pull);
    saved.mutable_epochs()->Add(pull.epochs.begin(), pull.epochs.end());
  }
  for (const auto& holder : gone_holders_.holders()) {
    snapshot.add_gone_holders(holder);
  }
  lengths_.Save(snapshot);
  attempts_->Save(snapshot);
  return snapshot;
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::Restore(
    const wire::StepLedgerSnapshot& snapshot) {
  *this = BasicStepLedger(policy_);
  last_epoch_ = snapshot.last_epoch();
  last_order_ = snapshot.last_order();
  for (const auto& saved : snapshot.trainers()) {
    auto& trainer = trainers_[saved.trainer()];
    trainer.at_version = saved.at_version();
    trainer.virtual_time = saved.service();
    trainer.version_clock = saved.version_clock();
    trainer.tokens_per_version = saved.tokens_per_version();
    trainer.versions_per_rise = saved.versions_per_rise();
    trainer.closed_since_rise = saved.closed_since_rise();
  }
  for (const auto& saved : snapshot.pools()) {
    auto& pool = pools_[saved.pool()];
    pool.version = saved.version();
    pool.tokens = saved.tokens();
    pool.virtual_time = saved.virtual_time();
    pool.lengths = {saved.finished(), saved.mean_log_tokens()};
    pool.overdue = {saved.overdue(), saved.mean_log_overdue()};
    pool.spread = LengthSpread(saved.spread());
  }
  for (const auto& saved : snapshot.closed()) {
    AddClosed(
        {saved.trainer(), saved.step()},
        {saved.digest(), saved.samples(), saved.remade(), saved.session()});
  }
  for (const auto& saved : snapshot.pulls()) {
    pulls_[{saved.holder(), saved.engine()}] = {
        saved.pull(), {saved.epochs().begin(), saved.epochs().end()}};
  }
  gone_holders_.Load(snapshot.gone_holders());
  lengths_.Load(snapshot);
  attempts_->Load(snapshot);
  RestoreSteps(snapshot);
}

template <DispatchPolicy Policy>
void BasicStepLedger<Policy>::RestoreSteps(
    const wire::StepLedgerSnapshot& snapshot) {
  for (const auto& saved : snapshot.steps()) {
    auto& step = *steps_
                      .emplace(saved.order(),
                               std::make_unique<internal::OpenStep>(saved))
                      .first->second;
    names_[{saved.open().trainer(), saved.open().step()}] = saved.order();
    trainers_[saved.open().trainer()].open.insert(saved.order());
    if (step.unrecorded() > 0) {
      trainers_[saved.open().trainer()].unrecorded.insert(saved.order());
    }
  }
  for (const auto& [epoch, attempt] : attempts_->attempts()) {
    steps_.at(attempt.step)->sample(attempt.sample).live_epoch = epoch;
  }
  for (auto& [order, step] : steps_) {
    for (uint32_t index = 0; index < step->total(); ++index) {
      const auto& sample = step->sample(index);
      if (sample.live_epoch == 0 && sample.recorded_epoch == 0) {
        step->Enqueue(index, sample.rank);
      }
    }
    UpdateWaitingIndex(*step, 0);
  }
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_INTERNAL_STEP_LEDGER_SNAPSHOT_H_
