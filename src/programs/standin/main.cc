// limpethatch-standin: stand-ins for the services and engines that the system
// works with.
#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <string_view>

#include "limpethatch/process/command_line.h"
#include "programs/standin/subcommands.h"

namespace {

using Subcommand = int (*)(int argc, const char* const* argv);

constexpr std::string_view kUsage =
    "Usage: limpethatch-standin engine|service|weights|link [options]\n"
    "  engine   a model engine with continuous batching\n"
    "  service  a plain HTTP service that counts its orders\n"
    "  weights  a rate-limited weight store\n"
    "  link     a TCP forwarder that delays, silences or cuts connections\n"
    "Each subcommand has --help and --version.\n";

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string_view, Subcommand> subcommands = {
      {"engine", limpethatch::standin::EngineMain},
      {"service", limpethatch::standin::ServiceMain},
      {"weights", limpethatch::standin::WeightsMain},
      {"link", limpethatch::standin::LinkMain}};
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help") {
    fmt::print("{}", kUsage);
    return limpethatch::kExitOk;
  }
  if (name == "--version") {
    fmt::print("limpethatch-standin {}\n", LIMPETHATCH_VERSION);
    return limpethatch::kExitOk;
  }
  const auto found = subcommands.find(name);
  if (found == subcommands.end()) {
    fmt::print(stderr, "{}", kUsage);
    return limpethatch::kExitBadSettings;
  }
  return found->second(argc - 1, argv + 1);
}
