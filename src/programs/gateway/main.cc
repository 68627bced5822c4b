// limpethatch-gateway: forwards live requests to targets, and batch jobs to the
// control instances.
#include <csignal>

#include "limpethatch/process/command_line.h"
#include "limpethatch/process/heap.h"
#include "limpethatch/process/log.h"
#include "programs/gateway/gateway.h"

int main(int argc, char** argv) {
  using namespace limpethatch;  // NOLINT(google-build-using-namespace)
  const auto parsed = ParseCommandLine(
      argc, argv, "limpethatch-gateway",
      "Forwards live requests to targets and batch jobs to control instances.");
  if (const int* code = std::get_if<int>(&parsed)) {
    return *code;
  }
  const auto& line = std::get<CommandLine>(parsed);
  const auto settings = LoadSettings<GatewaySettings>(line.settings_path);
  if (!settings) {
    return kExitBadSettings;
  }
  if (line.check_only) {
    return kExitOk;
  }
  UseSmallHeap();
  std::signal(SIGPIPE, SIG_IGN);
  ConfigureLog("limpethatch-gateway", settings->process.id,
               settings->process.log_level, LogOutput::kStandardOutput);
  Gateway gateway(*settings, line.settings_path);
  if (gateway.Start()) {
    return kExitFailure;
  }
  gateway.Run();
  return kExitOk;
}
