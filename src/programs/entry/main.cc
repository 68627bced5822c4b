// limpethatch-entry: serves callers, trainers, targets and operators.

#include "limpethatch/process/command_line.h"
#include "limpethatch/process/log.h"
#include "programs/entry/entry.h"

int main(int argc, char** argv) {
  using namespace limpethatch;  // NOLINT(google-build-using-namespace)
  const auto parsed =
      ParseCommandLine(argc, argv, "limpethatch-entry",
                       "An entry instance: routes requests of callers and "
                       "trainers to targets.");
  if (const int* code = std::get_if<int>(&parsed)) {
    return *code;
  }
  const auto& line = std::get<CommandLine>(parsed);
  const auto settings = LoadSettings<EntrySettings>(line.settings_path);
  if (!settings) {
    return kExitBadSettings;
  }
  if (line.check_only) {
    return kExitOk;
  }
  ConfigureLog("entry", settings->process.id, settings->process.log_level,
               LogOutput::kStandardOutput);
  Entry entry(*settings);
  if (entry.Start()) {
    return kExitFailure;
  }
  entry.Run();
  return kExitOk;
}
