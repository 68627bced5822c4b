#include "limpethatch/request/usage/usage_counter.h"

#include "limpethatch/version/usage/usage_window.h"

namespace limpethatch {

void UsageCounter::SetWindowLength(Duration length) {
  if (length == length_) {
    return;
  }
  length_ = length;
  windows_.clear();
  next_window_ = 0;
}

std::optional<uint64_t> UsageCounter::WindowAt(WallTime time) const {
  return enabled() ? std::optional(UsageWindowAt(time, length_)) : std::nullopt;
}

void UsageCounter::Add(const std::string& organisation, uint64_t window) {
  if (enabled() && window >= next_window_) {
    ++windows_[window].requests[organisation];
  }
}

void UsageCounter::Subtract(const std::string& organisation, uint64_t window) {
  const auto found = windows_.find(window);
  if (found == windows_.end()) {
    return;
  }
  std::map<std::string, uint64_t>& requests = found->second.requests;
  const auto counted = requests.find(organisation);
  if (counted != requests.end() && --counted->second == 0) {
    requests.erase(counted);
  }
}

std::optional<wire::UsageWindow> UsageCounter::NextReport(WallTime wall_now,
                                                          TimePoint now) {
  if (!enabled()) {
    return std::nullopt;
  }
  DropOldWindows(wall_now);
  for (auto& [number, window] : windows_) {
    if (wall_now < UsageWindowEnd(number, length_) + kSendDelay) {
      return std::nullopt;
    }
    // Counts that were sent and taken back since are replaced by none.
    const bool has_content = window.sent || !window.requests.empty();
    if (has_content && now >= window.next_send) {
      window.sent = true;
      window.next_send = now + kRepeatPeriod;
      return Encode(number, window);
    }
  }
  return std::nullopt;
}

std::vector<wire::UsageWindow> UsageCounter::AllCounts() const {
  std::vector<wire::UsageWindow> counts;
  for (const auto& [number, window] : windows_) {
    if (window.sent || !window.requests.empty()) {
      counts.push_back(Encode(number, window));
    }
  }
  return counts;
}

void UsageCounter::OnUnanswered(uint64_t window, TimePoint now) {
  if (const auto found = windows_.find(window); found != windows_.end()) {
    found->second.next_send = now + kRetryDelay;
  }
}

void UsageCounter::OnRecorded(uint64_t next_window) {
  if (next_window <= next_window_) {
    return;
  }
  next_window_ = next_window;
  windows_.erase(windows_.begin(), windows_.lower_bound(next_window));
}

void UsageCounter::DropOldWindows(WallTime wall_now) {
  while (!windows_.empty() &&
         wall_now >
             UsageWindowEnd(windows_.begin()->first, length_) + kMaxAge) {
    for (const auto& [organisation, requests] :
         windows_.begin()->second.requests) {
      dropped_ += requests;
    }
    windows_.erase(windows_.begin());
  }
}

wire::UsageWindow UsageCounter::Encode(uint64_t number, const Window& window) {
  wire::UsageWindow counts;
  counts.set_number(number);
  for (const auto& [organisation, requests] : window.requests) {
    wire::OrganisationUsage& usage = *counts.add_counts();
    usage.set_organisation(organisation);
    usage.set_requests(requests);
  }
  return counts;
}

}  // namespace limpethatch
