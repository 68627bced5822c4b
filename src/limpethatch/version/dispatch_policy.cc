#include "limpethatch/version/dispatch_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpethatch {
namespace {

// The first of an unknown group goes before what is known to be no longer than
// this many times the expected length.
constexpr double kProbeRankFactor = 2;

// Versions that tokens of the engine may still fall behind.
uint64_t VersionSlack(const StepView& step, const PullView& pull) {
  const auto reach = pull.engine_version + step.max_staleness;
  return reach > step.at_version ? reach - step.at_version : 0;
}

// How many versions the trainer is likely to move on before the sample ends:
// for each step that comes whole before, or as the clock of the pool's
// tokens foretells.
uint64_t ExpectedVersionRise(const StepView& step,
                             const SampleView& sample,
                             const PullView& pull) {
  auto drift = static_cast<uint64_t>(
      std::ceil(step.pending_version_rises * step.versions_per_rise));
  if (step.tokens_per_version > 0) {
    const auto left =
        std::max(0.0, sample.expected_tokens - sample.partial_tokens);
    const auto until_end = step.tokens_since_version + left * pull.running;
    drift = std::max(
        drift, static_cast<uint64_t>(until_end / step.tokens_per_version));
  }
  return drift;
}

}  // namespace

double FifoDispatch::Rank(const SampleView& sample) const {
  return -static_cast<double>(sample.index);
}

double FifoDispatch::MaxRank(const PullView& /*pull*/) const {
  return std::numeric_limits<double>::max();
}

bool FifoDispatch::ServesBefore(const StepView& left,
                                const StepView& right,
                                const PullView& /*pull*/) const {
  return left.order < right.order;
}

bool FifoDispatch::Accepts(const StepView& /*step*/,
                           const SampleView& /*sample*/,
                           const PullView& /*pull*/) const {
  return true;
}

bool FifoDispatch::ShouldMigrate(const PullView& /*pull*/) const {
  return false;
}

WeightedDispatchOptions FifoOptions() {
  return {.longest_first = false,
          .spread_long = false,
          .fair_shares = false,
          .predict_staleness = false,
          .tail_share = 0,
          .migration_lead = 0,
          .concurrency_slowdown = 0,
          .max_decline_rounds = 0};
}

WeightedDispatch::WeightedDispatch(WeightedDispatchOptions options)
    : options_(options) {}

// What has run for long is likely to run on for as long again.
double WeightedDispatch::Rank(const SampleView& sample) const {
  if (!options_.longest_first) {
    return -static_cast<double>(sample.index);
  }
  if (sample.probes_group) {
    return kProbeRankFactor * sample.expected_tokens;
  }
  if (!sample.prompt_predicts_length && sample.partial_tokens == 0) {
    return -static_cast<double>(sample.index);
  }
  const double reached = sample.partial_tokens;
  return std::max(sample.expected_tokens - reached, reached);
}

double WeightedDispatch::MaxRank(const PullView& pull) const {
  const bool spread = options_.longest_first && options_.spread_long &&
                      pull.has_long && pull.long_attempts < pull.engines;
  return spread ? pull.long_threshold_tokens
                : std::numeric_limits<double>::max();
}

bool WeightedDispatch::ServesBefore(const StepView& left,
                                    const StepView& right,
                                    const PullView& pull) const {
  const bool left_urgent = IsUrgent(left, pull);
  if (left_urgent != IsUrgent(right, pull)) {
    return left_urgent;
  }
  if (options_.fair_shares && left.virtual_time != right.virtual_time) {
    return left.virtual_time < right.virtual_time;
  }
  return left.order < right.order;
}

bool WeightedDispatch::Accepts(const StepView& step,
                               const SampleView& sample,
                               const PullView& pull) const {
  if (options_.predict_staleness && WouldExceedStaleness(step, sample, pull)) {
    return false;
  }
  if (WouldDelayLongAttempt(pull)) {
    return false;
  }
  return step.declines >= options_.max_decline_rounds * pull.engines ||
         !ShouldLeaveToEmptierEngine(step, pull);
}

bool WeightedDispatch::ShouldMigrate(const PullView& pull) const {
  return options_.migration_lead > 0 && pull.waiting == 0 &&
         pull.engine_attempts >=
             pull.min_engine_attempts + options_.migration_lead;
}

// Idle time: the last samples of a step free its trainer. Staleness: a step
// at the end of its bound, on an engine that can still meet it.
bool WeightedDispatch::IsUrgent(const StepView& step,
                                const PullView& pull) const {
  if (step.steps_ahead > 0) {
    return false;
  }
  if (step.weighting == Weighting::kStaleness) {
    return step.max_staleness > 0 && VersionSlack(step, pull) == 0;
  }
  return step.unrecorded <= options_.tail_share * step.total;
}

// On the newest weights and the trainer's first step there is no better start
// to wait for. A trainer that weighs staleness starts no step before the one
// ahead is whole: its samples would only grow old.
bool WeightedDispatch::WouldExceedStaleness(const StepView& step,
                                            const SampleView& sample,
                                            const PullView& pull) const {
  const bool newest = pull.engine_version >= pull.pool_version;
  if (step.steps_ahead == 0 &&
      (newest || step.declines >= options_.max_decline_rounds * pull.engines)) {
    return false;
  }
  if (step.steps_ahead > 0 && step.weighting == Weighting::kStaleness) {
    return true;
  }
  return VersionSlack(step, pull) < ExpectedVersionRise(step, sample, pull);
}

// A step is whole when its longest attempt ends, or the last of those that
// wait. An attempt that ends before may have as many neighbours as the time
// between allows; the one that ends last has none.
bool WeightedDispatch::WouldDelayLongAttempt(const PullView& pull) const {
  return pull.has_long && pull.engine_attempts > 0 &&
         pull.engine_attempts * options_.concurrency_slowdown >
             pull.min_slack - 1 &&
         options_.concurrency_slowdown > 0;
}

// While few samples wait, the emptier engines shall have them.
bool WeightedDispatch::ShouldLeaveToEmptierEngine(const StepView& step,
                                                  const PullView& pull) const {
  return pull.waiting < pull.engines && step.waiting > 0 &&
         pull.engine_attempts > pull.min_engine_attempts + 1;
}

}  // namespace limpethatch
