#include "limpethatch/version/manifest_reader.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

TestSuite(manifest_reader);

constexpr std::string_view kValidManifest = R"({
  "pools": {"coach-llm": {"weights_version": 3, "live_slots": 2}},
  "services": {
    "refill-api": {"deadline": "500ms", "non_idempotent_paths": ["/orders"]},
    "coach-llm": {"kind": "engine", "pool": "coach-llm"},
  },
  "trainers": {
    "coach": {"pool": "coach-llm", "weighs": "staleness", "max_staleness": 1}
  }
})";

Test(manifest_reader, reads_what_is_declared) {
  JsonFaults faults;
  const Manifest manifest = ReadManifest(kValidManifest, faults);
  cr_assert(faults.empty());
  cr_expect_eq(manifest.pools.at("coach-llm").weights_version, 3U);
  cr_expect(manifest.services.at("refill-api").deadline ==
            std::chrono::milliseconds(500));
  cr_expect(manifest.services.at("coach-llm").kind == ServiceKind::kEngine);
  cr_expect(manifest.trainers.at("coach").weighting == Weighting::kStaleness);
}

Test(manifest_reader, refuses_pools_and_scorers_that_are_not_declared) {
  JsonFaults faults;
  ReadManifest(R"({"services": {"a": {"kind": "engine", "pool": "none"}},
    "trainers": {"t": {"pool": "gone", "scorer": "nobody"}}})",
               faults);
  cr_assert_eq(faults.size(), 3U);
  cr_expect_eq(faults[0].path, "services.a.pool");
  cr_expect_eq(faults[1].path, "trainers.t.pool");
  cr_expect_eq(faults[2].path, "trainers.t.scorer");
}

}  // namespace
}  // namespace limpethatch
