#include <rapidcheck.h>

#include <string>

#include "limpethatch/version/manifest_reader.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

TestSuite(invalid_manifests);

struct InvalidManifest {
  const char* text;
  const char* fault;  // The complete first fault: line, path, problem and fix.
};

const InvalidManifest kInvalidManifests[] = {
    {"", "line 1: not valid JSON: a bracket or a quote is not closed"},
    {"[]", "line 1: expected an object"},
    {"{\n}", "line 1: services: this key is missing; add it"},
    {"{\"services\": {}",
     "line 1: not valid JSON: a bracket or a quote is not closed"},
    {"{\"services\": {},\n\"servces\": {}}",
     "line 2: servces: unknown key \"servces\"; did you mean \"services\"?"},
    {"{\"services\": 7}", "line 1: services: expected an object"},
    {"{\"services\": {\"a\": 7}}", "line 1: services.a: expected an object"},
    {"{\"services\": {\"a\": {}},\n\"services\": {}}",
     "line 1: services: this key stands twice; remove one"},
    {"{\"services\": {\"a\": {\n\"deadline\": 500}}}",
     "line 2: services.a.deadline: expected a duration with its unit, such as "
     "\"250ms\", \"2s\" or \"5min\""},
    {"{\"services\": {\"a\": {\n\"deadline\": \"0s\"}}}",
     "line 2: services.a.deadline: must be longer than zero"},
    {"{\"services\": {\"a\": {\n\"kind\": \"engin\"}}}",
     "line 2: services.a.kind: expected \"plain\" or \"engine\""},
    {"{\"services\": {\"a\": {\n\"kind\": \"engine\"}}}",
     "line 1: services.a.pool: a service of kind \"engine\" needs a pool"},
    {"{\"pools\": {\"p\": {\"weights_version\": 1}}, \"services\": {\"a\": {\n"
     "\"pool\": \"p\"}}}",
     "line 2: services.a.pool: a service of kind \"plain\" has no pool; remove "
     "it"},
    {"{\"services\": {\"a\": {\n\"retry_budget\": 2}}}",
     "line 2: services.a.retry_budget: expected a number from 0 to 1"},
    {"{\"services\": {\"a\": {\n\"weight\": -1}}}",
     "line 2: services.a.weight: expected a number from 1e-06 to 1000000"},
    {"{\"services\": {\"a\": {\n\"non_idempotent_paths\": \"/o\"}}}",
     "line 2: services.a.non_idempotent_paths: expected an array of texts, "
     "such as [\"a\", \"b\"]"},
    {"{\"services\": {\"a\": {\"objective\":\n{\"target\": 1}}}}",
     "line 2: services.a.objective.target: expected a number from 0.5 to "
     "0.99999"},
    {"{\"services\": {\"a\": {\"objective\":\n{\"latency\": \"1\"}}}}",
     "line 2: services.a.objective.latency: expected a duration with its unit, "
     "such as \"250ms\", \"2s\" or \"5min\""},
    {"{\"services\": {}, \"pools\": {\"p\":\n{}}}",
     "line 1: pools.p.weights_version: this key is missing; add it"},
    {"{\"services\": {}, \"pools\": {\"p\": {\n\"weights_version\": -1}}}",
     "line 2: pools.p.weights_version: expected a whole number from 0 to "
     "18446744073709551615"},
    {"{\"services\": {}, \"pools\": {\"p\": {\"weights_version\": 1,\n"
     "\"live_slots\": 5000}}}",
     "line 2: pools.p.live_slots: expected a whole number from 0 to 1024"},
    {"{\"services\": {}, \"trainers\": {\"t\":\n{}}}",
     "line 1: trainers.t.pool: this key is missing; add it"},
    {"{\"services\": {}, \"trainers\": {\"t\": {\n\"pool\": \"gone\"}}}",
     "line 2: trainers.t.pool: \"gone\" is not declared under \"pools\""},
    {"{\"services\": {}, \"pools\": {\"p\": {\"weights_version\": 1}},\n"
     "\"trainers\": {\"t\": {\"pool\": \"p\", \"share\": 0}}}",
     "line 2: trainers.t.share: expected a number from 1e-06 to 1000000"},
    {"{\"services\": {}, \"pools\": {\"p\": {\"weights_version\": 1}},\n"
     "\"trainers\": {\"t\": {\"pool\": \"p\",\n\"scorer\": \"nobody\"}}}",
     "line 3: trainers.t.scorer: expected a service of kind \"plain\""},
};

Test(invalid_manifests, each_fault_names_line_path_and_fix) {
  for (const InvalidManifest& invalid : kInvalidManifests) {
    JsonFaults faults;
    ReadManifest(invalid.text, faults);
    cr_expect(!faults.empty(), "%s", invalid.text);
    const std::string first = faults.empty() ? "" : faults[0].ToString();
    cr_expect_eq(first, invalid.fault, "%s\n  gave %s", invalid.text,
                 first.c_str());
  }
}

constexpr const char* kValidManifest =
    "{\"pools\": {\"p\": {\"weights_version\": 3, \"live_slots\": 2}},\n"
    "\"services\": {\"a\": {\"deadline\": \"500ms\", // Why.\n"
    "\"non_idempotent_paths\": [\"/orders\"]}},\n"
    "\"trainers\": {\"t\": {\"pool\": \"p\", \"objective\": {\"target\": "
    "0.9}}}}";

Test(invalid_manifests, any_bytes_give_a_manifest_or_a_fault) {
  cr_assert(rc::check([](const std::string& bytes) {
    JsonFaults faults;
    ReadManifest(bytes, faults);
    RC_ASSERT(!faults.empty());
  }));
}

Test(invalid_manifests, any_change_of_a_manifest_is_read_or_names_its_fault) {
  cr_assert(rc::check([] {
    std::string text = kValidManifest;
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, text.size());
      const auto piece = *rc::gen::element<std::string>(
          "{", "}", "[", "]", "\"", ",", ":", "//", "/*", "\\", "\n", "-1",
          "1e999", "null", "\xff", std::string(1, '\0'),
          "99999999999999999999");
      text.replace(at, *rc::gen::inRange<size_t>(0, 8), piece);
    }
    JsonFaults faults;
    ReadManifest(text, faults);
    for (const JsonFault& fault : faults) {
      RC_ASSERT(!fault.problem.empty());
    }
  }));
}

Test(invalid_manifests, long_keys_around_many_members_use_bounded_memory) {
  std::string text = "{\"services\": {\"" + std::string(1 << 20, 'k') + "\": {";
  for (int i = 0; i < 100'000; ++i) {
    text += "\"" + std::to_string(i) + "\": 0,";
  }
  JsonFaults faults;
  ReadManifest(text + "}}}", faults);
  cr_assert_eq(faults.size(), 1U);
  cr_expect_eq(faults[0].ToString(),
               "line 1: not valid JSON: too many members under long keys; "
               "shorten the keys");
}

}  // namespace
}  // namespace limpethatch
