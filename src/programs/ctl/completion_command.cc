#include <fmt/format.h>

#include "programs/ctl/commands.h"

namespace limpethatch {
namespace {

constexpr const char* kBashCompletion = R"(_limpethatchctl() {
  local current="${COMP_WORDS[COMP_CWORD]}"
  local commands="check diff apply status history burn drain explain where
    completion"
  local options="--at --key-file --timeout --format --expect-version
    --body-bytes --change-id --author --allow-disruption --html --help --version"
  if [[ $current == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$current"))
  elif [[ $COMP_CWORD -eq 1 ]]; then
    COMPREPLY=($(compgen -W "$commands" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}
complete -F _limpethatchctl limpethatchctl
)";

}  // namespace

int Completion(const CommandOptions& /*options*/) {
  fmt::print("{}", kBashCompletion);
  return kExitSuccess;
}

}  // namespace limpethatch
