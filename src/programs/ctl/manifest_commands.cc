#include <fmt/format.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <optional>

#include "limpethatch/process/digest.h"
#include "limpethatch/process/settings.h"
#include "limpethatch/version/manifest_reader.h"
#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace limpethatch {
namespace {

using LeafValues = std::map<std::string, std::string>;

void PrintFaultsAsJson(const JsonFaults& faults) {
  boost::json::array listed;
  for (const JsonFault& fault : faults) {
    listed.push_back(boost::json::object{{"line", fault.line},
                                         {"path", fault.path},
                                         {"problem", fault.problem}});
  }
  fmt::print("{}\n", boost::json::serialize(
                         boost::json::object{{"faults", std::move(listed)}}));
}

// The text of the manifest file; prints its faults and returns nullopt if it
// is invalid.
std::optional<std::string> LoadManifest(const CommandOptions& options) {
  JsonFaults faults;
  std::optional<std::string> text = ReadFile(options.argument, faults);
  if (text) {
    ReadManifest(*text, faults);
  }
  if (faults.empty()) {
    return text;
  }
  if (options.format == Format::kJson) {
    PrintFaultsAsJson(faults);
  } else {
    PrintFaults(options.argument, faults);
  }
  return std::nullopt;
}

void CollectLeafValues(const boost::json::value& value,
                       const std::string& path,
                       LeafValues* leaf_values) {
  if (const boost::json::object* object = value.if_object()) {
    for (const auto& member : *object) {
      CollectLeafValues(member.value(),
                        JoinPath(path, std::string(member.key())), leaf_values);
    }
    return;
  }
  (*leaf_values)[path] = value.is_double()
                             ? fmt::format("{}", value.get_double())
                             : boost::json::serialize(value);
}

LeafValues ParseLeafValues(std::string_view manifest) {
  JsonFaults faults;
  LeafValues leaf_values;
  CollectLeafValues(JsonDocument(manifest, faults).root(), "", &leaf_values);
  return leaf_values;
}

// One row per value that differs: marker, path, old value, new value.
std::vector<std::vector<std::string>> Differences(const LeafValues& before,
                                                  const LeafValues& after) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& [path, value] : before) {
    const auto found = after.find(path);
    if (found == after.end()) {
      rows.push_back({"-", path, value, ""});
    } else if (found->second != value) {
      rows.push_back({"~", path, value, found->second});
    }
  }
  for (const auto& [path, value] : after) {
    if (!before.contains(path)) {
      rows.push_back({"+", path, "", value});
    }
  }
  return rows;
}

std::string MemberText(const boost::json::value& body, std::string_view key) {
  const boost::json::object* object = body.if_object();
  const boost::json::value* value =
      object ? object->if_contains(boost::json::string_view(key)) : nullptr;
  if (value == nullptr) {
    return "";
  }
  return value->is_string() ? std::string(value->get_string())
                            : boost::json::serialize(*value);
}

// The change id if none is given. It depends on the file and the expected
// version, so repeating the command is the same change.
std::string DefaultChangeId(const std::string& manifest,
                            const CommandOptions& options) {
  return fmt::format("{}-{}{}", DigestToHex(ContentDigest(manifest)),
                     *options.expect_version,
                     options.allow_disruption ? "-disruptive" : "");
}

void PrintStringArray(const boost::json::value& body, const char* key) {
  const boost::json::value* texts = body.as_object().if_contains(key);
  if (texts != nullptr && texts->is_array()) {
    for (const boost::json::value& text : texts->get_array()) {
      fmt::print("  {}\n", text.is_string() ? text.get_string().c_str() : "");
    }
  }
}

void PrintApplyOutcome(const OperatorResponse& response) {
  const std::string outcome = MemberText(response.body, "outcome");
  if (outcome == "accepted") {
    fmt::print("accepted as version {}{}\n",
               MemberText(response.body, "version"),
               MemberText(response.body, "repeated") == "true"
                   ? " (by an earlier call with this change id)"
                   : "");
    PrintStringArray(response.body, "disruptions");
    PrintStringArray(response.body, "notices");
    return;
  }
  if (outcome == "disruptive") {
    fmt::print("refused: the change would break running steps\n");
    PrintStringArray(response.body, "disruptions");
    fmt::print(
        "wait until they end and apply again with a new --change-id, or use "
        "--allow-disruption\n");
    return;
  }
  if (outcome == "conflict") {
    fmt::print("conflict: version {} is in force, by change \"{}\" of \"{}\"\n",
               MemberText(response.body, "version"),
               MemberText(response.body, "standing_change_id"),
               MemberText(response.body, "standing_author"));
    return;
  }
  fmt::print("refused: {}\n", response.text);
}

int ApplyExitCode(const OperatorResponse& response) {
  switch (response.status) {
    case 200:
      return kExitSuccess;
    case 409:
      return kExitConflict;
    case 503:
      return response.text.find("may_have_run") == std::string::npos
                 ? kExitUnreachable
                 : kExitUncertain;
    default:
      return kExitRefused;
  }
}

}  // namespace

int Check(const CommandOptions& options) {
  if (!LoadManifest(options)) {
    return kExitFault;
  }
  if (options.format == Format::kJson) {
    PrintFaultsAsJson({});
  } else {
    fmt::print("{}: valid\n", options.argument);
  }
  return kExitSuccess;
}

int Diff(const CommandOptions& options) {
  const std::optional<std::string> text = LoadManifest(options);
  if (!text) {
    return kExitFault;
  }
  const OperatorResponse response =
      CallOperator(options.access, "GET", "/v1/manifest");
  if (!response.reached || response.status != 200) {
    return ReportFailedCall(response);
  }
  const auto rows =
      Differences(ParseLeafValues(MemberText(response.body, "manifest")),
                  ParseLeafValues(*text));
  if (options.format == Format::kJson) {
    boost::json::array listed;
    for (const auto& row : rows) {
      listed.push_back(boost::json::object{
          {"path", row[1]}, {"before", row[2]}, {"after", row[3]}});
    }
    fmt::print("{}\n", boost::json::serialize(listed));
    return kExitSuccess;
  }
  Table table({"", "path", "in force", "file"});
  for (const auto& row : rows) {
    table.AddRow(row);
  }
  fmt::print("version {} is in force; {} values differ\n{}",
             MemberText(response.body, "version"), rows.size(),
             rows.empty() ? "" : table.ToString());
  return kExitSuccess;
}

int Apply(const CommandOptions& options) {
  const std::optional<std::string> text = LoadManifest(options);
  if (!text) {
    return kExitFault;
  }
  if (!options.expect_version) {
    fmt::print(stderr,
               "apply needs --expect-version N: the version that "
               "this change is based on\n");
    return kExitUsage;
  }
  const std::string change_id = options.change_id.empty()
                                    ? DefaultChangeId(*text, options)
                                    : options.change_id;
  const boost::json::object body{{"expect_version", *options.expect_version},
                                 {"change_id", change_id},
                                 {"author", options.author},
                                 {"allow_disruption", options.allow_disruption},
                                 {"manifest", *text}};
  const OperatorResponse response = CallOperator(
      options.access, "POST", "/v1/manifest", boost::json::serialize(body));
  if (!response.reached) {
    return ReportFailedCall(response);
  }
  if (options.format == Format::kJson) {
    fmt::print("{}\n", response.text);
  } else {
    PrintApplyOutcome(response);
  }
  return ApplyExitCode(response);
}

int History(const CommandOptions& options) {
  const OperatorResponse response =
      CallOperator(options.access, "GET", "/v1/history");
  if (!response.reached || response.status != 200) {
    return ReportFailedCall(response);
  }
  if (options.format == Format::kJson) {
    fmt::print("{}\n", response.text);
    return kExitSuccess;
  }
  Table table({"version", "change", "author"});
  const boost::json::value* changes =
      response.body.as_object().if_contains("changes");
  if (changes != nullptr && changes->is_array()) {
    for (const boost::json::value& change : changes->get_array()) {
      table.AddRow({MemberText(change, "version"),
                    MemberText(change, "change_id"),
                    MemberText(change, "author")});
    }
  }
  fmt::print("{}", table.ToString());
  return kExitSuccess;
}

}  // namespace limpethatch
