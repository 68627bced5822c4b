#include "limpethatch/request/stream_origins.h"

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {

Test(stream_origins, a_stream_has_the_version_that_began_it) {
  StreamOrigins origins;
  origins.OnBegun("a", "v1");
  origins.OnBegun("b", "v2");
  cr_assert(*origins.Find("a") == "v1");
  cr_assert(*origins.Find("b") == "v2");
  cr_assert_null(origins.Find("c"));
}

Test(stream_origins, the_oldest_streams_are_forgotten) {
  StreamOrigins origins;
  for (size_t i = 0; i <= StreamOrigins::kMaxStreams; ++i) {
    origins.OnBegun(std::to_string(i), "v1");
  }
  cr_assert_null(origins.Find("0"));
  cr_assert(*origins.Find("1") == "v1");
}

}  // namespace limpethatch
