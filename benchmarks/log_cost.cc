// Measures the CPU time of one log line, written or suppressed by the rate
// limit, to be compared with the CPU time that a gateway spends on a call.
// Results go to standard error; redirect standard output, which receives the
// log lines, to /dev/null.
#include <fmt/format.h>

#include <chrono>
#include <ctime>
#include <string>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

constexpr int kEvents = 2000;
// Below the rate limit per event name, so that every line is written.
constexpr int kLinesPerEvent = 40;
constexpr int kSuppressedLines = 200'000;

double CpuNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

// The fields that a gateway logs for an answered call.
void LogAnswer(const std::string& event) {
  Log(LogLevel::kInfo, event,
      {{"request", "9c41d07be2a35f68"},
       {"route", "r-x73d3zj"},
       {"target", "i-7f3a91c2"},
       {"status", 200},
       {"attempts", 1}});
}

void Measure() {
  double start = CpuNanoseconds();
  for (int event = 0; event < kEvents; ++event) {
    const std::string name = fmt::format("answered_{}", event);
    for (int line = 0; line < kLinesPerEvent; ++line) {
      LogAnswer(name);
    }
  }
  const double written_ns =
      (CpuNanoseconds() - start) / kEvents / kLinesPerEvent;
  start = CpuNanoseconds();
  for (int line = 0; line < kSuppressedLines; ++line) {
    LogAnswer("answered");
  }
  const double suppressed_ns = (CpuNanoseconds() - start) / kSuppressedLines;
  fmt::print(stderr, "a line that is written: {:.0f} ns\n", written_ns);
  fmt::print(stderr, "a line that is left out: {:.0f} ns\n", suppressed_ns);
}

}  // namespace
}  // namespace limpethatch

int main() {
  limpethatch::ConfigureLog("limpethatch-gateway", "10.1.0.10",
                            limpethatch::LogLevel::kInfo,
                            limpethatch::LogOutput::kStandardOutput);
  limpethatch::Measure();
}
