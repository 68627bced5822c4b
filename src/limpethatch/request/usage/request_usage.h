// The count of one request: it is counted once, in the window in which its
// first attempt that may have run was sent.
#ifndef LIMPETHATCH_REQUEST_USAGE_REQUEST_USAGE_H_
#define LIMPETHATCH_REQUEST_USAGE_REQUEST_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "limpethatch/process/wall_clock.h"
#include "limpethatch/request/usage/usage_counter.h"

namespace limpethatch {

// An attempt counts from the moment it is sent until it is known not to have
// run, since an attempt may end long after its window was reported.
class RequestUsage {
 public:
  // A request of no organisation, as an empty name states, is not counted. The
  // counter must outlive the calls.
  RequestUsage(UsageCounter& counter, std::string organisation);

  // Returns the number of the attempt.
  size_t OnSent(WallTime now);
  // The attempt provably did not run.
  void OnNotRun(size_t attempt);

 private:
  // Counts the request in the window of its first attempt that may have run.
  void UpdateCount();

  UsageCounter& counter_;
  const std::string organisation_;
  // Window of each attempt; nullopt if the attempt does not count.
  std::vector<std::optional<uint64_t>> windows_;
  std::optional<uint64_t> counted_in_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_USAGE_REQUEST_USAGE_H_
