#include "limpethatch/request/configuration_freshness.h"

#include <algorithm>

namespace limpethatch {

void ConfigurationFreshness::OnReport(const ConfigurationReport& report,
                                      TimePoint now) {
  reported_at_[report.instance] = now;
  if (report.version > announced_version_) {
    announced_version_ = report.version;
    announced_at_ = now;
  }
  if (report.age && report.version != 0 && report.version <= version_) {
    const TimePoint confirmed_at = now - *report.age;
    confirmed_at_ =
        std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
  }
}

bool ConfigurationFreshness::IsCurrent(TimePoint now) const {
  return confirmed_at_ && now - *confirmed_at_ < options_.max_age;
}

bool ConfigurationFreshness::IsOutdated(TimePoint now) const {
  const bool announced_in_vain =
      announced_version_ > version_ && now - announced_at_ >= options_.max_age;
  return now - started_at_ >= options_.start_time && ReachesMajority(now) &&
         (announced_in_vain || !IsCurrent(now));
}

bool ConfigurationFreshness::ExpectsTransfer(TimePoint now) const {
  return announced_version_ > version_ &&
         now - announced_at_ < options_.transfer_time;
}

bool ConfigurationFreshness::ReachesMajority(TimePoint now) const {
  const auto reachable = static_cast<size_t>(std::count_if(
      reported_at_.begin(), reported_at_.end(), [&](const auto& entry) {
        return now - entry.second < options_.reachable_time;
      }));
  return 2 * reachable > instances_;
}

}  // namespace limpethatch
