#include "limpethatch/request/ledgers.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using wire::ManifestOutcome;

TestSuite(ledgers);

constexpr const char* kBefore = R"({
  "pools": {"coach-llm": {"weights_version": 1}},
  "services": {"refill-api": {}},
  "trainers": {"coach": {"pool": "coach-llm", "max_staleness": 2}}})";
constexpr const char* kTighter = R"({
  "pools": {"coach-llm": {"weights_version": 1}},
  "services": {"refill-api": {}},
  "trainers": {"coach": {"pool": "coach-llm", "max_staleness": 0}}})";
constexpr const char* kWithoutPool = R"({"services": {"refill-api": {}}})";

struct Fixture {
  Fixture() {
    cr_assert_eq(Change("first", kBefore, false).verdict(),
                 ManifestOutcome::ACCEPTED);
    wire::Command command;
    wire::StepOpen* open = command.mutable_step_open();
    open->set_trainer("coach");
    open->set_step("step-1");
    open->set_pool("coach-llm");
    open->set_max_staleness(2);
    open->set_max_tokens(8);
    open->add_groups()->set_samples(1);
    ledgers.Apply(command);
  }

  ManifestOutcome Change(const char* id, const char* text, bool allow) {
    wire::Command command;
    wire::ManifestApply* apply = command.mutable_manifest_apply();
    apply->set_expect_version(ledgers.manifest().version());
    apply->set_change_id(id);
    apply->set_manifest(text);
    apply->set_allow_disruption(allow);
    return ledgers.Apply(command).manifest();
  }

  Ledgers ledgers;
};

Test(ledgers, a_change_that_breaks_an_open_step_is_refused_with_the_reasons) {
  Fixture fixture;
  const ManifestOutcome refused = fixture.Change("drop", kWithoutPool, false);
  cr_expect_eq(refused.verdict(), ManifestOutcome::DISRUPTIVE);
  cr_expect_eq(refused.version(), 1U);
  cr_assert_eq(refused.disruptions_size(), 2);
  cr_expect_eq(refused.disruptions(0),
               "pool \"coach-llm\" is removed, but step \"step-1\" of "
               "\"coach\" is open");
  cr_expect_eq(fixture.ledgers.manifest().version(), 1U);
  // Repeating the change gives the same answer, also after a restore.
  Ledgers restored;
  cr_assert(restored.Restore(fixture.ledgers.Snapshot()));
  fixture.ledgers = std::move(restored);
  cr_expect(fixture.Change("drop", kWithoutPool, false).repeated());
  cr_expect_eq(fixture.Change("drop", kWithoutPool, true).verdict(),
               ManifestOutcome::CHANGE_ID_REUSED);
}

Test(ledgers, a_change_that_allows_disruption_is_accepted_and_reports_it) {
  Fixture fixture;
  const ManifestOutcome accepted = fixture.Change("drop", kWithoutPool, true);
  cr_expect_eq(accepted.verdict(), ManifestOutcome::ACCEPTED);
  cr_expect_eq(accepted.version(), 2U);
  cr_expect_eq(accepted.disruptions_size(), 2);
}

Test(ledgers,
     a_tighter_bound_is_accepted_and_names_the_steps_that_keep_theirs) {
  Fixture fixture;
  const ManifestOutcome accepted = fixture.Change("tighter", kTighter, false);
  cr_expect_eq(accepted.verdict(), ManifestOutcome::ACCEPTED);
  cr_assert_eq(accepted.notices_size(), 1);
}

wire::Command Submit(const std::string& job, int samples) {
  wire::Command command;
  wire::JobSubmit& submit = *command.mutable_job_submit();
  submit.set_job(job);
  for (int i = 0; i < samples; ++i) {
    submit.add_samples()->set_id(job + std::to_string(i));
  }
  return command;
}

// Two jobs, each with one completed sample; the first job has ended.
void RunTwoJobs(Ledgers& ledgers) {
  for (const char* job : {"ended", "open"}) {
    ledgers.Apply(Submit(job, 3));
    wire::Command command;
    wire::SampleAdvance& advance =
        *command.mutable_samples_advance()->add_advances();
    advance.set_job(job);
    advance.add_events("text of " + std::string(job));
    advance.set_state(wire::SAMPLE_COMPLETED);
    ledgers.Apply(command);
  }
  wire::Command end;
  end.mutable_job_end()->set_job("ended");
  ledgers.Apply(end);
}

Test(ledgers, snapshots_share_the_packed_bytes_of_ended_jobs) {
  Ledgers ledgers;
  RunTwoJobs(ledgers);
  const ByteRope::Piece& serialised =
      ledgers.fleet().jobs().Find("ended")->serialised;
  for (int snapshot = 0; snapshot < 2; ++snapshot) {
    const ByteRope state = ledgers.Snapshot();
    cr_assert(std::find(state.pieces().begin(), state.pieces().end(),
                        serialised) != state.pieces().end());
  }
}

Test(ledgers, a_restored_ended_job_shares_the_bytes_of_the_snapshot) {
  Ledgers ledgers;
  RunTwoJobs(ledgers);
  const auto parts = ledgers.fleet().Snapshot();
  FleetLedger restored;
  cr_assert(restored.Restore(parts));
  const Job& job = *restored.jobs().Find("ended");
  cr_assert(std::find(parts.begin(), parts.end(), job.serialised) !=
            parts.end());
  cr_assert(job.positions() == 1 && job.submit.samples().empty());
  cr_assert(!restored.jobs().Find("open")->serialised);
}

Test(ledgers, a_snapshot_split_into_pieces_of_any_size_is_restored) {
  Fixture fixture;
  RunTwoJobs(fixture.ledgers);
  const std::string bytes = fixture.ledgers.Snapshot().ToString();
  for (const size_t size : {size_t{1}, size_t{7}, bytes.size()}) {
    ByteRope pieces;
    for (size_t at = 0; at < bytes.size(); at += size) {
      pieces.Append(bytes.substr(at, size));
    }
    Ledgers restored;
    cr_assert(restored.Restore(pieces));
    cr_assert(restored.Snapshot().ToString() == bytes);
    const wire::JobPage page = restored.fleet().jobs().Page("ended", 0);
    cr_assert(page.total() == 3 && page.results_size() == 1);
    cr_assert(page.results(0).text() == "text of ended");
    cr_assert(restored.manifest().version() == 1);
  }
}

Test(ledgers, a_corrupt_snapshot_is_refused_or_read_but_never_fatal) {
  Ledgers source;
  RunTwoJobs(source);
  const std::string bytes = source.Snapshot().ToString();
  cr_assert(rc::check([&bytes](const std::string& noise) {
    std::string damaged = bytes;
    const size_t at = *rc::gen::inRange<size_t>(0, bytes.size());
    damaged.replace(at, noise.size(), noise);
    Ledgers ledgers;
    RunTwoJobs(ledgers);
    if (!ledgers.Restore(damaged)) {
      RC_ASSERT(ledgers.Snapshot().ToString() == bytes);
    }
  }));
}

Test(ledgers, a_truncated_snapshot_changes_nothing) {
  Ledgers ledgers;
  RunTwoJobs(ledgers);
  const std::string bytes = ledgers.Snapshot().ToString();
  cr_assert_not(ledgers.Restore(bytes.substr(0, bytes.size() - 1)));
  cr_assert(ledgers.Snapshot().ToString() == bytes);
}

}  // namespace
}  // namespace limpethatch
