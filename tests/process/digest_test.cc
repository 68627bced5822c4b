#include "limpethatch/process/digest.h"

#include <rapidcheck.h>

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {

// Guards against gateways of two versions that tell the same request apart.
Test(digest, a_digest_of_two_parts_is_that_of_the_joined_text) {
  cr_assert(rc::check("digests are equal", [] {
    const auto head = *rc::gen::arbitrary<std::string>();
    const auto body = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(RequestDigest(head, body) == RequestDigest(head + body));
  }));
  const std::string large(1'000'000, 'x');
  cr_assert(RequestDigest("head", large) == RequestDigest("head" + large));
}

}  // namespace limpethatch
