// Which waiting sample an engine with a free slot gets.
//
// A policy is an immutable value that only reads views, so that every replica
// decides alike. FifoDispatch is the baseline.
#ifndef LIMPETHATCH_VERSION_DISPATCH_POLICY_H_
#define LIMPETHATCH_VERSION_DISPATCH_POLICY_H_

#include <concepts>
#include <cstdint>

#include "limpethatch/version/manifest.h"

namespace limpethatch {

struct SampleView {
  uint32_t index = 0;
  // Of the whole sample, as learned from its prompt and its group.
  double expected_tokens = 0;
  uint32_t partial_tokens = 0;  // Reached by an earlier attempt.
  // The first of a group of whose length nothing is known.
  bool probes_group = false;
  // Lengths of like samples were seen to be alike, so expectations tell.
  bool prompt_predicts_length = false;
};

struct StepView {
  uint64_t order = 0;       // Of opening.
  double virtual_time = 0;  // Of the trainer: service given over share.
  Weighting weighting = Weighting::kIdleTime;
  uint64_t max_staleness = 0;  // In versions.
  uint64_t at_version = 0;     // Of the trainer.
  uint32_t total = 0;          // Samples.
  uint32_t waiting = 0;
  uint32_t unrecorded = 0;  // Waiting or running.
  // Earlier steps of this trainer that are not whole yet.
  uint32_t steps_ahead = 0;
  uint32_t declines = 0;  // Since this step was last given a slot.
  // Pool tokens since the trainer's version rose, and per rise; 0: unknown.
  double tokens_since_version = 0;
  double tokens_per_version = 0;
  // Times that the trainer will have moved on before it asks for this step,
  // and versions that it moves on at a time.
  uint32_t pending_version_rises = 0;
  double versions_per_rise = 1;
};

struct PullView {
  uint64_t engine_version = 0;
  uint64_t pool_version = 0;         // As declared.
  uint32_t engine_attempts = 0;      // Attempts that the engine runs.
  uint32_t min_engine_attempts = 0;  // On the pool's emptiest engine.
  uint32_t engines = 0;              // Of the pool.
  uint32_t running = 0;              // Attempts in the pool.
  uint32_t waiting = 0;              // Samples in the pool.
  double long_threshold_tokens = 0;  // From here a length counts as long.
  uint32_t long_attempts = 0;        // In the pool, counted up to `engines`.
  // Of the engine's long attempts: the time that the rest of the step takes
  // over the time that the attempt takes yet, at the least.
  bool has_long = false;
  double min_slack = 0;
};

template <typename P>
concept DispatchPolicy = std::copyable<P> && requires(const P& policy,
                                                      const SampleView& sample,
                                                      const StepView& step,
                                                      const PullView& pull) {
  // Order within a step: the greatest goes first.
  { policy.Rank(sample) } -> std::same_as<double>;
  // Samples of a higher rank are not for this engine.
  { policy.MaxRank(pull) } -> std::same_as<double>;
  // A strict weak order of the steps that could be served.
  { policy.ServesBefore(step, step, pull) } -> std::same_as<bool>;
  // False to keep the sample for a better engine or moment.
  { policy.Accepts(step, sample, pull) } -> std::same_as<bool>;
  // Whether an attempt of the engine should go on elsewhere.
  { policy.ShouldMigrate(pull) } -> std::same_as<bool>;
};

// Steps and samples in the order in which they came.
struct FifoDispatch {
  double Rank(const SampleView& sample) const;
  double MaxRank(const PullView& pull) const;
  bool ServesBefore(const StepView& left,
                    const StepView& right,
                    const PullView& pull) const;
  bool Accepts(const StepView& step,
               const SampleView& sample,
               const PullView& pull) const;
  bool ShouldMigrate(const PullView& pull) const;
};

struct WeightedDispatchOptions {
  bool longest_first = true;
  // Give each engine one long sample before any gets a second.
  bool spread_long = true;
  bool fair_shares = true;
  bool predict_staleness = true;
  // Tail: nothing waits, or at most this share of a step is unrecorded.
  double tail_share = 0.05;
  // Lead in attempts over the emptiest engine at which one moves; 0: never.
  uint32_t migration_lead = 3;
  // Share of its speed that a stream loses to each neighbour; 0: none, so
  // that long attempts are not spared any.
  double concurrency_slowdown = 0.03;
  // Pulls, in rounds of all engines, that a sample is held back at most.
  uint32_t max_decline_rounds = 2;
};

// Options under which WeightedDispatch decides as FifoDispatch does, but for
// urgent steps of trainers that weigh staleness.
WeightedDispatchOptions FifoOptions();

// Weighted fair between trainers, longest expected first within a step, and
// moved by the weighting of the trainer.
class WeightedDispatch {
 public:
  explicit WeightedDispatch(WeightedDispatchOptions options = {});

  double Rank(const SampleView& sample) const;
  double MaxRank(const PullView& pull) const;
  bool ServesBefore(const StepView& left,
                    const StepView& right,
                    const PullView& pull) const;
  bool Accepts(const StepView& step,
               const SampleView& sample,
               const PullView& pull) const;
  bool ShouldMigrate(const PullView& pull) const;

 private:
  bool IsUrgent(const StepView& step, const PullView& pull) const;
  bool WouldExceedStaleness(const StepView& step,
                            const SampleView& sample,
                            const PullView& pull) const;
  bool WouldDelayLongAttempt(const PullView& pull) const;
  bool ShouldLeaveToEmptierEngine(const StepView& step,
                                  const PullView& pull) const;

  WeightedDispatchOptions options_;
};

static_assert(DispatchPolicy<FifoDispatch>);
static_assert(DispatchPolicy<WeightedDispatch>);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_DISPATCH_POLICY_H_
