#include "limpethatch/version/usage/usage_ledger.h"

namespace limpethatch {

void UsageLedger::Apply(const wire::UsageRecord& record) {
  for (const uint64_t number : record.settled()) {
    windows_.erase(number);
  }
  if (next_window_ == 0) {
    next_window_ = record.first_window();
  }
  if (const wire::UsageWindow& window = record.window();
      record.has_window() && next_window_ != 0 &&
      window.number() >= next_window_) {
    next_window_ = window.number() + 1;
    windows_[window.number()] = window;
  }
}

wire::UsageSnapshot UsageLedger::Snapshot() const {
  wire::UsageSnapshot snapshot;
  snapshot.set_next_window(next_window_);
  for (const auto& [number, window] : windows_) {
    *snapshot.add_windows() = window;
  }
  return snapshot;
}

void UsageLedger::Restore(const wire::UsageSnapshot& snapshot) {
  next_window_ = snapshot.next_window();
  windows_.clear();
  for (const wire::UsageWindow& window : snapshot.windows()) {
    windows_[window.number()] = window;
  }
}

}  // namespace limpethatch
