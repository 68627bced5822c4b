#include "limpethatch/process/settings.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <system_error>

namespace limpethatch {
namespace {

using enum Presence;

void ReadTranslation(JsonReader& reader, AddressTranslation* translation) {
  std::optional<JsonReader> child =
      reader.Child("address_translation", kOptional);
  if (!child) {
    return;
  }
  for (const std::string& key : child->Keys()) {
    Endpoint from;
    Endpoint to;
    child->Read(key, &to, kRequired);
    if (!ParseEndpoint(key, &from)) {
      child->AddFault(key, "expected a key such as \"127.0.0.1:8100\"");
      continue;
    }
    translation->emplace(std::move(from), std::move(to));
  }
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path,
                                    JsonFaults& faults) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file),
                   std::istreambuf_iterator<char>()};
  if (!file) {
    const std::string reason = std::generic_category().message(errno);
    faults.push_back({"", 0, fmt::format("cannot be read: {}", reason)});
    return std::nullopt;
  }
  return text;
}

std::optional<std::string> ReadSettingsFile(const std::string& path,
                                            JsonFaults& faults) {
  std::optional<std::string> text = ReadFile(path, faults);
  const char* members = std::getenv(kSettingsVariable);
  if (!text || !members || *members == '\0') {
    return text;
  }
  const size_t end = text->rfind('}');
  if (end == std::string::npos) {
    return text;  // Its syntax error is reported by the parser.
  }
  text->insert(end, fmt::format(",\n{}\n", members));
  return text;
}

void ReadProcessSettings(JsonReader& reader, ProcessSettings* settings) {
  reader.Read("id", &settings->id, kRequired);
  reader.Read("zone", &settings->zone, kRequired);
  std::string level = "info";
  reader.Read("log_level", &level, kOptional);
  if (!ParseLogLevel(level, &settings->log_level)) {
    reader.AddFault("log_level",
                    "expected \"debug\", \"info\", \"warning\" or \"error\"");
  }
  ReadTranslation(reader, &settings->address_translation);
}

void ReadListeners(JsonReader& reader,
                   const std::map<std::string, Endpoint*>& listeners) {
  std::optional<JsonReader> child = reader.Child("listen", kRequired);
  if (!child) {
    return;
  }
  std::map<Endpoint, std::string> taken;
  for (const auto& [name, endpoint] : listeners) {
    child->Read(name, endpoint, kRequired);
    const auto [other, added] = taken.emplace(*endpoint, name);
    if (!added && endpoint->port != 0) {
      child->AddFault(name, fmt::format("{} is already taken by \"{}\"",
                                        endpoint->ToString(), other->second));
    }
  }
  child->RejectUnknown();
}

void PrintFaults(std::string_view path, const JsonFaults& faults) {
  for (const JsonFault& fault : faults) {
    fmt::print(stderr, "{}: {}\n", path, fault.ToString());
  }
}

}  // namespace limpethatch
