// Loading of settings files: the settings common to all processes, and the
// reporting of faults.
#ifndef LIMPETHATCH_PROCESS_SETTINGS_H_
#define LIMPETHATCH_PROCESS_SETTINGS_H_

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/json_reader.h"
#include "limpethatch/process/log.h"

namespace limpethatch {

// Settings common to all processes.
struct ProcessSettings {
  std::string id;
  std::string zone;
  LogLevel log_level = LogLevel::kInfo;
  AddressTranslation address_translation;
};

// Reads the whole file. Returns nullopt with the reason in `faults` on errors.
std::optional<std::string> ReadFile(const std::string& path,
                                    JsonFaults& faults);

// The environment variable with further members of a settings file, such as
// `"memory": "96MiB"`.
inline constexpr const char* kSettingsVariable = "LIMPETHATCH_SETTINGS";

// Returns the settings file with the members in kSettingsVariable as the last
// ones of its root object, so that a deployment can state what its template
// can't. Returns nullopt with the reason in `faults` on errors.
std::optional<std::string> ReadSettingsFile(const std::string& path,
                                            JsonFaults& faults);

// Reads "id", "zone", "log_level" and "address_translation".
void ReadProcessSettings(JsonReader& reader, ProcessSettings* settings);

// Reads the listeners named in `listeners` from the object "listen". Adds a
// fault if two listeners have the same address.
void ReadListeners(JsonReader& reader,
                   const std::map<std::string, Endpoint*>& listeners);

// Prints each fault as "PATH: FAULT" on a line of standard error.
void PrintFaults(std::string_view path, const JsonFaults& faults);

// Settings types that can be read from the root object of a file.
template <typename T>
concept ReadableSettings = requires(T settings, JsonReader& reader) {
  { settings.ReadFrom(reader) } -> std::same_as<void>;
};

// Loads a settings file. On faults, prints them and returns nullopt.
template <ReadableSettings Settings>
std::optional<Settings> LoadSettings(const std::string& path) {
  JsonFaults faults;
  Settings settings;
  if (const std::optional<std::string> text = ReadSettingsFile(path, faults)) {
    const JsonDocument document(*text, faults);
    if (faults.empty()) {
      JsonReader reader(document, faults);
      settings.ReadFrom(reader);
      reader.RejectUnknown();
    }
  }
  if (!faults.empty()) {
    PrintFaults(path, faults);
    return std::nullopt;
  }
  return settings;
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_SETTINGS_H_
