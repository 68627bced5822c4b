#include "limpethatch/process/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

Test(log, a_full_disk_does_not_end_the_process) {
  const int full = open("/dev/full", O_WRONLY);
  const int kept = dup(STDERR_FILENO);
  cr_assert_geq(full, 0);
  cr_assert_geq(dup2(full, STDERR_FILENO), 0);
  Log(LogLevel::kError, "into_a_full_disk");
  dup2(kept, STDERR_FILENO);
  close(full);
  close(kept);
}

Test(log, a_full_pipe_drops_lines_without_blocking) {
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  const int kept = dup(STDOUT_FILENO);
  cr_assert_geq(dup2(ends[1], STDOUT_FILENO), 0);
  ConfigureLog("test", "one", LogLevel::kInfo, LogOutput::kStandardOutput);
  const std::string long_text(4000, 'x');
  for (int i = 0; i < 100; ++i) {
    // A new event name each time, as the rate limit applies per event name.
    Log(LogLevel::kInfo, "event_" + std::to_string(i), {{"text", long_text}});
  }
  dup2(kept, STDOUT_FILENO);
  close(kept);
  close(ends[0]);
  close(ends[1]);
  ConfigureLog("test", "one", LogLevel::kInfo);
}

}  // namespace
}  // namespace limpethatch
