// Pulls samples from the control group for the engines that this instance owns,
// runs them, and records the results.
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
  // Whether this instance pulls samples for the engine.
  using OwnsEngine = std::function<bool(const Target& engine)>;

  RolloutRunner(EntryContext& context,
                OwnsEngine owns_engine,
                EngineReporter& reporter);
  ~RolloutRunner();

  // Starts to pull samples whenever an owned engine has free slots.
  void Start(TimerService& timers);

  // Number of attempts that are running, or not yet recorded or returned.
  size_t unfinished_attempts() const;

  // Stops all attempts, so that their samples are returned. Pulling ends with
  // EntryContext::draining.
  void Drain();

 private:
  struct EngineState;
  using AttemptPtr = std::shared_ptr<RolloutAttempt>;

  void PullAll(TimePoint now);
  // DropStaleAttempts to StopShortest, except Pull and OwnedEngines, require
  // that mutex_ is held. The other functions lock it themselves if they need
  // it.
  void DropStaleAttempts();
  void PullIfDue(EngineState& state, uint32_t free_slots, TimePoint now);
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
  // Stops the rollouts that occupy slots reserved for live requests. Returns
  // the number of slots that are free for further rollouts.
  uint32_t EnforceLiveReserve(const RoutedTarget& engine,
                              const EnginePool& pool,
                              TimePoint now);
  // Stops the attempts with the fewest tokens, so that `count` are stopped in
  // total, including those that were stopped before and still run.
  static void StopShortest(EngineState& state, uint32_t count);

  void RunAttempt(Yield yield, const AttemptPtr& attempt);
  // Retries until the command is applied or the attempt is dropped. Returns
  // false if the ledger had already ended the attempt.
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
