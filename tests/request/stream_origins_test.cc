#include "limpethatch/request/stream_origins.h"

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {

Test(stream_origins, the_only_version_of_a_service_began_its_streams) {
  StreamOrigins origins;
  cr_assert_not(origins.Find("coach", "a"));
  origins.OnTarget("coach", "v1");
  origins.OnTarget("desk", "v2");
  cr_assert(origins.Find("coach", "a") == "v1");
}

// All gateways had been killed, and joined streams of a version that had just
// left with the new one.
Test(stream_origins, with_two_versions_an_unknown_stream_has_no_origin) {
  StreamOrigins origins;
  origins.OnTarget("coach", "v1");
  origins.OnBegun("a", "v1");
  origins.OnTarget("coach", "v2");
  cr_assert_not(origins.Find("coach", "b"));
  cr_assert(origins.Find("coach", "a") == "v1");
}

Test(stream_origins, the_oldest_streams_are_forgotten) {
  StreamOrigins origins;
  for (size_t i = 0; i <= StreamOrigins::kMaxStreams; ++i) {
    origins.OnBegun(std::to_string(i), "v1");
  }
  cr_assert_not(origins.Find("coach", "0"));
  cr_assert(origins.Find("coach", "1") == "v1");
}

}  // namespace limpethatch
