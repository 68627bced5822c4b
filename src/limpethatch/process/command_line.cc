#include "limpethatch/process/command_line.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <sstream>

namespace limpethatch {
namespace {

namespace options = boost::program_options;

options::options_description DescribeOptions(CommandLine* line) {
  options::options_description description("Options");
  auto add = description.add_options();
  add("settings", options::value(&line->settings_path)->value_name("FILE"),
      "settings file of this process (JSON with comments)");
  add("check", options::bool_switch(&line->check_only),
      "check the settings and exit");
  add("help", "print this help and exit");
  add("version", "print the version and exit");
  return description;
}

}  // namespace

std::variant<CommandLine, int> ParseCommandLine(int argc,
                                                const char* const* argv,
                                                std::string_view program,
                                                std::string_view description) {
  CommandLine line;
  const options::options_description option_descriptions =
      DescribeOptions(&line);
  options::variables_map read;
  try {
    options::store(options::parse_command_line(argc, argv, option_descriptions),
                   read);
    options::notify(read);
  } catch (const options::error& error) {
    fmt::print(stderr, "{}: {}; see --help\n", program, error.what());
    return kExitBadSettings;
  }
  if (read.contains("help")) {
    std::ostringstream text;
    text << option_descriptions;
    fmt::print("Usage: {} --settings FILE\n{}\n\n{}", program, description,
               text.str());
    return kExitOk;
  }
  if (read.contains("version")) {
    fmt::print("{} {}\n", program, LIMPETHATCH_VERSION);
    return kExitOk;
  }
  if (line.settings_path.empty()) {
    fmt::print(stderr, "{}: --settings FILE is missing; see --help\n", program);
    return kExitBadSettings;
  }
  return line;
}

}  // namespace limpethatch
