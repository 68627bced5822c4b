#include "limpethatch/version/sample_stream_validator.h"

#include <criterion/criterion.h>

namespace limpethatch {

using Verdict = SampleStreamValidator::Verdict;

// If a leader is lost between the last event and the end of a stream, the next
// leader requests the events that follow, of which there are none. It must
// accept the empty answer instead of requesting it again forever.
Test(sample_stream_validator,
     an_empty_answer_after_the_last_event_completes_a_sample) {
  SampleStreamValidator validator(
      {.min_version = 8, .events = 26, .versions = {8}});
  cr_assert(validator.OnHeader(0) == Verdict::kContinue);
  cr_assert(validator.OnStreamEnd(false) == Verdict::kDone);
}

Test(sample_stream_validator, an_empty_answer_to_a_new_sample_is_refused) {
  SampleStreamValidator validator({.min_version = 8});
  cr_assert(validator.OnHeader(8) == Verdict::kContinue);
  cr_assert(validator.OnStreamEnd(false) == Verdict::kBroken);
}

Test(sample_stream_validator, an_engine_with_too_old_weights_is_refused) {
  SampleStreamValidator validator({.min_version = 8});
  cr_assert(validator.OnHeader(7) == Verdict::kNotRun);
  cr_assert_str_eq(validator.reason(), "weights_too_old");
}

// Guards against a label of weights that the engine no longer had.
Test(sample_stream_validator, weights_older_than_expected_are_refused) {
  SampleStreamValidator validator({.min_version = 1, .expected_version = 3});
  cr_assert(validator.OnHeader(2) == Verdict::kBroken);
  cr_assert_str_eq(validator.reason(), "weights_older_than_expected");
  cr_assert(validator.OnHeader(4) == Verdict::kContinue);
  cr_assert(validator.OnEvent(1, 3) == Verdict::kBroken);
  cr_assert_str_eq(validator.reason(), "weights_older_than_before");
  cr_assert(validator.OnEvent(1, 5) == Verdict::kContinue);
}

Test(sample_stream_validator, an_event_without_a_weight_version_is_refused) {
  SampleStreamValidator validator({.min_version = 0});
  cr_assert(validator.OnHeader(0) == Verdict::kContinue);
  cr_assert(validator.OnEvent(1, 0) == Verdict::kBroken);
}

Test(sample_stream_validator, an_event_out_of_order_is_refused) {
  SampleStreamValidator validator(
      {.min_version = 1, .events = 3, .versions = {1}});
  cr_assert(validator.OnHeader(1) == Verdict::kContinue);
  cr_assert(validator.OnEvent(4, 0) == Verdict::kContinue);
  cr_assert(validator.OnEvent(4, 0) == Verdict::kBroken);
  cr_assert(validator.OnEvent(6, 0) == Verdict::kBroken);
}

Test(sample_stream_validator, an_event_can_change_the_weight_version) {
  SampleStreamValidator validator({.min_version = 1});
  cr_assert(validator.OnHeader(1) == Verdict::kContinue);
  cr_assert(validator.OnEvent(1, 0) == Verdict::kContinue);
  cr_assert(validator.version() == 1);
  cr_assert(validator.OnEvent(2, 2) == Verdict::kContinue);
  cr_assert(validator.version() == 2);
  cr_assert(validator.OnStreamEnd(true) == Verdict::kBroken);
}

Test(sample_stream_validator,
     a_single_version_sample_is_discarded_on_other_weights) {
  SampleStreamValidator validator(
      {.min_version = 1, .single_version = true, .events = 1, .versions = {1}});
  cr_assert(validator.OnHeader(2) == Verdict::kContinue);
  cr_assert(validator.OnEvent(2, 0) == Verdict::kBroken);
  cr_assert(validator.discard());
}

}  // namespace limpethatch
