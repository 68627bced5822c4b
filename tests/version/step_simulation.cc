#include "version/step_simulation.h"

#include <algorithm>

namespace limpethatch::testing {
namespace {

constexpr uint32_t kTokens = 8;

// A small number, so that each step is affected by many events.
constexpr size_t kMaxSteps = 4;

Manifest TwoTrainers() {
  Manifest manifest;
  manifest.pools["coach"].weights_version = 10;
  manifest.trainers["joto"] = {"coach", 2, 2, Weighting::kStaleness, {}, {}};
  manifest.trainers["hutch"] = {"coach", 1, 2, Weighting::kIdleTime, {}, {}};
  return manifest;
}

}  // namespace

std::string StepSimulation::State() const {
  auto snapshot = ledger_.Snapshot();
  snapshot.clear_pulls();
  snapshot.clear_engines();
  for (auto& pool : *snapshot.mutable_pools()) {
    pool.clear_pulls();
  }
  return snapshot.SerializeAsString();
}

StepSimulation::StepSimulation() {
  ledger_.Configure(TwoTrainers());
  replica_.Configure(TwoTrainers());
}

void StepSimulation::Handle(const StepEvent& event) {
  const auto choice = event.choice;
  switch (event.kind % 12) {
    case 0:
      return Open(choice);
    case 1:
    case 2:
    case 3:
      return Take(choice);
    case 4:
    case 5:
    case 6:
      return Record(choice);
    case 7:
      return Return(choice);
    case 8:
      return RemoveHolder(choice);
    case 9:
      replica_.Restore(ledger_.Snapshot());
      return replica_.Configure(TwoTrainers());
    case 10: {
      wire::VersionPublish publish;
      publish.set_pool("coach");
      publish.set_version(choice % 4 == 0 ? version_ - 1 : ++version_);
      RC_ASSERT(Apply(publish).version() == version_);
      return;
    }
    default:
      if (!steps_.empty()) {
        Fetch(choice % steps_.size(), choice % 5 < 2, choice % 7 == 0);
      }
  }
}

void StepSimulation::Open(uint16_t choice) {
  if (steps_.size() == kMaxSteps) {
    return;
  }
  Step step;
  step.open.set_trainer(choice % 2 == 0 ? "joto" : "hutch");
  step.open.set_step("step-" + std::to_string(steps_.size()));
  step.open.set_digest("d");
  step.open.set_pool("coach");
  step.open.set_max_staleness(choice % 3);
  step.open.set_at_version(version_);
  for (int group = 0; group < 2; ++group) {
    auto& added = *step.open.add_groups();
    added.set_prompt("prompt-" + std::to_string(choice % 4));
    added.set_samples(1 + choice % 3);
  }
  RC_ASSERT(Apply(step.open).verdict() == wire::StepOutcome::OPENED);
  RC_ASSERT(Apply(step.open).verdict() == wire::StepOutcome::OPENED);
  auto other = step.open;
  other.set_digest("e");
  RC_ASSERT(Apply(other).verdict() == wire::StepOutcome::CONFLICT);
  steps_.push_back(std::move(step));
}

// Every fourth pull repeats the previous one, as if its answer had been lost.
void StepSimulation::Take(uint16_t choice) {
  wire::SampleTake take;
  take.set_holder(Holder(choice));
  take.set_engine("engine-" + std::to_string(choice % 4));
  take.set_pool("coach");
  take.set_engine_version(EngineVersion(choice));
  take.set_count(1 + choice % 3);
  take.set_pull(++pulls_);
  take.set_all_listed(choice % 5 == 4);
  const bool only_asks = choice % 5 == 3;
  for (auto& [epoch, run] : runs_) {
    if (choice % 10 == 9 && run.holder == take.holder() &&
        run.engine == take.engine() && choice % 4 != 3 &&
        run.accepted.epoch() == 0) {
      run.ended = true;  // Its assignment was lost.
      continue;
    }
    if (run.holder == take.holder() && !only_asks) {
      auto& progress = *take.add_progress();
      progress.set_epoch(epoch);
      progress.set_tokens(choice % 2000);
    }
  }
  const bool repeated = choice % 4 == 3 && last_take_.pull() != 0;
  if (!repeated) {
    last_take_ = take;
  }
  const auto taken = Apply(last_take_);
  for (const auto& assignment : taken.assignments()) {
    const auto found =
        std::find_if(steps_.begin(), steps_.end(), [&](const Step& candidate) {
          return candidate.open.step() == assignment.step();
        });
    const auto step = static_cast<size_t>(found - steps_.begin());
    if (repeated) {
      RC_ASSERT(runs_.count(assignment.epoch()) == 1);
      continue;
    }
    auto& newest = newest_[{step, assignment.sample()}];
    RC_ASSERT(assignment.epoch() > newest);
    RC_ASSERT((newest == 0 || runs_.at(newest).ended ||
               runs_.at(newest).accepted.epoch() != 0 ||
               !WithinStalenessBound(OldestStart(runs_.at(newest)),
                                     found->open.max_staleness(), version_)));
    if (newest != 0) {
      runs_.at(newest).ended = true;
    }
    newest = assignment.epoch();
    runs_[newest] = {last_take_.holder(),
                     last_take_.engine(),
                     step,
                     assignment,
                     last_take_.engine_version(),
                     false,
                     {}};
  }
}

// Any attempt may record, including ended ones, and more than once.
void StepSimulation::Record(uint16_t choice) {
  if (runs_.empty()) {
    return;
  }
  auto& [epoch, run] = *std::next(
      runs_.begin(), static_cast<std::ptrdiff_t>(choice % runs_.size()));
  auto record = MakeRecord(run, choice);
  if (choice % 6 == 0) {
    record.set_text(record.text().substr(1));
    RC_ASSERT(Apply(record).verdict() != wire::SampleOutcome::DONE);
    return;
  }
  if (choice % 6 == 1) {
    if (choice % 12 == 1) {
      record.mutable_ranges(0)->set_first_token(1);
    } else {
      record.set_tokens(record.tokens() + 1);
    }
    RC_ASSERT(Apply(record).verdict() != wire::SampleOutcome::DONE);
    return;
  }
  const auto verdict = Apply(record).verdict();
  if (verdict == wire::SampleOutcome::DONE && run.accepted.epoch() == 0) {
    RC_ASSERT(!run.ended);
    run.accepted = record;
  }
}

void StepSimulation::Return(uint16_t choice) {
  if (runs_.empty()) {
    return;
  }
  auto& [epoch, run] = *std::next(
      runs_.begin(), static_cast<std::ptrdiff_t>(choice % runs_.size()));
  wire::SampleReturn command;
  command.set_holder(run.holder);
  command.set_trainer(run.assignment.trainer());
  command.set_step(run.assignment.step());
  command.set_sample(run.assignment.sample());
  command.set_epoch(epoch);
  const auto tokens = run.assignment.partial_tokens() + choice % 3;
  command.set_partial_text(std::string(tokens, 'p'));
  command.set_partial_tokens(tokens);
  *command.mutable_partial_ranges() = MakeRanges(run, tokens, false);
  if (Apply(command).verdict() == wire::SampleOutcome::DONE) {
    RC_ASSERT((!run.ended && run.accepted.epoch() == 0));
    run.ended = true;
  }
}

void StepSimulation::RemoveHolder(uint16_t choice) {
  wire::HolderGone gone;
  gone.set_holder(Holder(choice));
  ++incarnations_[choice % 3];
  ledger_.Apply(gone);
  replica_.Apply(gone);
  wire::SampleTake late;
  late.set_holder(gone.holder());
  late.set_pool("coach");
  late.set_engine("engine-0");
  late.set_engine_version(version_);
  late.set_count(1);
  RC_ASSERT(Apply(late).holder_gone());
  RC_ASSERT(ledger_.LiveEpochs(gone.holder()).empty());
  for (auto& [epoch, run] : runs_) {
    run.ended = run.ended || run.holder == gone.holder();
  }
}

void StepSimulation::Fetch(size_t index, bool lost, bool old_session) {
  auto& step = steps_[index];
  wire::StepFetch fetch;
  fetch.set_trainer(step.open.trainer());
  fetch.set_step(step.open.step());
  fetch.set_after(step.after);
  fetch.set_at_version(version_);
  fetch.set_max_samples(2);
  fetch.set_session(step.session);
  auto delivery = Apply(fetch);
  RC_ASSERT(delivery.verdict() == wire::StepDelivery::OK);
  for (const auto& sample : delivery.samples()) {
    RC_ASSERT(WithinStalenessBound(OldestVersion(sample.ranges()),
                                   step.open.max_staleness(), version_));
    auto& sequence = sequences_[sample.epoch()];
    RC_ASSERT((sequence == 0 || sequence == sample.sequence()));
    sequence = sample.sequence();
    if (!lost) {
      Receive(step, sample);
    }
  }
  RC_ASSERT(delivery.complete() ==
            (delivery.acknowledged() == delivery.total()));
  if (old_session) {
    fetch.set_session(step.session++ - 1);
    RC_ASSERT(Apply(fetch).verdict() == wire::StepDelivery::FENCED_SESSION);
  }
}

void StepSimulation::Receive(Step& step, const wire::DeliveredSample& sample) {
  RC_ASSERT(sample.sequence() > step.after);
  step.after = sample.sequence();
  const auto [place, added] =
      step.received.emplace(sample.sample(), sample.text());
  RC_ASSERT(added);
  const auto& accepted = runs_.at(sample.epoch()).accepted;
  RC_ASSERT(accepted.epoch() == sample.epoch());
  RC_ASSERT(accepted.sample() == sample.sample());
  RC_ASSERT(accepted.text() == sample.text());
  RC_ASSERT(ContentDigest(sample.text()) == sample.digest());
  RC_ASSERT(accepted.ranges_size() == sample.ranges_size());
  for (int range = 0; range < sample.ranges_size(); ++range) {
    RC_ASSERT(accepted.ranges(range).SerializeAsString() ==
              sample.ranges(range).SerializeAsString());
  }
}

wire::SampleRecord StepSimulation::MakeRecord(const Run& run,
                                              uint16_t choice) const {
  wire::SampleRecord record;
  record.set_holder(run.holder);
  record.set_trainer(run.assignment.trainer());
  record.set_step(run.assignment.step());
  record.set_sample(run.assignment.sample());
  record.set_epoch(run.assignment.epoch());
  record.set_text("text of epoch " + std::to_string(run.assignment.epoch()));
  record.set_tokens(run.assignment.partial_tokens() + kTokens);
  *record.mutable_ranges() = MakeRanges(run, record.tokens(), choice % 2 == 0);
  record.set_digest(ContentDigest(record.text()));
  return record;
}

// Continues the label of the partial text. With `swap`, the engine loads newer
// weights halfway through the remaining tokens.
VersionRanges StepSimulation::MakeRanges(const Run& run,
                                         uint32_t tokens,
                                         bool swap) const {
  auto ranges = run.assignment.partial_ranges();
  auto next = run.assignment.partial_tokens();
  const auto add = [&](uint64_t version, uint32_t end) {
    if (end > next) {
      auto& range = *ranges.Add();
      range.set_version(version);
      range.set_first_token(next);
      range.set_end_token(end);
      next = end;
    }
  };
  add(run.version, swap ? next + (tokens - next) / 2 : tokens);
  add(version_, tokens);
  return ranges;
}

std::string StepSimulation::Holder(uint16_t choice) const {
  const auto holder = choice % 3;
  return std::to_string(holder) + '#' + std::to_string(incarnations_[holder]);
}

uint64_t StepSimulation::OldestStart(const Run& run) const {
  const auto& ranges = run.assignment.partial_ranges();
  return ranges.empty() ? run.version
                        : std::min(run.version, OldestVersion(ranges));
}

uint64_t StepSimulation::EngineVersion(uint16_t choice) const {
  return version_ - choice % 3;
}

void StepSimulation::RunToCompletion() {
  for (int round = 0; round < 400; ++round) {
    for (uint16_t engine = 0; engine < 12; engine += 4) {
      Take(static_cast<uint16_t>(engine * 3));
    }
    for (auto& [epoch, run] : runs_) {
      if (!run.ended && run.accepted.epoch() == 0) {
        if (auto record = MakeRecord(run, 1);
            Apply(record).verdict() == wire::SampleOutcome::DONE) {
          run.accepted = record;
        }
      }
    }
    for (size_t step = 0; step < steps_.size(); ++step) {
      Fetch(step, false, false);
    }
  }
  for (const auto& step : steps_) {
    const auto status = ledger_.Status(step.open.trainer(), step.open.step());
    RC_ASSERT((status && status->complete));
    RC_ASSERT(step.received.size() == status->total);
  }
}

}  // namespace limpethatch::testing
