// Compares the dispatch policies on a single step, on pipelined steps and with
// both weightings, and measures the time per decision and the memory per open
// sample.
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <deque>
#include <string>

#include "fake/dispatch_fake.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/digest.h"

namespace limpethatch::benchmark {
namespace {

constexpr uint64_t kSeeds = 3;

struct Variant {
  std::string name;
  WeightedDispatchOptions options;
};

template <DispatchPolicy Policy>
void PrintMean(const std::string& name,
               Workload workload,
               const Policy& policy) {
  Result mean;
  std::string idle_ratios;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    workload.seed = seed;
    const auto result = DispatchFake<Policy>(workload, policy).Run();
    mean.idle_ratio += result.idle_ratio / kSeeds;
    mean.staleness_mean += result.staleness_mean / kSeeds;
    mean.wasted_tokens += result.wasted_tokens / kSeeds;
    mean.remade += result.remade / kSeeds;
    mean.moves += result.moves / kSeeds;
    idle_ratios += fmt::format(" {:.3f}", result.idle_ratio);
  }
  fmt::print(
      "  {:<22} idle_ratio {:.3f} ({} ) staleness_mean {:.3f} remade {:.1f} "
      "wasted_tokens {:.4f} moves {:.0f}\n",
      name, mean.idle_ratio, idle_ratios, mean.staleness_mean, mean.remade,
      mean.wasted_tokens, mean.moves);
}

void Compare(const std::string& title, const Workload& workload) {
  fmt::print("{}\n", title);
  PrintMean("fifo (baseline)", workload, FifoDispatch{});
  WeightedDispatchOptions options;
  options.migration_lead = 0;
  PrintMean("weighted, no moves", workload, WeightedDispatch(options));
  options = {};
  options.concurrency_slowdown = 0;
  PrintMean("weighted, none quiet", workload, WeightedDispatch(options));
  options = {};
  options.spread_long = false;
  PrintMean("weighted, not spread", workload, WeightedDispatch(options));
  options = {};
  options.longest_first = false;
  PrintMean("weighted, in order", workload, WeightedDispatch(options));
  PrintMean("weighted", workload, WeightedDispatch{});
}

wire::StepOpen MakeStepOpen(uint32_t index) {
  wire::StepOpen open;
  open.set_trainer("trainer");
  open.set_step(std::to_string(index));
  open.set_pool("pool");
  open.set_max_staleness(1000);
  for (uint32_t group = 0; group < 64; ++group) {
    auto& added = *open.add_groups();
    added.set_prompt(fmt::format("prompt {} of step {}", group, index));
    added.set_samples(8);
  }
  return open;
}

wire::SampleRecord CompleteRecord(const wire::SampleAssignment& assignment) {
  wire::SampleRecord record;
  record.set_trainer(assignment.trainer());
  record.set_step(assignment.step());
  record.set_sample(assignment.sample());
  record.set_epoch(assignment.epoch());
  record.set_tokens(200);
  record.add_ranges()->set_end_token(200);
  record.set_digest(ContentDigest(""));
  return record;
}

// Opens `samples` samples in steps of 512, then pulls them one by one for 9
// engines with 16 slots each.
template <DispatchPolicy Policy>
void MeasureCost(const std::string& name, uint32_t samples) {
  const auto before = mallinfo2().uordblks;
  BasicStepLedger<Policy> ledger;
  for (uint32_t step = 0; step < samples / 512; ++step) {
    ledger.Apply(MakeStepOpen(step));
  }
  const auto bytes = mallinfo2().uordblks - before;
  Duration decision_time{};
  std::deque<wire::SampleRecord> attempts;
  for (uint32_t pull = 0; pull < samples; ++pull) {
    wire::SampleTake take;
    take.set_holder("holder");
    take.set_engine(fmt::format("engine-{}", pull % 9));
    take.set_pool("pool");
    take.set_count(1);
    const auto start = Clock::now();
    const auto taken = ledger.Apply(take);
    decision_time += Clock::now() - start;
    for (const auto& assignment : taken.assignments()) {
      attempts.push_back(CompleteRecord(assignment));
    }
    if (attempts.size() >= 144) {
      ledger.Apply(attempts.front());
      attempts.pop_front();
    }
  }
  const std::chrono::duration<double, std::nano> nanoseconds = decision_time;
  fmt::print(
      "  {:<10} {:>6} samples: decision {:.0f} ns, {:.0f} bytes an open "
      "sample\n",
      name, samples, nanoseconds.count() / samples,
      static_cast<double>(bytes) / samples);
}

void CompareAll() {
  Workload workload;
  Compare("one step, prompts never seen", workload);
  workload.outliers_by_prompt = true;
  Compare("one step, whole groups run long", workload);
  workload = {};
  workload.steps = 4;
  Compare("four steps, one after the other", workload);
  workload.open_ahead = 1;
  workload.max_staleness = 4;
  Compare("four steps, the next one open ahead", workload);
  workload.weighting = Weighting::kStaleness;
  Compare("four steps, open ahead, weighting staleness", workload);
  workload = {};
  workload.steps = 4;
  workload.group_samples = 1;
  workload.sample_sigma = 0;
  workload.outliers_by_prompt = true;
  Compare("four steps, lengths given by the prompt", workload);
  fmt::print("cost\n");
  for (const uint32_t samples : {512U, 5'120U, 51'200U}) {
    MeasureCost<FifoDispatch>("fifo", samples);
    MeasureCost<WeightedDispatch>("weighted", samples);
  }
}

}  // namespace
}  // namespace limpethatch::benchmark

int main() {
  limpethatch::benchmark::CompareAll();
}
