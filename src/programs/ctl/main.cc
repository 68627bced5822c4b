// limpethatchctl: the command line for operators.

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>

#include "limpethatch/process/json_document.h"
#include "limpethatch/process/settings.h"
#include "limpethatch/process/units.h"
#include "programs/ctl/commands.h"

namespace limpethatch {
namespace {

namespace options = boost::program_options;

constexpr const char* kAddressVariable = "LIMPETHATCH_AT";

constexpr const char* kUsage = R"(Usage: limpethatchctl COMMAND [FILE] [options]

Commands:
  check FILE    validate a manifest; needs no instance
  diff FILE     compare a manifest with the one in force
  apply FILE    make a manifest the next version; safe to repeat
  status        instances, targets, steps, and any problems
  history       accepted changes
  burn          error budgets and their burn rates
  explain ID    what happened to a request, batch job or sample, or to
                configuration/VERSION, from the logs in --logs DIR
  where HOST/PATH
                where the gateway called would send a request, and why; --at is
                its metrics listener
  drain         start a graceful shutdown of the instance called
  completion    print the completion script for bash

Examples:
  limpethatchctl check examples/01-joto/manifest.json
  limpethatchctl apply manifest.json --expect-version 4 --at 127.0.0.1:8102
  limpethatchctl status --at 127.0.0.1:8102,127.0.0.2:8102 --format json

Exit codes: 0 done or accepted, 1 faults in the file, 2 wrong usage,
3 conflict, 4 unreachable and nothing done, 5 refused, 6 may have taken effect

)";

struct Arguments {
  std::string command;
  std::string file;
  std::string at;
  std::string key_file;
  std::string timeout = "5s";
  std::string format = "text";
  uint64_t expect_version = 0;
  CommandOptions options;
};

using Command = int (*)(const CommandOptions&);

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands{
      {"check", Check},          {"diff", Diff},         {"apply", Apply},
      {"status", Status},        {"history", History},   {"burn", Burn},
      {"drain", Drain},          {"explain", ExplainId}, {"where", Where},
      {"completion", Completion}};
  return commands;
}

options::options_description DescribeOptions(Arguments* arguments) {
  options::options_description description("Options");
  auto add = description.add_options();
  add("at", options::value(&arguments->at)->value_name("IP:PORT,..."),
      "operators' listeners to try in order; or LIMPETHATCH_AT");
  add("key-file", options::value(&arguments->key_file)->value_name("FILE"),
      "file whose first line that is not a comment is the operator key");
  add("timeout", options::value(&arguments->timeout)->value_name("TIME"),
      "for each instance tried (5s)");
  add("format", options::value(&arguments->format)->value_name("text|json"),
      "output format (text)");
  add("expect-version",
      options::value(&arguments->expect_version)->value_name("N"),
      "version that the change is based on");
  add("change-id",
      options::value(&arguments->options.change_id)->value_name("ID"),
      "id of the change; repeating it does not apply it twice");
  add("author", options::value(&arguments->options.author)->value_name("NAME"),
      "author recorded with the change");
  add("allow-disruption",
      options::bool_switch(&arguments->options.allow_disruption),
      "accept a change that breaks running steps");
  add("html", options::value(&arguments->options.html)->value_name("FILE"),
      "also write the report as an HTML page");
  add("logs", options::value(&arguments->options.logs)->value_name("DIR"),
      "directory with the logs of all processes, for explain");
  add("body-bytes",
      options::value(&arguments->options.body_bytes)->value_name("N"),
      "size of the request's body, for where");
  add("help", "print this help and exit");
  add("version", "print the version and exit");
  return description;
}

// Parses the instance addresses; prints the error and returns false if one is
// invalid.
bool ReadAddresses(Arguments* arguments) {
  if (const char* variable = std::getenv(kAddressVariable);
      arguments->at.empty() && variable != nullptr) {
    arguments->at = variable;
  }
  std::istringstream list(arguments->at);
  for (std::string text; std::getline(list, text, ',');) {
    Endpoint endpoint;
    if (!ParseEndpoint(text, &endpoint)) {
      fmt::print(stderr, "--at: \"{}\" is not IP:PORT\n", text);
      return false;
    }
    arguments->options.access.instances.push_back(endpoint);
  }
  return true;
}

// The first line that is neither empty nor a comment.
std::string FirstKeyLine(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    line.erase(line.find_last_not_of(" \t\r") + 1);
    line.erase(0, line.find_first_not_of(" \t"));
    if (!line.empty() && line.front() != '#') {
      return line;
    }
  }
  return {};
}

// Converts the arguments to command options; prints the error and returns
// false if one is invalid.
bool ResolveOptions(Arguments* arguments, bool has_expect_version) {
  CommandOptions& options = arguments->options;
  options.argument = arguments->file;
  if (has_expect_version) {
    options.expect_version = arguments->expect_version;
  }
  if (arguments->format != "text" && arguments->format != "json") {
    fmt::print(stderr, "--format: expected text or json\n");
    return false;
  }
  options.format = arguments->format == "json" ? Format::kJson : Format::kText;
  if (!ParseDuration(arguments->timeout, &options.access.timeout)) {
    fmt::print(stderr, "--timeout: expected a time such as 5s\n");
    return false;
  }
  if (!arguments->key_file.empty()) {
    JsonFaults faults;
    const auto text = ReadFile(arguments->key_file, faults);
    if (!text) {
      PrintFaults(arguments->key_file, faults);
      return false;
    }
    options.access.key = FirstKeyLine(*text);
  }
  return ReadAddresses(arguments);
}

// Whether the required arguments of the command are present; prints the
// missing one.
bool CheckRequiredArguments(const Arguments& arguments) {
  const std::string& command = arguments.command;
  const bool needs_file =
      command == "check" || command == "diff" || command == "apply";
  if (needs_file && arguments.file.empty()) {
    fmt::print(stderr, "{} needs a FILE\n", command);
    return false;
  }
  if (command == "where" && arguments.file.empty()) {
    fmt::print(stderr, "where needs a HOST/PATH\n");
    return false;
  }
  if (command == "explain" &&
      (arguments.file.empty() || arguments.options.logs.empty())) {
    fmt::print(stderr, "explain needs an ID and --logs DIR\n");
    return false;
  }
  const bool needs_instance =
      command != "check" && command != "explain" && command != "completion";
  if (needs_instance && arguments.options.access.instances.empty()) {
    fmt::print(stderr, "{} needs --at IP:PORT or {}\n", command,
               kAddressVariable);
    return false;
  }
  return true;
}

int Run(int argc, char** argv) {
  Arguments arguments;
  const options::options_description visible_options =
      DescribeOptions(&arguments);
  options::options_description all_options;
  all_options.add(visible_options);
  all_options.add_options()("command", options::value(&arguments.command));
  all_options.add_options()("file", options::value(&arguments.file));
  options::positional_options_description positional;
  positional.add("command", 1).add("file", 1);
  options::variables_map parsed;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(all_options)
                       .positional(positional)
                       .run(),
                   parsed);
    options::notify(parsed);
  } catch (const options::error& error) {
    fmt::print(stderr, "limpethatchctl: {}; see --help\n", error.what());
    return kExitUsage;
  }
  if (parsed.contains("version")) {
    fmt::print("limpethatchctl {}\n", LIMPETHATCH_VERSION);
    return kExitSuccess;
  }
  const auto command = Commands().find(arguments.command);
  if (parsed.contains("help") || command == Commands().end()) {
    std::ostringstream text;
    text << visible_options;
    fmt::print(parsed.contains("help") ? stdout : stderr, "{}{}", kUsage,
               text.str());
    return parsed.contains("help") ? kExitSuccess : kExitUsage;
  }
  if (!ResolveOptions(&arguments, parsed.contains("expect-version")) ||
      !CheckRequiredArguments(arguments)) {
    return kExitUsage;
  }
  return command->second(arguments.options);
}

}  // namespace
}  // namespace limpethatch

int main(int argc, char** argv) {
  return limpethatch::Run(argc, argv);
}
