#include "limpethatch/version/sample_intake.h"

#include <criterion/criterion.h>

namespace limpethatch {

using Verdict = SampleIntake::Verdict;

// Seen when a leader was lost between the last event and the end of a stream:
// the next one asked for what follows, again and again.
Test(sample_intake, an_empty_answer_behind_the_last_event_finishes_a_sample) {
  SampleIntake intake({.min_version = 8, .events = 26, .versions = {8}});
  cr_assert(intake.Begin(0) == Verdict::kGoOn);
  cr_assert(intake.End(false) == Verdict::kDone);
}

Test(sample_intake, an_empty_answer_from_the_start_is_no_sample) {
  SampleIntake intake({.min_version = 8});
  cr_assert(intake.Begin(8) == Verdict::kGoOn);
  cr_assert(intake.End(false) == Verdict::kBroken);
}

Test(sample_intake, an_engine_with_older_weights_can_not_help) {
  SampleIntake intake({.min_version = 8});
  cr_assert(intake.Begin(7) == Verdict::kNotRun);
  cr_assert_str_eq(intake.reason(), "weights_too_old");
}

Test(sample_intake, an_event_of_unnamed_weights_is_not_taken) {
  SampleIntake intake({.min_version = 0});
  cr_assert(intake.Begin(0) == Verdict::kGoOn);
  cr_assert(intake.Take(1, 0) == Verdict::kBroken);
}

Test(sample_intake, an_event_that_does_not_follow_is_not_taken) {
  SampleIntake intake({.min_version = 1, .events = 3, .versions = {1}});
  cr_assert(intake.Begin(1) == Verdict::kGoOn);
  cr_assert(intake.Take(4, 0) == Verdict::kGoOn);
  cr_assert(intake.Take(4, 0) == Verdict::kBroken);
  cr_assert(intake.Take(6, 0) == Verdict::kBroken);
}

Test(sample_intake, weights_that_change_in_a_stream_are_named_by_its_events) {
  SampleIntake intake({.min_version = 1});
  cr_assert(intake.Begin(1) == Verdict::kGoOn);
  cr_assert(intake.Take(1, 0) == Verdict::kGoOn);
  cr_assert(intake.version() == 1);
  cr_assert(intake.Take(2, 2) == Verdict::kGoOn);
  cr_assert(intake.version() == 2);
  cr_assert(intake.End(true) == Verdict::kBroken);
}

Test(sample_intake, a_single_version_sample_starts_over_on_other_weights) {
  SampleIntake intake(
      {.min_version = 1, .single_version = true, .events = 1, .versions = {1}});
  cr_assert(intake.Begin(2) == Verdict::kGoOn);
  cr_assert(intake.Take(2, 0) == Verdict::kBroken);
  cr_assert(intake.discard());
}

}  // namespace limpethatch
