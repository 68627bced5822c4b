#include "limpethatch/process/settings.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

struct ExampleSettings {
  std::string id;
  uint64_t count = 1;

  void ReadFrom(JsonReader& reader) {
    reader.Read("id", &id, Presence::kRequired);
    reader.Read("count", &count, Presence::kOptional);
  }
};

std::optional<ExampleSettings> Load(const char* members) {
  const std::string path = std::filesystem::temp_directory_path() /
                           ("settings-" + std::to_string(getpid()));
  std::ofstream(path) << "// A comment.\n{\n  \"id\": \"a\"\n}\n";
  setenv(kSettingsVariable, members, 1);
  const auto settings = LoadSettings<ExampleSettings>(path);
  unsetenv(kSettingsVariable);
  std::filesystem::remove(path);
  return settings;
}

}  // namespace

TestSuite(settings);

Test(settings, members_in_the_environment_count_as_those_of_the_file) {
  const auto settings = Load(R"("count": 3)");
  cr_assert(settings && settings->id == "a" && settings->count == 3);
  cr_assert(Load("")->count == 1);
}

// Guards against members that silently replace those of the file, or are
// ignored.
Test(settings, members_in_the_environment_are_checked_like_those_of_the_file) {
  cr_assert(!Load(R"("id": "b")"));
  cr_assert(!Load(R"("other": 1)"));
  cr_assert(!Load("not a member"));
}

}  // namespace limpethatch
