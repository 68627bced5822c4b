// Replicated record of the requests of organisations in each usage window.
//
// A window is recorded once, before it is reported, so that every report of it
// has the same counts, whichever leader sends it. Windows are recorded in
// ascending order, and are kept until they are settled.
#ifndef LIMPETHATCH_VERSION_USAGE_USAGE_LEDGER_H_
#define LIMPETHATCH_VERSION_USAGE_USAGE_LEDGER_H_

#include <cstdint>
#include <map>

#include "fleet.pb.h"

namespace limpethatch {

class UsageLedger {
 public:
  void Apply(const wire::UsageRecord& record);
  wire::UsageSnapshot Snapshot() const;
  void Restore(const wire::UsageSnapshot& snapshot);

  // The first window that is not recorded; 0 before the first one was named.
  uint64_t next_window() const { return next_window_; }
  // The windows that are recorded and not settled, by number.
  const std::map<uint64_t, wire::UsageWindow>& windows() const {
    return windows_;
  }

 private:
  uint64_t next_window_ = 0;
  std::map<uint64_t, wire::UsageWindow> windows_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_USAGE_USAGE_LEDGER_H_
