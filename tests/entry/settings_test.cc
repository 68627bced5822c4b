#include <rapidcheck.h>

#include <string>

#include "programs/control/control_settings.h"
#include "programs/entry/entry_settings.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

TestSuite(invalid_settings);

template <ReadableSettings Settings>
JsonFaults FindFaults(const std::string& text) {
  JsonFaults faults;
  const JsonDocument document(text, faults);
  if (faults.empty()) {
    Settings settings;
    JsonReader reader(document, faults);
    settings.ReadFrom(reader);
    reader.RejectUnknown();
  }
  return faults;
}

constexpr const char* kValidEntry = R"({
"id": "entry-1",
"zone": "kigali-a",
"log_level": "info",
"listen": {
"callers": "127.0.0.1:8100",
"targets": "127.0.0.1:8101",
"operators": "127.0.0.1:8102",
"peers": "127.0.0.1:8103"
},
"control": ["127.0.0.1:8203"],
"seeds": [],
"threads": 2,
"unready_time": "1s",
"drain_time": "10min",
"address_translation": {"127.0.0.1:1": "127.0.0.1:2"}
})";

constexpr const char* kValidControl = R"({
"id": "control-1",
"zone": "kigali-a",
"listen": {"peers": "127.0.0.1:8103"},
"data_folder": "data",
"replicas": [
{"id": "control-1", "endpoint": "127.0.0.1:8103"},
{"id": "control-2", "endpoint": "127.0.0.2:8103"}
],
"heartbeat": "50ms",
"election_timeout": "500ms",
"session_timeout": "3s",
"snapshot_entries": 10000
})";

// Replacing `text` in a valid file by `replacement` must give `fault` first.
struct InvalidCase {
  const char* text;
  const char* replacement;
  const char* fault;
};

std::string ReplaceText(std::string valid, const InvalidCase& invalid_case) {
  const size_t at = valid.find(invalid_case.text);
  cr_assert(at != std::string::npos, "%s", invalid_case.text);
  return valid.replace(at, std::string(invalid_case.text).size(),
                       invalid_case.replacement);
}

template <ReadableSettings Settings, size_t kCount>
void ExpectFaults(const char* valid, const InvalidCase (&table)[kCount]) {
  cr_expect(FindFaults<Settings>(valid).empty());
  for (const InvalidCase& invalid_case : table) {
    const JsonFaults faults =
        FindFaults<Settings>(ReplaceText(valid, invalid_case));
    const std::string first = faults.empty() ? "" : faults[0].ToString();
    cr_expect_eq(first, invalid_case.fault, "%s\n  first fault: %s",
                 invalid_case.replacement, first.c_str());
  }
}

const InvalidCase kInvalidEntries[] = {
    {"\"id\": \"entry-1\",", "", "line 1: id: this key is missing; add it"},
    {"\"kigali-a\"", "7", "line 3: zone: expected a text"},
    {"\"info\"", "\"loud\"",
     "line 4: log_level: expected \"debug\", \"info\", \"warning\" or "
     "\"error\""},
    {"\"127.0.0.1:8100\"", "\"localhost:8100\"",
     "line 6: listen.callers: expected an IP number and a port, such as "
     "\"127.0.0.1:8100\""},
    {"\"127.0.0.1:8100\"", "\"127.0.0.1:99999\"",
     "line 6: listen.callers: expected an IP number and a port, such as "
     "\"127.0.0.1:8100\""},
    {"\"127.0.0.1:8101\"", "\"127.0.0.1:8100\"",
     "line 7: listen.targets: 127.0.0.1:8100 is already taken by \"callers\""},
    {"\"operators\"", "\"operator\"",
     "line 5: listen.operators: this key is missing; add it"},
    {"[\"127.0.0.1:8203\"]", "[]",
     "line 11: control: expected at least one control instance"},
    {"[\"127.0.0.1:8203\"]", "\"127.0.0.1:8203\"",
     "line 11: control: expected an array of texts, such as [\"a\", \"b\"]"},
    {"\"threads\": 2", "\"threads\": 0",
     "line 13: threads: expected a whole number from 1 to 64"},
    {"\"threads\": 2", "\"threads\": 2.5",
     "line 13: threads: expected a whole number from 1 to 64"},
    {"\"1s\"", "\"1\"",
     "line 14: unready_time: expected a duration with its unit, such as "
     "\"250ms\", \"2s\" or \"5min\""},
    {"\"10min\"", "600",
     "line 15: drain_time: expected a duration with its unit, such as "
     "\"250ms\", \"2s\" or \"5min\""},
    {"{\"127.0.0.1:1\"", "{\"here\"",
     "line 16: address_translation.here: expected a key such as "
     "\"127.0.0.1:8100\""},
    {"\"seeds\"", "\"sedes\"",
     "line 12: sedes: unknown key \"sedes\"; did you mean \"seeds\"?"},
    {"\"threads\": 2", "\"threads\": 2 \"x\"",
     "line 13: not valid JSON: syntax error"},
};

const InvalidCase kInvalidControls[] = {
    {"\"data_folder\": \"data\",", "",
     "line 1: data_folder: this key is missing; add it"},
    {"\"id\": \"control-2\"", "\"id\": \"control-1\"",
     "line 8: replicas.1.id: duplicate id; expected a unique one"},
    {"\"id\": \"control-2\", ", "",
     "line 8: replicas.1.id: this key is missing; add it"},
    {"\"50ms\"", "\"200ms\"",
     "line 11: election_timeout: expected 4 times the heartbeat or more"},
    {"10000", "5",
     "line 13: snapshot_entries: expected a whole number from 10 to 10000000"},
    {"\"snapshot_entries\": 10000", "\"memory_budget\": \"10KiB\"",
     "line 13: memory_budget: expected 1MiB or more"},
    {"\"3s\"", "\"3 s.\"",
     "line 12: session_timeout: expected a duration with its unit, such as "
     "\"250ms\", \"2s\" or \"5min\""},
    {"\"endpoint\": \"127.0.0.2:8103\"", "\"address\": \"127.0.0.2:8103\"",
     "line 8: replicas.1.endpoint: this key is missing; add it"},
};

Test(invalid_settings, entry_faults_name_their_line_path_and_fix) {
  ExpectFaults<EntrySettings>(kValidEntry, kInvalidEntries);
}

Test(invalid_settings, control_faults_name_their_line_path_and_fix) {
  ExpectFaults<ControlSettings>(kValidControl, kInvalidControls);
}

Test(invalid_settings, mutated_settings_never_yield_an_empty_fault) {
  cr_assert(rc::check([](bool entry) {
    std::string text = entry ? kValidEntry : kValidControl;
    const int mutation_count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutation_count; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, text.size());
      const auto piece = *rc::gen::element<std::string>(
          "{", "}", "[", "]", "\"", ",", ":", "//", "/*", "\\", "\n", "-1",
          "null", "\xff", std::string(1, '\0'), "99999999999999999999");
      text.replace(at, *rc::gen::inRange<size_t>(0, 8), piece);
    }
    for (const JsonFault& fault : entry ? FindFaults<EntrySettings>(text)
                                        : FindFaults<ControlSettings>(text)) {
      RC_ASSERT(!fault.problem.empty());
    }
  }));
}

}  // namespace
}  // namespace limpethatch
