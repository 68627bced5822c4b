#include <fmt/format.h>

#include <filesystem>
#include <string>
#include <vector>

#include "limpethatch/process/settings.h"
#include "programs/ctl/commands.h"
#include "programs/ctl/explanation.h"

namespace limpethatch {

int ExplainId(const CommandOptions& options) {
  std::error_code error;
  std::vector<std::string> logs;
  for (const auto& entry :
       std::filesystem::directory_iterator(options.logs, error)) {
    if (!entry.is_regular_file()) {
      continue;
    }
    JsonFaults faults;
    const auto text = ReadFile(entry.path().string(), faults);
    if (!text) {
      PrintFaults(entry.path().string(), faults);
      return kExitFault;
    }
    logs.push_back(*text);
  }
  if (error) {
    fmt::print(stderr, "--logs {}: {}\n", options.logs, error.message());
    return kExitUsage;
  }
  const Explanation explanation = Explain(options.argument, logs);
  fmt::print("{}", ToText(explanation));
  return explanation.events.empty() ? kExitFault : kExitSuccess;
}

}  // namespace limpethatch
