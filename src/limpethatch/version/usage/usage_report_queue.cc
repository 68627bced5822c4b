#include "limpethatch/version/usage/usage_report_queue.h"

#include <algorithm>

namespace limpethatch {

const wire::UsageWindow* UsageReportQueue::Next(const UsageLedger& ledger,
                                                TimePoint now) const {
  if (now < next_call_.at) {
    return nullptr;
  }
  for (const auto& [number, window] : ledger.windows()) {
    const auto refused = refused_.find(number);
    if (!acknowledged_.contains(number) &&
        (refused == refused_.end() || now >= refused->second.at)) {
      return &window;
    }
  }
  return nullptr;
}

void UsageReportQueue::OnAnswer(uint64_t window,
                                UsageReportOutcome outcome,
                                TimePoint now) {
  if (outcome == UsageReportOutcome::kUnavailable) {
    BackOff(next_call_, now);
    return;
  }
  next_call_ = {.at = now + kCallSpacing};
  if (outcome == UsageReportOutcome::kRefused) {
    BackOff(refused_[window], now);
    return;
  }
  acknowledged_.insert(window);
}

std::vector<uint64_t> UsageReportQueue::AcknowledgedIn(
    const UsageLedger& ledger) {
  std::erase_if(acknowledged_, [&](uint64_t number) {
    return !ledger.windows().contains(number);
  });
  std::erase_if(refused_, [&](const auto& entry) {
    return !ledger.windows().contains(entry.first);
  });
  return {acknowledged_.begin(), acknowledged_.end()};
}

void UsageReportQueue::BackOff(Retry& retry, TimePoint now) {
  constexpr uint32_t kMaxDoublings = 8;
  const Duration delay =
      std::min(kFirstBackOff * (1U << std::min(retry.failures, kMaxDoublings)),
               kMaxBackOff);
  ++retry.failures;
  retry.at = now + delay;
}

}  // namespace limpethatch
