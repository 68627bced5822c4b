#include "limpethatch/request/generation.h"

#include <criterion/criterion.h>

#include "limpethatch/request/digest.h"

namespace limpethatch {
namespace {

TestSuite(generation);

Test(generation, joins_tokens_of_one_version_and_names_each_version) {
  Generation generation;
  cr_assert_not(generation.Append({"ab", 0, 2, 7}));
  cr_assert_not(generation.Append({"c", 2, 1, 7}));
  cr_assert_not(generation.Append({"d", 3, 1, 8}));
  const std::vector<TokenRange> expected{{7, 0, 3}, {8, 3, 4}};
  cr_expect(generation.ranges() == expected);
  cr_expect_eq(generation.OldestVersion(), 7U);
  cr_expect_not(
      generation.Verify({"stop", 4, expected, ContentDigest("abcd")}));
}

Test(generation, refuses_a_piece_that_does_not_follow) {
  Generation generation;
  cr_expect(generation.Append({"b", 1, 1, 7}) == GenerationError::kGap);
}

Test(generation, refuses_an_end_that_contradicts_what_was_sent) {
  Generation generation;
  cr_assert_not(generation.Append({"ab", 0, 2, 7}));
  const uint64_t digest = ContentDigest("ab");
  cr_expect(generation.Verify({"stop", 3, {{7, 0, 2}}, digest}) ==
            GenerationError::kInconsistentEnd);
  cr_expect(generation.Verify({"stop", 2, {{8, 0, 2}}, digest}) ==
            GenerationError::kInconsistentEnd);
  cr_expect(generation.Verify({"stop", 2, {{7, 0, 2}}, digest + 1}) ==
            GenerationError::kInconsistentEnd);
}

Test(generation, checks_only_the_resumed_stream_against_its_own_end) {
  Generation generation;
  generation.Resume("abc", {{7, 0, 3}});
  cr_assert_not(generation.Append({"d", 3, 1, 8}));
  cr_expect_not(
      generation.Verify({"stop", 4, {{8, 3, 4}}, ContentDigest("d")}));
  cr_expect_eq(generation.text(), "abcd");
  cr_expect_eq(generation.Digest(), ContentDigest("abcd"));
}

}  // namespace
}  // namespace limpethatch
