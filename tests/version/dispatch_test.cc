#include <cstdint>
#include <string>
#include <vector>

#include "limpethatch/process/digest.h"
#include "limpethatch/version/step_ledger.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// One pool at version 5, with trainers "a" (share 2) and "b" (share 1).
struct DispatchFixture {
  explicit DispatchFixture(Weighting weighting = Weighting::kIdleTime) {
    Manifest manifest;
    manifest.pools["pool"].weights_version = 5;
    manifest.trainers["a"].share = 2;
    manifest.trainers["a"].weighting = weighting;
    manifest.trainers["b"].share = 1;
    ledger.Configure(manifest);
  }

  void Open(const std::string& trainer,
            const std::string& step,
            const std::vector<std::string>& prompts,
            uint32_t samples) {
    wire::StepOpen open;
    open.set_trainer(trainer);
    open.set_step(step);
    open.set_pool("pool");
    open.set_at_version(5);
    open.set_max_staleness(1);
    for (const auto& prompt : prompts) {
      auto& group = *open.add_groups();
      group.set_prompt(prompt);
      group.set_samples(samples);
    }
    ledger.Apply(open);
  }

  std::vector<wire::SampleAssignment> Take(const std::string& engine,
                                           uint32_t count,
                                           uint64_t version = 5) {
    wire::SampleTake take;
    take.set_holder("holder");
    take.set_engine(engine);
    take.set_pool("pool");
    take.set_engine_version(version);
    take.set_count(count);
    const auto taken = ledger.Apply(take);
    return {taken.assignments().begin(), taken.assignments().end()};
  }

  void Record(const wire::SampleAssignment& assignment, uint32_t tokens) {
    wire::SampleRecord record;
    record.set_trainer(assignment.trainer());
    record.set_step(assignment.step());
    record.set_sample(assignment.sample());
    record.set_epoch(assignment.epoch());
    record.set_tokens(tokens);
    record.add_ranges()->set_end_token(tokens);
    record.mutable_ranges(0)->set_version(5);
    record.set_digest(ContentDigest(""));
    cr_assert(ledger.Apply(record).verdict() == wire::SampleOutcome::DONE);
  }

  wire::StepDelivery Fetch(const std::string& trainer,
                           const std::string& step,
                           uint64_t after,
                           uint64_t at_version = 5) {
    wire::StepFetch fetch;
    fetch.set_trainer(trainer);
    fetch.set_step(step);
    fetch.set_after(after);
    fetch.set_at_version(at_version);
    return ledger.Apply(fetch);
  }

  // Completes steps in which "long" samples take 4,000 tokens and all others
  // 100, until the ledger uses prompts to predict lengths.
  void TeachLengths() {
    for (uint32_t step = 0; step < LengthSpread::kMinPairs / 4; ++step) {
      const std::string name = std::to_string(step);
      Open("a", name, {"short", "long", "short 2", "short 3"}, 2);
      for (uint32_t recorded = 0; recorded < 8;) {
        for (const auto& assignment : Take("teacher", 8)) {
          Record(assignment, assignment.prompt() == "long" ? 4'000 : 100);
          ++recorded;
        }
      }
      Fetch("a", name, 0);
      cr_assert(Fetch("a", name, 8).complete());
    }
  }

  StepLedger ledger;
};

}  // namespace

Test(dispatch, slots_are_divided_by_trainer_share) {
  DispatchFixture fixture;
  fixture.Open("a", "s", std::vector<std::string>(30, "p"), 2);
  fixture.Open("b", "s", std::vector<std::string>(30, "p"), 2);
  uint32_t samples_of_a = 0;
  for (const auto& assignment : fixture.Take("engine", 30)) {
    samples_of_a += assignment.trainer() == "a" ? 1 : 0;
  }
  cr_assert(samples_of_a >= 19 && samples_of_a <= 21);
}

Test(dispatch, an_idle_trainer_accumulates_no_credit) {
  DispatchFixture fixture;
  fixture.Open("b", "s", std::vector<std::string>(60, "p"), 1);
  cr_assert(fixture.Take("engine", 30).size() == 30);
  fixture.Open("a", "s", std::vector<std::string>(60, "p"), 1);
  uint32_t samples_of_b = 0;
  for (const auto& assignment : fixture.Take("engine", 30)) {
    samples_of_b += assignment.trainer() == "b" ? 1 : 0;
  }
  cr_assert(samples_of_b >= 9 && samples_of_b <= 11);
}

Test(dispatch, samples_of_long_prompts_start_first_one_per_engine) {
  DispatchFixture fixture;
  fixture.TeachLengths();
  std::vector<std::string> prompts(100, "short");
  prompts.push_back("long");
  fixture.Open("a", "s", prompts, 2);
  const auto longest = [](const auto& taken) {
    uint32_t count = 0;
    for (const auto& assignment : taken) {
      count += assignment.prompt() == "long" ? 1 : 0;
    }
    return count;
  };
  const auto first = fixture.Take("engine-0", 4);
  cr_assert(first.size() == 4);
  cr_assert(longest(first) == 1);
  cr_assert(longest(fixture.Take("engine-1", 4)) == 1);
}

Test(dispatch, the_longest_attempt_of_a_step_runs_alone) {
  DispatchFixture fixture;
  fixture.TeachLengths();
  fixture.Open("a", "s", {"long", "short", "short 2"}, 1);
  cr_assert(fixture.Take("engine-0", 1)[0].prompt() == "long");
  cr_assert(fixture.Take("engine-0", 8).empty());
  cr_assert(fixture.Take("engine-1", 8).size() == 2);
}

Test(dispatch, an_engine_beyond_the_staleness_bound_gets_no_samples) {
  DispatchFixture fixture;
  fixture.Open("a", "s", {"p"}, 2);
  cr_assert(fixture.Take("old", 1, 3).empty());
  cr_assert(fixture.Take("new", 1, 5).size() == 1);
}

Test(dispatch, only_idle_time_weighting_starts_the_next_step_early) {
  for (const auto weighting : {Weighting::kIdleTime, Weighting::kStaleness}) {
    DispatchFixture fixture(weighting);
    fixture.Open("a", "one", {"p"}, 1);
    fixture.Open("a", "two", {"p"}, 1);
    const auto taken = fixture.Take("engine", 2);
    cr_assert(taken.size() == (weighting == Weighting::kIdleTime ? 2 : 1));
    fixture.Record(taken[0], 100);
    cr_assert(fixture.Take("engine", 2).size() == 2 - taken.size());
  }
}

Test(dispatch, partial_text_is_resumed_elsewhere_unless_it_is_too_old) {
  for (const uint64_t at_version : {6, 7}) {
    DispatchFixture fixture;
    fixture.Open("a", "s", {"p"}, 1);
    const auto taken = fixture.Take("engine", 1);
    wire::SampleReturn back;
    back.set_trainer("a");
    back.set_step("s");
    back.set_epoch(taken[0].epoch());
    back.set_partial_text("abc");
    back.set_partial_tokens(3);
    back.add_partial_ranges()->set_end_token(3);
    back.mutable_partial_ranges(0)->set_version(5);
    cr_assert(fixture.ledger.Apply(back).verdict() ==
              wire::SampleOutcome::DONE);
    fixture.Fetch("a", "s", 0, at_version);
    const auto again = fixture.Take("other", 1, at_version);
    cr_assert(again.size() == 1);
    cr_assert(again[0].partial_text() == (at_version == 6 ? "abc" : ""));
    cr_assert(again[0].oldest_version() == at_version - 1);
  }
}

Test(dispatch, an_attempt_ends_when_its_trainer_version_makes_it_too_old) {
  DispatchFixture fixture;
  fixture.Open("a", "s", {"p"}, 2);
  const auto taken = fixture.Take("engine", 2);
  fixture.Record(taken[0], 9);
  cr_assert(fixture.Fetch("a", "s", 0, 6).samples_size() == 1);
  cr_assert(fixture.ledger.LiveEpochs("holder").size() == 1);
  cr_assert(fixture.Fetch("a", "s", 0, 7).samples_size() == 0);
  cr_assert(fixture.ledger.LiveEpochs("holder").empty());
  cr_assert(fixture.ledger.Status("a", "s")->remade == 2);
}

Test(dispatch, an_attempt_unknown_to_its_holder_is_reassigned) {
  DispatchFixture fixture;
  fixture.Open("a", "s", {"p"}, 2);
  const auto known = fixture.Take("engine", 1);
  const auto lost = fixture.Take("engine", 1);
  wire::SampleTake take;
  take.set_holder("holder");
  take.set_engine("engine");
  take.set_pool("pool");
  take.set_engine_version(5);
  take.set_count(1);
  take.set_all_listed(true);
  take.add_progress()->set_epoch(known[0].epoch());
  const auto again = fixture.ledger.Apply(take);
  cr_assert(again.assignments_size() == 1);
  cr_assert(again.assignments(0).sample() == lost[0].sample());
  cr_assert(again.assignments(0).epoch() > lost[0].epoch());
  fixture.Record(known[0], 9);
}

}  // namespace limpethatch
