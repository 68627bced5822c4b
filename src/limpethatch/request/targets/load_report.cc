#include "limpethatch/request/targets/load_report.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr uint32_t kMaxSlots = 4096;
// Requests have deadlines of at most some 100 times the work of one, so a
// longer queue would hold only requests that are past theirs.
constexpr uint32_t kMaxWaitingPerSlot = 100;
// Noisy neighbours were seen to take up to 2.5 times the work.
constexpr double kMinPace = 0.2;
constexpr double kMaxPace = 10;

}  // namespace

LoadReport BoundLoadReport(const LoadReport& report) {
  LoadReport bounded;
  bounded.slots = std::clamp<uint32_t>(report.slots, 1, kMaxSlots);
  bounded.running = std::min(report.running, bounded.slots);
  bounded.waiting =
      std::min(report.waiting, bounded.slots * kMaxWaitingPerSlot);
  // The comparison is false for a number that is not one.
  bounded.pace =
      report.pace >= kMinPace ? std::min(report.pace, kMaxPace) : kMinPace;
  return bounded;
}

}  // namespace limpethatch
