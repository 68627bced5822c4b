#include "limpethatch/process/flags.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <sstream>

#include "limpethatch/process/command_line.h"
#include "limpethatch/process/units.h"

namespace limpethatch {
namespace options = boost::program_options;
namespace {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

bool ParseEndpoints(std::string_view text, std::vector<Endpoint>* endpoints) {
  endpoints->clear();
  for (const std::string_view part : Split(text, ',')) {
    if (!ParseEndpoint(part, &endpoints->emplace_back())) {
      return false;
    }
  }
  return true;
}

bool ParseTranslation(std::string_view text, AddressTranslation* translation) {
  for (const std::string_view part : Split(text, ',')) {
    const size_t equals = std::min(part.find('='), part.size() - 1);
    Endpoint from;
    Endpoint to;
    if (!ParseEndpoint(part.substr(0, equals), &from) ||
        !ParseEndpoint(part.substr(equals + 1), &to)) {
      return false;
    }
    translation->insert_or_assign(from, to);
  }
  return true;
}

template <typename T>
options::typed_value<T>* WithDefault(T* target) {
  return options::value(target)->default_value(*target);
}

}  // namespace

template <typename Parser>
void Flags::AddParsed(const char* name,
                      const std::string& default_text,
                      const char* help,
                      Parser parser) {
  auto* value = options::value<std::string>();
  if (!default_text.empty()) {
    value->default_value(default_text);
  }
  value->notifier([name, parser](const std::string& text) {
    if (!parser(text)) {
      throw options::error(fmt::format("--{}: invalid value '{}'", name, text));
    }
  });
  option_descriptions_.add_options()(name, value, help);
}

void Flags::Add(const char* name, std::string* target, const char* help) {
  option_descriptions_.add_options()(name, WithDefault(target), help);
}

void Flags::Add(const char* name, uint64_t* target, const char* help) {
  option_descriptions_.add_options()(name, WithDefault(target), help);
}

void Flags::Add(const char* name, uint32_t* target, const char* help) {
  option_descriptions_.add_options()(name, WithDefault(target), help);
}

void Flags::Add(const char* name, double* target, const char* help) {
  option_descriptions_.add_options()(name, WithDefault(target), help);
}

void Flags::Add(const char* name, bool* target, const char* help) {
  AddParsed(name, *target ? "true" : "false", help,
            [target](const std::string& text) {
              *target = text == "true";
              return *target || text == "false";
            });
}

void Flags::Add(const char* name, Duration* target, const char* help) {
  AddParsed(name, FormatDuration(*target), help,
            [target](const std::string& text) {
              return ParseDuration(text, target);
            });
}

void Flags::Add(const char* name, Endpoint* target, const char* help) {
  AddParsed(name, target->host.empty() ? "" : target->ToString(), help,
            [target](const std::string& text) {
              return ParseEndpoint(text, target);
            });
}

void Flags::Add(const char* name,
                std::vector<Endpoint>* target,
                const char* help) {
  AddParsed(name, "", help, [target](const std::string& text) {
    return ParseEndpoints(text, target);
  });
}

void Flags::Add(const char* name,
                AddressTranslation* target,
                const char* help) {
  AddParsed(name, "", help, [target](const std::string& text) {
    return ParseTranslation(text, target);
  });
}

void Flags::Add(const char* name,
                std::vector<std::string>* target,
                const char* help) {
  auto* value = options::value<std::vector<std::string>>()->composing();
  value->notifier([target](const std::vector<std::string>& texts) {
    for (const std::string& text : texts) {
      for (const std::string_view part : Split(text, ',')) {
        target->emplace_back(part);
      }
    }
  });
  option_descriptions_.add_options()(name, value, help);
}

std::optional<int> Flags::Parse(int argc, const char* const* argv) {
  option_descriptions_.add_options()("help", "print this help and exit");
  option_descriptions_.add_options()("version", "print the version and exit");
  options::variables_map read;
  try {
    options::store(
        options::parse_command_line(argc, argv, option_descriptions_), read);
    if (read.contains("help")) {
      std::ostringstream text;
      text << option_descriptions_;
      fmt::print("Usage: {}\n\n{}", usage_, text.str());
      return kExitOk;
    }
    if (read.contains("version")) {
      fmt::print("{}\n", LIMPETHATCH_VERSION);
      return kExitOk;
    }
    options::notify(read);
  } catch (const options::error& error) {
    fmt::print(stderr, "{}; see --help\n", error.what());
    return kExitBadSettings;
  }
  return std::nullopt;
}

}  // namespace limpethatch
