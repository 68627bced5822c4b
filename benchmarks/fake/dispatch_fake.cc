#include "fake/dispatch_fake.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

#include "limpethatch/process/digest.h"
#include "limpethatch/version/sample_label.h"

namespace limpethatch::benchmark {
namespace {

// Times in the unit of dispatch_fake.h.
constexpr double kPollPeriod = 20;
constexpr double kWeightsLoadTime = 100;
constexpr double kPrefillCostPerToken =
    0.05;  // For tokens of a resumed partial.

std::mt19937_64 Random(const Workload& workload,
                       uint64_t a,
                       uint64_t b,
                       uint64_t c) {
  const auto key = fmt::format("{}/{}/{}/{}", workload.seed, a, b, c);
  return std::mt19937_64(ContentDigest(key));
}

}  // namespace

uint32_t SampleTokens(const Workload& workload,
                      uint32_t trainer,
                      uint32_t step,
                      uint32_t sample) {
  const auto group = sample / workload.group_samples;
  auto prompt_random = Random(workload, trainer, 0, group);
  auto sample_random = Random(workload, trainer, step + 1, 1000 + sample);
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform;
  const auto prompt_normal = normal(prompt_random);
  normal.reset();
  const auto log_spread = workload.prompt_sigma * prompt_normal +
                          workload.sample_sigma * normal(sample_random);
  const auto draw = workload.outliers_by_prompt ? uniform(prompt_random)
                                                : uniform(sample_random);
  const auto factor =
      draw < workload.outlier_share ? workload.outlier_factor : 1;
  return static_cast<uint32_t>(
      std::max(1.0, workload.median_tokens * factor * std::exp(log_spread)));
}

double LowerBound(const Workload& workload) {
  double work = 0;
  double chain = 0;
  for (uint32_t trainer = 0; trainer < workload.trainers; ++trainer) {
    std::vector<double> chains(workload.open_ahead + 1);
    for (uint32_t step = 0; step < workload.steps; ++step) {
      uint32_t longest = 0;
      for (uint32_t sample = 0; sample < workload.samples; ++sample) {
        const auto tokens = SampleTokens(workload, trainer, step, sample);
        work += tokens;
        longest = std::max(longest, tokens);
      }
      auto& own_chain = chains[step % chains.size()];
      own_chain += longest;
      chain = std::max(chain, own_chain);
    }
  }
  const auto rate =
      workload.slots / (1 + workload.slowdown * (workload.slots - 1));
  return std::max(work / (workload.engines * rate), chain);
}

template <DispatchPolicy Policy>
DispatchFake<Policy>::DispatchFake(const Workload& workload, Policy policy)
    : workload_(workload),
      ledger_(policy),
      engines_(workload.engines),
      trainers_(workload.trainers) {
  Manifest manifest;
  manifest.pools["pool"].weights_version = 1;
  for (size_t trainer = 0; trainer < trainers_.size(); ++trainer) {
    auto& declared = manifest.trainers[IndexedName("trainer", trainer)];
    declared.pool = "pool";
    declared.weighting = workload.weighting;
  }
  ledger_.Configure(manifest);
}

template <DispatchPolicy Policy>
Result DispatchFake<Policy>::Run() {
  double next_poll = 0;
  while (!Done()) {
    if (now_ >= next_poll) {
      for (size_t trainer = 0; trainer < trainers_.size(); ++trainer) {
        CompleteTraining(trainer);
        OpenSteps(trainer);
        FetchSamples(trainer);
      }
      for (size_t engine = 0; engine < engines_.size(); ++engine) {
        PullSamples(engine);
      }
      next_poll = now_ + kPollPeriod;
    }
    AdvanceTo(std::min(next_poll, NextEvent()));
    for (size_t engine = 0; engine < engines_.size(); ++engine) {
      RecordFinished(engine);
    }
  }
  result_.idle_ratio = (now_ - workload_.train_time * (workload_.steps - 1)) /
                       LowerBound(workload_);
  result_.staleness_mean =
      staleness_sum_ / static_cast<double>(delivered_samples_);
  result_.wasted_tokens =
      std::max(0.0, 1 - delivered_tokens_ / generated_tokens_);
  return result_;
}

template <DispatchPolicy Policy>
std::string DispatchFake<Policy>::IndexedName(const char* kind, size_t index) {
  return fmt::format("{}-{}", kind, index);
}

template <DispatchPolicy Policy>
double DispatchFake<Policy>::StreamRate(size_t streams) const {
  return 1 / (1 + workload_.slowdown * (static_cast<double>(streams) - 1));
}

template <DispatchPolicy Policy>
double DispatchFake<Policy>::NextEvent() const {
  auto next = std::numeric_limits<double>::max();
  for (const auto& engine : engines_) {
    const auto rate = StreamRate(engine.streams.size());
    for (const auto& stream : engine.streams) {
      const auto remaining = stream.prefill + stream.total - stream.done;
      next = std::min(next, now_ + remaining / rate);
    }
  }
  return next;
}

// Streams keep generating while weights load. Only the version of the engine
// changes, at `weights_ready_at`.
template <DispatchPolicy Policy>
void DispatchFake<Policy>::AdvanceTo(double time) {
  for (auto& engine : engines_) {
    const auto token_budget = (time - now_) * StreamRate(engine.streams.size());
    for (auto& stream : engine.streams) {
      const auto prefilled = std::min(stream.prefill, token_budget);
      stream.prefill -= prefilled;
      stream.done += token_budget - prefilled;
      generated_tokens_ += token_budget - prefilled;
    }
    if (engine.weights_ready_at >= 0 && time >= engine.weights_ready_at) {
      engine.version = engine.next_version;
      engine.weights_ready_at = -1;
    }
  }
  now_ = time;
}

template <DispatchPolicy Policy>
void DispatchFake<Policy>::RecordFinished(size_t index) {
  auto& engine = engines_[index];
  bool any_finished = false;
  for (size_t position = 0; position < engine.streams.size();) {
    const auto& stream = engine.streams[position];
    if (stream.done + 1e-6 < stream.total) {
      ++position;
      continue;
    }
    wire::SampleRecord record;
    const auto& assignment = stream.assignment;
    record.set_holder(IndexedName("holder", index));
    record.set_trainer(assignment.trainer());
    record.set_step(assignment.step());
    record.set_sample(assignment.sample());
    record.set_epoch(assignment.epoch());
    record.set_tokens(static_cast<uint32_t>(stream.total));
    *record.mutable_ranges() = assignment.partial_ranges();
    if (assignment.partial_tokens() < record.tokens()) {
      auto& range = *record.add_ranges();
      range.set_version(stream.version);
      range.set_first_token(assignment.partial_tokens());
      range.set_end_token(record.tokens());
    }
    record.set_digest(ContentDigest(""));
    ledger_.Apply(record);
    engine.streams.erase(engine.streams.begin() + static_cast<long>(position));
    any_finished = true;
  }
  if (any_finished) {
    PullSamples(index);
  }
}

template <DispatchPolicy Policy>
void DispatchFake<Policy>::PullSamples(size_t index) {
  auto& engine = engines_[index];
  wire::SampleTake take;
  take.set_holder(IndexedName("holder", index));
  take.set_engine(IndexedName("engine", index));
  take.set_pool("pool");
  take.set_engine_version(engine.version);
  take.set_count(workload_.slots -
                 static_cast<uint32_t>(engine.streams.size()));
  take.set_pull(++last_pull_);
  for (const auto& stream : engine.streams) {
    auto& progress = *take.add_progress();
    progress.set_epoch(stream.assignment.epoch());
    progress.set_tokens(static_cast<uint32_t>(stream.done));
  }
  const auto taken = ledger_.Apply(take);
  for (const auto& assignment : taken.assignments()) {
    const auto trainer =
        static_cast<uint32_t>(std::stoul(assignment.trainer().substr(8)));
    const auto step =
        static_cast<uint32_t>(std::stoul(assignment.step().substr(5)));
    const double tokens_done = assignment.partial_tokens();
    const auto total =
        SampleTokens(workload_, trainer, step, assignment.sample());
    engine.streams.push_back({assignment, static_cast<double>(total),
                              tokens_done, tokens_done * kPrefillCostPerToken,
                              engine.version});
  }
  for (const auto epoch : taken.give_back()) {
    Migrate(index, epoch);
  }
}

template <DispatchPolicy Policy>
void DispatchFake<Policy>::Migrate(size_t index, uint64_t epoch) {
  auto& streams = engines_[index].streams;
  const auto found = std::find_if(
      streams.begin(), streams.end(),
      [&](const auto& stream) { return stream.assignment.epoch() == epoch; });
  if (found == streams.end()) {
    return;
  }
  const auto& assignment = found->assignment;
  wire::SampleReturn command;
  command.set_holder(IndexedName("holder", index));
  command.set_trainer(assignment.trainer());
  command.set_step(assignment.step());
  command.set_sample(assignment.sample());
  command.set_epoch(epoch);
  const auto tokens_done = static_cast<uint32_t>(found->done);
  command.set_partial_tokens(tokens_done);
  *command.mutable_partial_ranges() = assignment.partial_ranges();
  if (assignment.partial_tokens() < tokens_done) {
    auto& range = *command.add_partial_ranges();
    range.set_version(found->version);
    range.set_first_token(assignment.partial_tokens());
    range.set_end_token(tokens_done);
  }
  ledger_.Apply(command);
  streams.erase(found);
  ++result_.moves;
}

template <DispatchPolicy Policy>
void DispatchFake<Policy>::OpenSteps(size_t index) {
  auto& trainer = trainers_[index];
  while (trainer.opened_steps < workload_.steps &&
         trainer.opened_steps <=
             trainer.completed_steps + workload_.open_ahead &&
         (trainer.training_ends_at < 0 || workload_.open_ahead > 0)) {
    wire::StepOpen open;
    open.set_trainer(IndexedName("trainer", index));
    open.set_step(IndexedName("step", trainer.opened_steps++));
    open.set_pool("pool");
    open.set_max_staleness(workload_.max_staleness);
    open.set_at_version(trainer.at_version);
    for (uint32_t group = 0;
         group * workload_.group_samples < workload_.samples; ++group) {
      auto& added = *open.add_groups();
      added.set_prompt(fmt::format("{}/{}", index, group));
      added.set_samples(workload_.group_samples);
    }
    ledger_.Apply(open);
  }
}

template <DispatchPolicy Policy>
void DispatchFake<Policy>::FetchSamples(size_t index) {
  auto& trainer = trainers_[index];
  if (trainer.completed_steps == workload_.steps ||
      trainer.training_ends_at >= 0) {
    return;
  }
  for (bool has_more = true; has_more;) {
    wire::StepFetch fetch;
    fetch.set_trainer(IndexedName("trainer", index));
    fetch.set_step(IndexedName("step", trainer.completed_steps));
    fetch.set_after(trainer.last_fetched_sequence);
    fetch.set_at_version(trainer.at_version);
    const auto delivery = ledger_.Apply(fetch);
    for (const auto& sample : delivery.samples()) {
      trainer.last_fetched_sequence = sample.sequence();
      delivered_tokens_ += sample.tokens();
      ++delivered_samples_;
      const auto oldest = OldestVersion(sample.ranges());
      staleness_sum_ += trainer.at_version > oldest
                            ? static_cast<double>(trainer.at_version - oldest)
                            : 0;
    }
    has_more = delivery.samples_size() > 0;
    result_.remade += delivery.complete() ? delivery.remade() : 0;
    if (delivery.complete()) {
      ++trainer.completed_steps;
      trainer.last_fetched_sequence = 0;
      trainer.training_ends_at = trainer.completed_steps < workload_.steps
                                     ? now_ + workload_.train_time
                                     : -1;
    }
  }
}

// Publishes the new version, which the engines load one after the other.
template <DispatchPolicy Policy>
void DispatchFake<Policy>::CompleteTraining(size_t index) {
  auto& trainer = trainers_[index];
  if (trainer.training_ends_at < 0 || now_ < trainer.training_ends_at) {
    return;
  }
  trainer.training_ends_at = -1;
  trainer.at_version = ++latest_version_;
  wire::VersionPublish publish;
  publish.set_pool("pool");
  publish.set_version(latest_version_);
  ledger_.Apply(publish);
  for (size_t engine = 0; engine < engines_.size(); ++engine) {
    engines_[engine].next_version = latest_version_;
    engines_[engine].weights_ready_at =
        now_ + kWeightsLoadTime * static_cast<double>(engine + 1);
  }
}

template <DispatchPolicy Policy>
bool DispatchFake<Policy>::Done() const {
  return std::all_of(trainers_.begin(), trainers_.end(),
                     [&](const auto& trainer) {
                       return trainer.completed_steps == workload_.steps;
                     });
}

template class DispatchFake<FifoDispatch>;
template class DispatchFake<WeightedDispatch>;

}  // namespace limpethatch::benchmark
