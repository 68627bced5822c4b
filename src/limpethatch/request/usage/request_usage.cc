#include "limpethatch/request/usage/request_usage.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

RequestUsage::RequestUsage(UsageCounter& counter, std::string organisation)
    : counter_(counter), organisation_(std::move(organisation)) {}

size_t RequestUsage::OnSent(WallTime now) {
  windows_.push_back(organisation_.empty() ? std::nullopt
                                           : counter_.WindowAt(now));
  UpdateCount();
  return windows_.size() - 1;
}

void RequestUsage::OnNotRun(size_t attempt) {
  windows_[attempt].reset();
  UpdateCount();
}

void RequestUsage::UpdateCount() {
  const auto first =
      std::find_if(windows_.begin(), windows_.end(),
                   [](const auto& window) { return window.has_value(); });
  const std::optional<uint64_t> window =
      first == windows_.end() ? std::nullopt : *first;
  if (window == counted_in_) {
    return;
  }
  if (counted_in_) {
    counter_.Subtract(organisation_, *counted_in_);
  }
  if (window) {
    counter_.Add(organisation_, *window);
  }
  counted_in_ = window;
}

}  // namespace limpethatch
