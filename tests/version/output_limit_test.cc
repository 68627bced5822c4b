#include "limpethatch/version/output_limit.h"

#include <cstdint>

#include "limpethatch/version/sample_stream_validator.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using Verdict = SampleStreamValidator::Verdict;

wire::JobSample SampleOf(uint64_t prompt_tokens, uint64_t tokens) {
  wire::JobSample sample;
  sample.set_prompt_tokens(prompt_tokens);
  sample.set_tokens(tokens);
  return sample;
}

}  // namespace

Test(output_limit, it_follows_the_tokens_that_a_sample_states) {
  const OutputLimit shorter = OutputLimitOf(SampleOf(1000, 1100));
  const OutputLimit longer = OutputLimitOf(SampleOf(1000, 1200));
  cr_assert(shorter.events >= 100 && longer.events == 2 * shorter.events);
  cr_assert(longer.bytes == 2 * shorter.bytes);
  cr_assert(longer.bytes <= kMaxTextBytes);
}

Test(output_limit, any_stated_number_keeps_the_text_within_a_page) {
  for (const uint64_t tokens : {uint64_t{0}, uint64_t{1} << 40, UINT64_MAX}) {
    const OutputLimit limit = OutputLimitOf(SampleOf(0, tokens));
    cr_assert(limit.bytes == kMaxTextBytes && limit.events > 0);
  }
}

Test(output_limit, a_text_is_refused_from_its_limits_on) {
  SampleStreamValidator by_events(
      {.min_version = 1, .limit = {.events = 2, .bytes = 100}});
  by_events.OnHeader(1);
  cr_assert(by_events.OnEvent(1, 0) == Verdict::kContinue);
  cr_assert(by_events.OnEvent(2, 0) == Verdict::kContinue);
  cr_assert(by_events.OnEvent(3, 0) == Verdict::kBroken);
  cr_assert(by_events.limit_exceeded() && by_events.discard());
  SampleStreamValidator by_bytes({.min_version = 1,
                                  .events = 1,
                                  .bytes = 60,
                                  .limit = {.events = 9, .bytes = 100}});
  by_bytes.OnHeader(1);
  cr_assert(by_bytes.OnEvent(2, 0, 40) == Verdict::kContinue);
  cr_assert(by_bytes.OnEvent(3, 0, 1) == Verdict::kBroken);
  cr_assert(by_bytes.limit_exceeded() && by_bytes.discard());
}

Test(output_limit, some_empty_events_are_accepted) {
  SampleStreamValidator validator({.min_version = 1});
  validator.OnHeader(1);
  uint64_t id = 0;
  for (int round = 0; round < 3; ++round) {
    for (uint32_t i = 0; i < kMaxEmptyEvents; ++i) {
      cr_assert(validator.OnEvent(++id, 0, 0) == Verdict::kContinue);
    }
    cr_assert(validator.OnEvent(++id, 0, 1) == Verdict::kContinue);
  }
  for (uint32_t i = 0; i < kMaxEmptyEvents; ++i) {
    validator.OnEvent(++id, 0, 0);
  }
  cr_assert(validator.OnEvent(++id, 0, 0) == Verdict::kBroken);
}

}  // namespace limpethatch
