// Command-line options of all programs with a settings file.
#ifndef LIMPETHATCH_PROCESS_COMMAND_LINE_H_
#define LIMPETHATCH_PROCESS_COMMAND_LINE_H_

#include <string>
#include <string_view>
#include <variant>

namespace limpethatch {

// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

struct CommandLine {
  std::string settings_path;
  bool check_only = false;
};

// Parses --settings, --check, --help and --version. Returns an exit code if the
// program should exit: after --help or --version, or after printing an error
// about an invalid option to standard error.
std::variant<CommandLine, int> ParseCommandLine(int argc,
                                                const char* const* argv,
                                                std::string_view program,
                                                std::string_view description);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_COMMAND_LINE_H_
