#include "limpethatch/process/json_reader.h"

#include <criterion/criterion.h>

#include "limpethatch/process/units.h"

namespace limpethatch {
namespace {

using enum Presence;

TestSuite(json_reader);

Test(json_reader, names_line_and_path_of_every_fault_in_one_pass) {
  JsonFaults faults;
  const JsonDocument document(R"({
  // A comment.
  "id": 7,
  "inner": {
    "wait": "10 parsecs",
    "colour": "red"
  }
})",
                              faults);
  JsonReader reader(document, faults);
  std::string id;
  Duration wait{};
  reader.Read("id", &id, kRequired);
  reader.Read("zone", &id, kRequired);
  auto inner = reader.Child("inner", kRequired);
  inner->Read("wait", &wait, kRequired);
  inner->RejectUnknown();
  cr_assert_eq(faults.size(), 4U);
  cr_expect_eq(faults[0].ToString(), "line 3: id: expected a text");
  cr_expect_eq(faults[1].path, "zone");
  cr_expect_eq(faults[2].line, 5);
  cr_expect_eq(faults[2].path, "inner.wait");
  cr_expect_eq(faults[3].line, 6);
}

Test(json_reader, reports_syntax_errors_with_their_line) {
  JsonFaults faults;
  const JsonDocument document("{\n\"a\": 1,\n]\n}", faults);
  cr_assert_eq(faults.size(), 1U);
  cr_expect_eq(faults[0].line, 3);
}

Test(json_reader, accepts_comments_wherever_white_space_is_allowed) {
  JsonFaults faults;
  const JsonDocument document(
      "// one\n// two\n{ /* three\nfour */ \"a\": \"// no comment\", // five\n"
      "  \"b\": [ // six\n 7 ] }\n// eight",
      faults);
  cr_assert(faults.empty());
  cr_expect_eq(document.LineOf("a"), 4);
  cr_expect_eq(document.LineOf("b.0"), 6);
}

Test(json_reader, rejects_duplicate_keys) {
  JsonFaults faults;
  const JsonDocument document("{\"a\": 1,\n\"a\": 2}", faults);
  cr_assert_eq(faults.size(), 1U);
  cr_expect_eq(faults[0].path, "a");
}

Test(units, durations_and_sizes_need_their_unit) {
  Duration duration{};
  uint64_t bytes = 0;
  cr_expect(ParseDuration("1.5s", &duration));
  cr_expect(duration == std::chrono::milliseconds(1500));
  cr_expect_eq(FormatDuration(duration), "1.5s");
  cr_expect_not(ParseDuration("15", &duration));
  cr_expect_not(ParseDuration("-1s", &duration));
  cr_expect_not(ParseDuration("1e300h", &duration));
  // Multiples of a longer time would overflow.
  cr_expect_not(ParseDuration("2000000h", &duration));
  cr_expect(ParseByteSize("64KiB", &bytes));
  cr_expect_eq(bytes, 65536U);
  cr_expect_not(ParseByteSize("64K", &bytes));
}

}  // namespace
}  // namespace limpethatch
