// Replicated state of the trainers' steps, with their samples, attempts and
// deliveries.
//
// Deterministic: replicas that apply the same commands in the same order, with
// the same configuration in force, hold the same state. Each attempt at a
// sample has its own epoch, and only a live epoch may record a result; commands
// of an ended attempt are fenced. A sample is delivered under one sequence
// number until it is acknowledged. A sample that exceeds the staleness bound at
// its delivery is not sent but generated again.
#ifndef LIMPETHATCH_VERSION_STEP_LEDGER_H_
#define LIMPETHATCH_VERSION_STEP_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ledger.pb.h"
#include "limpethatch/version/dispatch_policy.h"
#include "limpethatch/version/gone_holders.h"
#include "limpethatch/version/length_table.h"
#include "limpethatch/version/manifest.h"
#include "snapshot.pb.h"

namespace limpethatch {

namespace internal {
class AttemptTable;
class OpenStep;
struct Attempt;
struct Group;
}  // namespace internal

// The state of a step as shown to operators and trainers.
struct StepStatus {
  uint32_t total = 0;
  uint32_t waiting = 0;
  uint32_t running = 0;
  uint32_t recorded = 0;  // Complete, not yet acknowledged.
  uint32_t acknowledged = 0;
  // Times that samples were dropped as too old and generated again, in total.
  uint32_t remade = 0;
  // The same for the sample with the most. From kBoundMissedRemakes on, the
  // staleness bound can't be met at the current pace of the trainer.
  uint32_t most_remakes = 0;
  bool complete = false;
};

inline constexpr uint32_t kBoundMissedRemakes = 3;

// The terms that an open step was opened with.
struct OpenStepTerms {
  std::string trainer;
  std::string step;
  std::string pool;
  uint64_t max_staleness = 0;
  std::string scorer;  // Empty if the step has none.
};

template <DispatchPolicy Policy>
class BasicStepLedger {
 public:
  // Completely acknowledged steps whose outcome is retained for resends.
  static constexpr size_t kMaxClosedSteps = 4'096;
  // Samples returned for a StepFetch that states no maximum.
  static constexpr uint32_t kDefaultFetchSamples = 64;

  explicit BasicStepLedger(Policy policy = Policy());
  BasicStepLedger(BasicStepLedger&&) noexcept;
  BasicStepLedger& operator=(BasicStepLedger&&) noexcept;
  ~BasicStepLedger();

  // Sets shares, weightings and declared versions. Must be called at the same
  // position of the log on every replica, and after Restore.
  void Configure(const Manifest& manifest);

  wire::StepOutcome Apply(const wire::StepOpen& command);
  wire::SampleTaken Apply(const wire::SampleTake& command);
  wire::SampleOutcome Apply(const wire::SampleRecord& command);
  wire::SampleOutcome Apply(const wire::SampleReturn& command);
  wire::StepDelivery Apply(const wire::StepFetch& command);
  wire::VersionOutcome Apply(const wire::VersionPublish& command);
  // A holder declared gone gets no further samples under the same name.
  void Apply(const wire::HolderGone& command);

  // True if the pull would be assigned nothing and reports nothing new. Apply
  // would only record its number, so that the command need not enter the log.
  bool IsNoOp(const wire::SampleTake& command) const;
  // The result of Apply if that would not change the state, because the step
  // is open and has nothing to deliver; nullopt in all other cases.
  std::optional<wire::StepDelivery> Peek(const wire::StepFetch& command) const;

  wire::StepLedgerSnapshot Snapshot() const;
  void Restore(const wire::StepLedgerSnapshot& snapshot);

  std::vector<std::string> PoolsWithWaitingSamples() const;
  uint64_t DeclaredVersion(const std::string& pool) const;
  // Steps that are not completely acknowledged, oldest first.
  std::vector<OpenStepTerms> OpenSteps() const;
  std::optional<StepStatus> Status(const std::string& trainer,
                                   const std::string& step) const;
  // Epochs of the holder's live attempts. Any other attempt is fenced and can
  // be stopped.
  std::vector<uint64_t> LiveEpochs(const std::string& holder) const;

 private:
  using StepName = std::pair<std::string, std::string>;  // Trainer, step.

  struct TrainerState {
    double share = 1;
    Weighting weighting = Weighting::kIdleTime;
    uint64_t at_version = 0;     // The trainer's current version.
    double virtual_time = 0;     // Charged tokens, divided by the share.
    uint64_t version_clock = 0;  // PoolState::tokens at the last version rise.
    double tokens_per_version = 0;   // Moving average; 0 if unknown.
    double versions_per_rise = 1;    // Moving average.
    uint32_t closed_since_rise = 0;  // Steps closed since the last rise.
    std::set<uint64_t> open;  // Orders of steps not completely acknowledged.
    std::set<uint64_t> unrecorded;  // Orders of steps with unrecorded samples.
  };
  struct PoolState {
    uint64_t version = 0;
    uint64_t tokens = 0;  // Recorded tokens; the clock of predictions.
    // Of the trainer served last. A trainer that had no unrecorded samples
    // starts from here, so that it gains no credit while it has none.
    double virtual_time = 0;
    LengthEstimate lengths;
    LengthSpread spread;
    // Ratio of actual to expected length of overdue samples.
    LengthEstimate overdue;
    uint32_t waiting = 0;                             // Samples.
    std::map<std::string, std::set<uint64_t>> steps;  // With waiting samples.
  };
  struct ClosedStep {
    std::string digest;
    uint32_t samples = 0;
    uint32_t remade = 0;
    uint64_t session = 0;
  };
  struct PullState {
    uint64_t pull = 0;
    std::vector<uint64_t> epochs;
  };
  struct Candidate {
    internal::OpenStep* step;
    StepView view;
  };

  internal::OpenStep* FindStep(const StepName& name) const;

  // Dispatch.
  std::optional<wire::SampleAssignment> Dispatch(
      const wire::SampleTake& command);
  std::vector<Candidate> Candidates(const PullView& pull,
                                    const std::string& pool) const;
  PullView ViewPull(const wire::SampleTake& command) const;
  static double MeanTokens(const PoolState& pool);
  static double OverdueRatio(const PoolState& pool);
  static double ExpectedLongestWaiting(const PoolState& pool,
                                       const PullView& view);
  StepView ViewStep(const internal::OpenStep& step) const;
  SampleView ViewSample(const internal::OpenStep& step, uint32_t index) const;
  wire::SampleAssignment Start(const wire::SampleTake& command,
                               internal::OpenStep& step,
                               uint32_t index);
  wire::SampleAssignment Assignment(const internal::OpenStep& step,
                                    const internal::Attempt& attempt) const;
  void UpdateProgress(const wire::SampleTake& command);
  void GiveBack(const wire::SampleTake& command, wire::SampleTaken& taken);

  // Samples.
  uint64_t OldestAllowedVersion(const internal::OpenStep& step) const;
  void Enqueue(internal::OpenStep& step, uint32_t index);
  void RerankGroup(internal::OpenStep& step, const internal::Group& group);
  void RerankPool(const std::string& pool);
  void LearnLength(internal::OpenStep& step,
                   uint32_t index,
                   uint32_t tokens,
                   uint64_t expected);
  void EndAttempt(uint64_t epoch, uint32_t tokens);
  void RaiseTrainerVersion(const std::string& trainer,
                           const std::string& pool,
                           uint64_t version);
  void EndStaleAttempts(const std::string& trainer);
  void UpdateWaitingIndex(const internal::OpenStep& step, uint32_t before);
  void UpdateUnrecordedIndex(const internal::OpenStep& step);
  static void FillCounts(const internal::OpenStep& step,
                         wire::StepDelivery& delivery);
  void Close(const StepName& name);
  void AddClosed(const StepName& name, ClosedStep closed);
  wire::StepDelivery DeliverClosed(const wire::StepFetch& command,
                                   ClosedStep& closed) const;
  void RestoreSteps(const wire::StepLedgerSnapshot& snapshot);

  Policy policy_;
  uint64_t last_epoch_ = 0;
  uint64_t last_order_ = 0;
  std::map<uint64_t, std::unique_ptr<internal::OpenStep>> steps_;  // By order.
  std::map<StepName, uint64_t> names_;
  std::map<StepName, ClosedStep> closed_;
  std::deque<StepName> closed_order_;  // Oldest first.
  std::map<std::string, TrainerState> trainers_;
  std::map<std::string, PoolState> pools_;
  std::map<std::pair<std::string, std::string>, PullState> pulls_;
  std::unique_ptr<internal::AttemptTable> attempts_;
  LengthTable lengths_;
  GoneHolders gone_holders_;
};

extern template class BasicStepLedger<FifoDispatch>;
extern template class BasicStepLedger<WeightedDispatch>;

using StepLedger = BasicStepLedger<WeightedDispatch>;

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_STEP_LEDGER_H_
