// Pulls samples for the engines that this instance looks after, runs them,
// and records what they become.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_RUNNER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limpethatch/process/timer_service.h"
#include "limpethatch/request/live_reserve.h"
#include "programs/entry/engine_reporter.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/rollout_attempt.h"

namespace limpethatch {

class CompletionStream;

class RolloutRunner {
 public:
  // Whether this instance looks after the engine of that id.
  using OwnsEngine = std::function<bool(const Target& engine)>;

  RolloutRunner(EntryContext& context,
                OwnsEngine owns_engine,
                EngineReporter& reporter);
  ~RolloutRunner();

  // Pulls whenever an engine has free slots, from now on.
  void Start(TimerService& timers);

  // Attempts that run or wait to be recorded.
  size_t unfinished_attempts() const;

  // A planned stop: pulls nothing more and gives back what runs.
  void Drain();

 private:
  struct EngineState;
  using AttemptPtr = std::shared_ptr<RolloutAttempt>;

  void PullAll(TimePoint now);
  // The following need the lock held, but for Pull.
  void DropStaleAttempts();
  void PullIfDue(EngineState& state, uint32_t free, TimePoint now);
  wire::SampleTake MakePull(EngineState& state,
                            uint32_t count,
                            TimePoint now) const;
  void Pull(Yield yield,
            const RoutedTargetPtr& engine,
            const wire::Command& command);
  void OnTaken(EngineState& state,
               const RoutedTargetPtr& engine,
               const wire::SampleTake& take,
               const wire::SampleTaken& taken);
  std::vector<RoutedTargetPtr> OwnedEngines() const;
  // Stops rollouts in the way of live requests; the slots that are free for
  // more of them.
  uint32_t EnforceLiveReserve(const RoutedTarget& engine,
                              const EnginePool& pool,
                              TimePoint now);
  // Stops those that are given back with the least text, until `count` are.
  static void StopShortest(EngineState& state, uint32_t count);

  void RunAttempt(Yield yield, const AttemptPtr& attempt);
  // False if the attempt no longer counts.
  bool Submit(Yield yield,
              const RolloutAttempt& attempt,
              const wire::Command& command);
  void RecordSample(Yield yield, const RolloutAttempt& attempt);
  void ReturnSample(Yield yield,
                    const RolloutAttempt& attempt,
                    std::string_view reason);

  EntryContext& context_;
  const OwnsEngine owns_engine_;
  EngineReporter& reporter_;
  mutable std::mutex mutex_;
  std::map<std::string, EngineState> engines_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_RUNNER_H_
