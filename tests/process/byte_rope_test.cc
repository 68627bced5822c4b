#include "limpethatch/process/byte_rope.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {

Test(byte_rope, any_substring_equals_that_of_the_joined_pieces) {
  cr_assert(rc::check([](const std::vector<std::string>& pieces) {
    ByteRope rope;
    std::string joined;
    for (const std::string& piece : pieces) {
      rope.Append(piece);
      joined += piece;
    }
    const size_t offset = *rc::gen::inRange<size_t>(0, joined.size() + 2);
    const size_t count = *rc::gen::inRange<size_t>(0, joined.size() + 2);
    const std::string part =
        offset <= joined.size() ? joined.substr(offset, count) : "";
    RC_ASSERT(rope.size() == joined.size());
    RC_ASSERT(rope.ToString() == joined);
    RC_ASSERT(rope.Substr(offset, count) == part);
  }));
}

Test(byte_rope, appending_a_rope_shares_its_pieces) {
  const ByteRope state(std::string(1000, 's'));
  ByteRope frame("header");
  frame.Append(state);
  cr_assert(frame.pieces().back() == state.pieces().front());
}

}  // namespace limpethatch
