#include "limpethatch/version/usage/usage_recorder.h"

#include <algorithm>

#include "limpethatch/version/usage/usage_window.h"

namespace limpethatch {
namespace {

// Clocks of gateways may be ahead, and one that stops reports the window that
// has not ended yet.
constexpr uint64_t kMaxWindowsAhead = 1;

}  // namespace

void UsageRecorder::Reset() {
  windows_.clear();
  bytes_ = 0;
}

UsageCountsOutcome UsageRecorder::Collect(const wire::UsageCounts& counts,
                                          const UsageLedger& ledger,
                                          WallTime now) {
  RemoveOldWindows(now);
  const uint64_t number = counts.window().number();
  const Sender sender(counts.instance(), counts.incarnation());
  std::string bytes = counts.window().SerializeAsString();
  const auto window = windows_.find(number);
  if (window != windows_.end() && window->second.planned) {
    const auto included = window->second.counts.find(sender);
    return included != window->second.counts.end() && included->second == bytes
               ? UsageCountsOutcome::kRecorded
               : UsageCountsOutcome::kLate;
  }
  if (number < ledger.next_window() || IsTooOld(number, now)) {
    return UsageCountsOutcome::kRecorded;
  }
  if (number > UsageWindowAt(now, options_.window) + kMaxWindowsAhead ||
      bytes_ + bytes.size() > kMaxBytes) {
    return UsageCountsOutcome::kNotStored;
  }
  std::string& stored = windows_[number].counts[sender];
  bytes_ = bytes_ - stored.size() + bytes.size();
  stored = std::move(bytes);
  return UsageCountsOutcome::kCollected;
}

std::optional<wire::UsageRecord> UsageRecorder::Plan(const UsageLedger& ledger,
                                                     bool organisations,
                                                     WallTime now,
                                                     Duration leading_for) {
  RemoveOldWindows(now);
  wire::UsageRecord record;
  const uint64_t current = UsageWindowAt(now, options_.window);
  if (ledger.next_window() == 0) {
    if (!organisations) {
      return std::nullopt;
    }
    record.set_first_window(current + 1);
    return record;
  }
  for (const auto& [number, window] : ledger.windows()) {
    if (IsTooOld(number, now)) {
      record.add_settled(number);
    }
  }
  const uint64_t oldest = UsageWindowAt(
      now - std::chrono::duration_cast<WallTime::duration>(options_.max_age),
      options_.window);
  const uint64_t number = std::max(ledger.next_window(), oldest);
  if (leading_for >= options_.collect_time &&
      now >= UsageWindowEnd(number, options_.window) + options_.record_delay) {
    *record.mutable_window() = Sum(number);
    windows_[number].planned = true;
  }
  if (!record.has_window() && record.settled().empty()) {
    return std::nullopt;
  }
  return record;
}

size_t UsageRecorder::CountInstances(uint64_t window) const {
  const auto found = windows_.find(window);
  return found == windows_.end() ? 0 : found->second.counts.size();
}

bool UsageRecorder::IsTooOld(uint64_t window, WallTime now) const {
  return now > UsageWindowEnd(window, options_.window) + options_.max_age;
}

void UsageRecorder::RemoveOldWindows(WallTime now) {
  while (!windows_.empty() && IsTooOld(windows_.begin()->first, now)) {
    for (const auto& [sender, bytes] : windows_.begin()->second.counts) {
      bytes_ -= bytes.size();
    }
    windows_.erase(windows_.begin());
  }
}

wire::UsageWindow UsageRecorder::Sum(uint64_t number) const {
  std::map<std::string, uint64_t> totals;
  if (const auto found = windows_.find(number); found != windows_.end()) {
    for (const auto& [sender, bytes] : found->second.counts) {
      wire::UsageWindow counts;
      counts.ParseFromString(bytes);
      for (const wire::OrganisationUsage& usage : counts.counts()) {
        totals[usage.organisation()] += usage.requests();
      }
    }
  }
  wire::UsageWindow sum;
  sum.set_number(number);
  for (const auto& [organisation, requests] : totals) {
    if (requests > 0) {
      wire::OrganisationUsage& usage = *sum.add_counts();
      usage.set_organisation(organisation);
      usage.set_requests(requests);
    }
  }
  return sum;
}

}  // namespace limpethatch
