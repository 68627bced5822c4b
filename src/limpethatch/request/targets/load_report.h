// The four load figures that a target states with an answer.
#ifndef LIMPETHATCH_REQUEST_TARGETS_LOAD_REPORT_H_
#define LIMPETHATCH_REQUEST_TARGETS_LOAD_REPORT_H_

#include <cstdint>

namespace limpethatch {

struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 1;
  // Current duration of work there, relative to what is usual on that machine.
  double pace = 1;

  bool operator==(const LoadReport&) const = default;
};

// Returns the report with each figure limited to what a target can plausibly
// have. The caller compares it with `report` to count implausible reports.
LoadReport BoundLoadReport(const LoadReport& report);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGETS_LOAD_REPORT_H_
