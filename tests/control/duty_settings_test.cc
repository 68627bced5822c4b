#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

#include "programs/control/control_settings.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::seconds;

const std::string kSectionStart = "{{#cloud.address}}";
const std::string kSectionEnd = "{{/cloud.address}}";

std::string ReadDeployFile(const std::string& name) {
  std::ifstream file(std::filesystem::path(LIMPETHATCH_SOURCE_DIR) / "deploy" /
                     name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The further members that the deploy file states for control instances.
std::string FurtherMembers() {
  const std::string text = ReadDeployFile("system.toml");
  const std::string variable = std::string(kSettingsVariable) + " = '";
  const size_t role = text.find("[roles.control]");
  cr_assert(role != std::string::npos);
  const size_t start = text.find(variable, role) + variable.size();
  return text.substr(start, text.find('\'', start) - start);
}

// The settings as the platform renders them: a section is rendered once for
// each entry of a table, but once for a text, and sections without a value are
// dropped.
std::string RenderTemplate(bool with_cloud) {
  std::string text = ReadDeployFile("control.json");
  text.insert(text.rfind('}'), "," + FurtherMembers());
  const size_t start = text.find(kSectionStart);
  const size_t end = text.find(kSectionEnd);
  cr_assert(start != std::string::npos && end != std::string::npos);
  if (with_cloud) {
    text.erase(end, kSectionEnd.size());
    text.erase(start, kSectionStart.size());
  } else {
    text.erase(start, end + kSectionEnd.size() - start);
  }
  const std::map<std::string, std::string> values = {
      {"ip", "127.0.0.1"},
      {"zone", "z"},
      {"node_name", "control-1"},
      {"internal_ports.0", "7000"},
      {"listen_addresses.control", "127.0.0.1:7001"},
      {"data_directory", "data"},
      {"seeds|json", R"(["127.0.0.2:7000"])"},
      {"bootstrap|json", "false"},
      {"fault_tolerance.machines", "1"},
      {"bounds.lease_ms", "3000"},
      {"limits.memory_mb", "256"},
      {"cloud.address", "127.0.0.9:80"},
      {"cloud.duties|json", R"(["usage","autoscaling"])"},
      {"bounds.report_window_s", "5"},
      {"bounds.usage_late_s", "10"},
  };
  for (const auto& [name, value] : values) {
    const std::string field = "{{" + name + "}}";
    for (size_t at = 0; (at = text.find(field)) != std::string::npos;) {
      text.replace(at, field.size(), value);
    }
  }
  return text;
}

JsonFaults Read(const std::string& text, ControlSettings* settings) {
  JsonFaults faults;
  const JsonDocument document(text, faults);
  if (faults.empty()) {
    JsonReader reader(document, faults);
    settings->ReadFrom(reader);
    reader.RejectUnknown();
  }
  return faults;
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  cr_assert(at != std::string::npos, "%s", from.c_str());
  return text.replace(at, from.size(), to);
}

}  // namespace

// Guards against a template that is invalid, or that reports usage, in a
// deployment whose platform states nothing about duties.
Test(duty_settings, the_template_is_valid_with_and_without_duties) {
  ControlSettings without;
  cr_assert(Read(RenderTemplate(false), &without).empty());
  cr_assert(!without.duties);
  ControlSettings with;
  cr_assert(Read(RenderTemplate(true), &with).empty());
  cr_assert(with.duties.has_value());
  cr_assert(with.duties->platform == (Endpoint{"127.0.0.9", 80}));
  cr_assert(with.duties->Includes("usage"));
  cr_assert(!with.duties->Includes("other"));
  cr_assert(with.duties->usage_window == seconds(5));
  cr_assert(with.duties->usage_due == seconds(10));
}

// Guards against windows and due times that no report can meet.
Test(duty_settings, faults_name_their_path) {
  const std::string valid = RenderTemplate(true);
  const std::map<std::string, std::string> replacements = {
      {"\"usage_window\": \"5s\"", "\"usage_window\": \"0s\""},
      {"\"usage_due\": \"10s\"", "\"usage_due\": \"1s\""},
      {"\"platform\": \"127.0.0.9:80\"", "\"platform\": \"nowhere\""},
  };
  for (const auto& [from, to] : replacements) {
    ControlSettings settings;
    const JsonFaults faults = Read(Replace(valid, from, to), &settings);
    cr_assert_eq(faults.size(), 1, "%s", to.c_str());
    cr_assert(faults[0].path.starts_with("duties."), "%s",
              faults[0].path.c_str());
  }
}

}  // namespace limpethatch
