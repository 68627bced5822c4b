// Prints what each dispatch policy makes of a step, of pipelined steps and of
// both weightings, and what one decision and one open sample cost.
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
void Print(const std::string& name, Load load, const Policy& policy) {
  Figures mean;
  std::string each;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    load.seed = seed;
    const auto figures = DispatchFake<Policy>(load, policy).Run();
    mean.idle_ratio += figures.idle_ratio / kSeeds;
    mean.staleness_mean += figures.staleness_mean / kSeeds;
    mean.wasted_tokens += figures.wasted_tokens / kSeeds;
    mean.remade += figures.remade / kSeeds;
    mean.moves += figures.moves / kSeeds;
    each += fmt::format(" {:.3f}", figures.idle_ratio);
  }
  fmt::print(
      "  {:<22} idle_ratio {:.3f} ({} ) staleness_mean {:.3f} remade {:.1f} "
      "wasted_tokens {:.4f} moves {:.0f}\n",
      name, mean.idle_ratio, each, mean.staleness_mean, mean.remade,
      mean.wasted_tokens, mean.moves);
}

void Compare(const std::string& title, const Load& load) {
  fmt::print("{}\n", title);
  Print("fifo (baseline)", load, FifoDispatch{});
  WeightedDispatchOptions options;
  options.migration_lead = 0;
  Print("weighted, no moves", load, WeightedDispatch(options));
  options = {};
  options.concurrency_slowdown = 0;
  Print("weighted, none quiet", load, WeightedDispatch(options));
  options = {};
  options.spread_long = false;
  Print("weighted, not spread", load, WeightedDispatch(options));
  options = {};
  options.longest_first = false;
  Print("weighted, in order", load, WeightedDispatch(options));
  Print("weighted", load, WeightedDispatch{});
}

wire::StepOpen BigStep(uint32_t index) {
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

wire::SampleRecord WholeRecord(const wire::SampleAssignment& assignment) {
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

// Opens `samples` in steps of 512, then pulls them one by one for 9 engines
// with 16 slots each.
template <DispatchPolicy Policy>
void Cost(const std::string& name, uint32_t samples) {
  const auto before = mallinfo2().uordblks;
  BasicStepLedger<Policy> ledger;
  for (uint32_t step = 0; step < samples / 512; ++step) {
    ledger.Apply(BigStep(step));
  }
  const auto bytes = mallinfo2().uordblks - before;
  Duration spent{};
  std::deque<wire::SampleRecord> running;
  for (uint32_t pull = 0; pull < samples; ++pull) {
    wire::SampleTake take;
    take.set_holder("holder");
    take.set_engine(fmt::format("engine-{}", pull % 9));
    take.set_pool("pool");
    take.set_count(1);
    const auto start = Clock::now();
    const auto taken = ledger.Apply(take);
    spent += Clock::now() - start;
    for (const auto& assignment : taken.assignments()) {
      running.push_back(WholeRecord(assignment));
    }
    if (running.size() >= 144) {
      ledger.Apply(running.front());
      running.pop_front();
    }
  }
  const std::chrono::duration<double, std::nano> nanoseconds = spent;
  fmt::print(
      "  {:<10} {:>6} samples: decision {:.0f} ns, {:.0f} bytes an open "
      "sample\n",
      name, samples, nanoseconds.count() / samples,
      static_cast<double>(bytes) / samples);
}

void CompareAll() {
  Load load;
  Compare("one step, prompts never seen", load);
  load.outliers_by_prompt = true;
  Compare("one step, whole groups run long", load);
  load = {};
  load.steps = 4;
  Compare("four steps, one after the other", load);
  load.open_ahead = 1;
  load.max_staleness = 4;
  Compare("four steps, the next one open ahead", load);
  load.weighting = Weighting::kStaleness;
  Compare("four steps, open ahead, weighting staleness", load);
  load = {};
  load.steps = 4;
  load.group_samples = 1;
  load.sample_sigma = 0;
  load.outliers_by_prompt = true;
  Compare("four steps, lengths given by the prompt", load);
  fmt::print("cost\n");
  for (const uint32_t samples : {512U, 5'120U, 51'200U}) {
    Cost<FifoDispatch>("fifo", samples);
    Cost<WeightedDispatch>("weighted", samples);
  }
}

}  // namespace
}  // namespace limpethatch::benchmark

int main() {
  limpethatch::benchmark::CompareAll();
}
