#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpethatch/version/fleet_ledger.h"
#include "limpethatch/version/job_ledger.h"
#include "limpethatch/version/sample_scheduler.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::JobSubmit ScoredJob(const std::string& job,
                          int samples,
                          const std::string& path = "/score") {
  wire::JobSubmit submit;
  submit.set_job(job);
  for (int i = 0; i < samples; ++i) {
    wire::JobSample& sample = *submit.add_samples();
    sample.set_id("s" + std::to_string(i));
    sample.set_body("body");
    sample.mutable_reward_call()->set_id("r" + std::to_string(i));
    sample.mutable_reward_call()->set_host("trial.example");
    sample.mutable_reward_call()->set_path(path);
  }
  return submit;
}

wire::SamplesAdvance TextOf(const std::string& job,
                            uint32_t sample,
                            wire::SampleState state) {
  wire::SamplesAdvance advances;
  wire::SampleAdvance& advance = *advances.add_advances();
  advance.set_job(job);
  advance.set_sample(sample);
  advance.add_events("text");
  advance.set_state(state);
  return advances;
}

wire::SamplesAdvance ScoreOf(const std::string& job,
                             uint32_t sample,
                             const std::string& score) {
  wire::SamplesAdvance advances;
  wire::SampleAdvance& advance = *advances.add_advances();
  advance.set_job(job);
  advance.set_sample(sample);
  advance.set_score(score);
  return advances;
}

JobLedger Restored(const JobLedger& ledger) {
  wire::FleetSnapshot snapshot;
  ledger.Save(&snapshot);
  JobLedger restored;
  restored.Load(snapshot);
  return restored;
}

}  // namespace

Test(scored_samples, a_sample_is_listed_only_with_its_score) {
  JobLedger ledger;
  ledger.Apply(ScoredJob("job", 1));
  ledger.Apply(TextOf("job", 0, wire::SAMPLE_COMPLETED));
  cr_assert(ledger.Page("job", 0).results().empty());
  cr_assert(ledger.unscored().contains({"job", 0}));
  cr_assert(ledger.Body("job", "s0").known());
  JobLedger restored = Restored(ledger);
  cr_assert(restored.unscored() == ledger.unscored());
  for (JobLedger* each : {&ledger, &restored}) {
    each->Apply(ScoreOf("job", 0, "stamp"));
    const wire::JobPage page = each->Page("job", 0);
    cr_assert(page.results_size() == 1);
    cr_assert(page.results(0).state() == wire::SAMPLE_COMPLETED);
    cr_assert(page.results(0).text() == "text");
    cr_assert(page.results(0).score() == "stamp");
    cr_assert(each->unscored().empty());
  }
}

// A call of an earlier leader may be answered before this leader has the text.
Test(scored_samples, a_score_before_the_whole_text_is_ignored) {
  JobLedger ledger;
  ledger.Apply(ScoredJob("job", 1));
  ledger.Apply(TextOf("job", 0, wire::SAMPLE_OPEN));
  ledger.Apply(ScoreOf("job", 0, "early"));
  cr_assert(ledger.Page("job", 0).results().empty());
  wire::SamplesAdvance rest = TextOf("job", 0, wire::SAMPLE_COMPLETED);
  rest.mutable_advances(0)->set_after_event(1);
  ledger.Apply(rest);
  cr_assert(ledger.Page("job", 0).results().empty());
}

Test(scored_samples, the_first_score_stands) {
  JobLedger ledger;
  ledger.Apply(ScoredJob("job", 1));
  ledger.Apply(TextOf("job", 0, wire::SAMPLE_COMPLETED));
  ledger.Apply(ScoreOf("job", 0, "first"));
  ledger.Apply(ScoreOf("job", 0, "second"));
  cr_assert(ledger.Page("job", 0).results_size() == 1);
  cr_assert(ledger.Page("job", 0).results(0).score() == "first");
}

Test(scored_samples, failed_calls_are_counted_until_the_sample_is_dead) {
  JobLedger ledger;
  ledger.Apply(ScoredJob("job", 1));
  ledger.Apply(TextOf("job", 0, wire::SAMPLE_COMPLETED));
  wire::SamplesAdvance failure;
  failure.add_advances()->set_job("job");
  failure.mutable_advances(0)->set_score_failures(1);
  ledger.Apply(failure);
  ledger = Restored(ledger);
  ledger.Apply(failure);
  cr_assert(ledger.Find("job")->samples[0].score_failures == 2);
  failure.mutable_advances(0)->set_state(wire::SAMPLE_DEAD);
  ledger.Apply(failure);
  cr_assert(ledger.Page("job", 0).results(0).state() == wire::SAMPLE_DEAD);
  cr_assert(ledger.Page("job", 0).results(0).score().empty());
  cr_assert(ledger.unscored().empty());
}

Test(scored_samples, a_carried_sample_keeps_the_score_of_the_same_call) {
  JobLedger ledger;
  ledger.Apply(ScoredJob("first", 3));
  ledger.Apply(TextOf("first", 0, wire::SAMPLE_COMPLETED));
  ledger.Apply(ScoreOf("first", 0, "stamp"));
  ledger.Apply(TextOf("first", 1, wire::SAMPLE_COMPLETED));
  wire::JobEnd end;
  end.set_job("first");
  ledger.Apply(end);
  cr_assert(ledger.unscored().empty());

  ledger.Apply(ScoredJob("same", 3));
  cr_assert(ledger.Page("same", 0).results_size() == 1);
  cr_assert(ledger.Page("same", 0).results(0).score() == "stamp");
  // The text that had no score yet is not generated again.
  cr_assert(ledger.unscored().size() == 1 &&
            ledger.unscored().contains({"same", 1}));

  ledger.Apply(ScoredJob("other-call", 3, "/other"));
  cr_assert(ledger.Page("other-call", 0).results().empty());
  cr_assert(ledger.unscored().contains({"other-call", 0}));
}

// Only the score is missing, so no engine gets the sample.
Test(scored_samples, a_sample_with_whole_text_is_not_run) {
  JobLedger ledger;
  wire::JobSubmit submit = ScoredJob("job", 2);
  submit.set_service("coach");
  submit.set_model("model");
  ledger.Apply(submit);
  ledger.Apply(TextOf("job", 0, wire::SAMPLE_COMPLETED));
  SampleScheduler scheduler;
  wire::TargetRecord record;
  record.set_id("engine");
  record.set_service("coach");
  record.set_slots(8);
  record.set_address("127.0.0.1:1");
  wire::ModelWeights& weights = *record.add_weights();
  weights.set_model("model");
  weights.set_version(1);
  scheduler.engine_table().Announce(record);
  const SamplePlan plan = scheduler.Plan(ledger, Clock::now());
  cr_assert(plan.starts.size() == 1);
  cr_assert(plan.starts[0].key.index == 1);
}

// Replicas of an earlier build ignore reward calls, also those that they have
// stored, so one of this build must not wait for scores beside them.
Test(scored_samples, reward_calls_count_only_in_the_log_format_that_has_them) {
  FleetLedger earlier_format;
  FleetLedger scored_format;
  wire::CommandResult result;
  wire::Command raise;
  raise.mutable_log_format_raise()->set_format(
      static_cast<uint32_t>(LogFormat::kScoredSamples));
  scored_format.Apply(raise, &result);
  wire::Command submit;
  *submit.mutable_job_submit() = ScoredJob("job", 1);
  wire::Command text;
  *text.mutable_samples_advance() = TextOf("job", 0, wire::SAMPLE_COMPLETED);
  for (FleetLedger* ledger : {&earlier_format, &scored_format}) {
    ledger->Apply(submit, &result);
    ledger->Apply(text, &result);
  }
  cr_assert(earlier_format.jobs().Page("job", 0).results_size() == 1);
  cr_assert(scored_format.jobs().Page("job", 0).results().empty());

  // As an earlier build, which keeps fields that it does not know, saves it.
  wire::FleetSnapshot snapshot;
  wire::JobSnapshot& saved = *snapshot.add_jobs();
  *saved.mutable_submit() = ScoredJob("job", 1);
  saved.add_samples();
  FleetLedger restored;
  cr_assert(restored.Restore(
      {std::make_shared<const std::string>(snapshot.SerializeAsString())}));
  restored.Apply(text, &result);
  cr_assert(restored.jobs().Page("job", 0).results_size() == 1);
}

Test(scored_samples, the_log_format_survives_a_snapshot_and_never_decreases) {
  FleetLedger ledger;
  wire::CommandResult result;
  wire::Command raise;
  raise.mutable_log_format_raise()->set_format(1);
  ledger.Apply(raise, &result);
  raise.mutable_log_format_raise()->set_format(0);
  ledger.Apply(raise, &result);
  FleetLedger restored;
  cr_assert(restored.Restore(ledger.Snapshot()));
  cr_assert(restored.log_format() == LogFormat::kScoredSamples);
}

// Leaders crash between text, call, answer and record, and answers come late,
// twice or to a leader that knows less. Whatever is recorded in whatever order,
// a listed result never changes, is whole, and has a score of its own call.
Test(scored_samples, results_are_whole_and_never_change_in_any_order) {
  cr_assert(rc::check("scored results are whole and never change", [] {
    constexpr int kSamples = 3;
    JobLedger ledger;
    ledger.Apply(ScoredJob("job", kSamples));
    std::map<std::string, std::string> listed;  // By id.
    std::vector<std::string> positions;
    const auto steps = *rc::gen::container<std::vector<uint8_t>>(
        rc::gen::inRange<uint8_t>(0, 60));
    for (const uint8_t step : steps) {
      const uint32_t sample = step % kSamples;
      wire::SamplesAdvance advances;
      wire::SampleAdvance& advance = *advances.add_advances();
      advance.set_job("job");
      advance.set_sample(sample);
      const uint32_t recorded =
          ledger.Find("job")->samples[sample].output.events;
      switch (step / kSamples % 6) {
        case 0:  // An event, also one that another leader recorded.
          advance.set_after_event(step % 2 == 0 ? recorded : 0);
          advance.add_events("e" + std::to_string(advance.after_event()));
          break;
        case 1:  // The last of three events.
          advance.set_after_event(recorded);
          if (recorded == 2) {
            advance.add_events("e2");
            advance.set_state(wire::SAMPLE_COMPLETED);
          }
          break;
        case 2:
          advance.set_score("score-" + std::to_string(sample));
          break;
        case 3:
          advance.set_discard(true);
          break;
        case 4:
          advance.set_score_failures(1);
          break;
        default:  // Restart from a snapshot.
          ledger = Restored(ledger);
          continue;
      }
      ledger.Apply(advances);
      const wire::JobPage page = ledger.Page("job", 0);
      for (int i = 0; i < page.results_size(); ++i) {
        const wire::JobResult& result = page.results(i);
        RC_ASSERT(result.text() == "e0\ne1\ne2");
        RC_ASSERT(result.score() == "score-" + result.id().substr(1));
        if (static_cast<size_t>(i) == positions.size()) {
          RC_ASSERT(listed.emplace(result.id(), result.text()).second);
          positions.push_back(result.id());
        }
        RC_ASSERT(positions.at(static_cast<size_t>(i)) == result.id());
      }
      RC_ASSERT(static_cast<size_t>(page.results_size()) == positions.size());
      for (const SampleKey& key : ledger.unscored()) {
        RC_ASSERT(ledger.Find("job")->samples[key.index].AwaitsScore());
      }
    }
  }));
}

}  // namespace limpethatch
