// Simulates engines and trainers around a step ledger on a manual clock to
// compare dispatch policies under a workload. The unit of time is one token of
// a stream that runs alone on its engine (for example 10 ms).
#ifndef LIMPETHATCH_BENCHMARKS_DISPATCH_FAKE_H_
#define LIMPETHATCH_BENCHMARKS_DISPATCH_FAKE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/version/step_ledger.h"

namespace limpethatch::benchmark {

struct Workload {
  uint64_t seed = 1;
  uint32_t engines = 9;
  uint32_t slots = 16;
  // Each concurrent stream on an engine adds this share of the time per token
  // of a stream that runs alone.
  double slowdown = 0.03;
  uint32_t trainers = 2;
  uint32_t steps = 1;       // Per trainer, in sequence.
  uint32_t open_ahead = 0;  // Steps opened before the current one is
                            // complete.
  uint32_t samples = 512;   // Per step.
  uint32_t group_samples = 8;
  double median_tokens = 200;
  double prompt_sigma = 0.5;  // Of ln(tokens), between prompts.
  double sample_sigma = 0.3;  // Of ln(tokens), within a group.
  double outlier_share = 0.02;
  double outlier_factor = 10;
  bool outliers_by_prompt = false;  // Outliers are whole groups, not
                                    // single samples.
  uint32_t max_staleness = 2;
  Weighting weighting = Weighting::kIdleTime;
  double train_time = 300;  // From a complete step to the next
                            // version.
};

struct Result {
  double idle_ratio = 0;
  double staleness_mean = 0;
  double remade = 0;         // Samples dropped as too old and generated again.
  double wasted_tokens = 0;  // Share of all generated tokens.
  double moves = 0;
};

// Length of a sample in tokens, derived from a hash of seed, trainer, step,
// group and sample. The prompts are the same in each step.
uint32_t SampleTokens(const Workload& workload,
                      uint32_t trainer,
                      uint32_t step,
                      uint32_t sample);

// Lower bound on the run time under any policy, training time excluded: the
// larger of all work at the engines' best rate and the longest chain of samples
// that depend on each other, each run alone.
double LowerBound(const Workload& workload);

template <DispatchPolicy Policy>
class DispatchFake {
 public:
  DispatchFake(const Workload& workload, Policy policy);

  Result Run();

 private:
  struct Stream {
    wire::SampleAssignment assignment;
    double total = 0;
    double done = 0;     // Tokens, including those of the partial.
    double prefill = 0;  // Remaining before the first new token.
    uint64_t version = 0;
  };
  struct Engine {
    std::vector<Stream> streams;
    uint64_t version = 1;
    double weights_ready_at = -1;  // When the next weights are loaded; -1:
                                   // no load in progress.
    uint64_t next_version = 0;
  };
  struct Trainer {
    uint32_t opened_steps = 0;
    uint32_t completed_steps = 0;
    uint64_t at_version = 1;
    uint64_t last_fetched_sequence = 0;
    double training_ends_at = -1;
  };

  static std::string IndexedName(const char* kind, size_t index);
  double StreamRate(size_t streams) const;
  void AdvanceTo(double time);
  double NextEvent() const;
  void RecordFinished(size_t engine);
  void PullSamples(size_t engine);
  void Migrate(size_t engine, uint64_t epoch);
  void OpenSteps(size_t trainer);
  void FetchSamples(size_t trainer);
  void CompleteTraining(size_t trainer);
  bool Done() const;

  Workload workload_;
  BasicStepLedger<Policy> ledger_;
  std::vector<Engine> engines_;
  std::vector<Trainer> trainers_;
  double now_ = 0;
  double generated_tokens_ = 0;
  double delivered_tokens_ = 0;
  double staleness_sum_ = 0;
  uint64_t delivered_samples_ = 0;
  uint64_t latest_version_ = 1;
  uint64_t last_pull_ = 0;
  Result result_;
};

extern template class DispatchFake<FifoDispatch>;
extern template class DispatchFake<WeightedDispatch>;

}  // namespace limpethatch::benchmark

#endif  // LIMPETHATCH_BENCHMARKS_DISPATCH_FAKE_H_
