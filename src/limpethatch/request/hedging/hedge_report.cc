#include "limpethatch/request/hedging/hedge_report.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(250);

}  // namespace

void HedgeReport::OnFirstAttemptEnded(Duration took, TimePoint now) {
  if (periods_.empty() || now - periods_.back().start >= kPeriod) {
    periods_.push_back({now});
  }
  periods_.back().took += took;
  while (now - periods_.front().start > kSavingTime) {
    periods_.pop_front();
  }
}

void HedgeReport::OnHedgeEnded(Duration took, Duration expected) {
  overrun_ += std::max(took - expected, Duration::zero());
}

HedgeReport::Figures HedgeReport::Take(TimePoint now) {
  Duration earned{};
  for (const Period& period : periods_) {
    if (now - period.start <= kSavingTime) {
      earned += period.took;
    }
  }
  periods_.clear();
  const Figures figures{
      .earned = std::chrono::floor<std::chrono::milliseconds>(earned),
      .overrun = std::chrono::ceil<std::chrono::milliseconds>(overrun_)};
  overrun_ = {};
  return figures;
}

}  // namespace limpethatch
