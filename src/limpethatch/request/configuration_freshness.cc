#include "limpethatch/request/configuration_freshness.h"

#include <algorithm>

namespace limpethatch {

void ConfigurationFreshness::OnReport(const ConfigurationReport& report,
                                      TimePoint now) {
  reports_[report.instance] = {now, report.knows_leader};
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
  return now - started_at_ >= options_.start_time && MajorityIsLed(now) &&
         (announced_in_vain || !IsCurrent(now));
}

bool ConfigurationFreshness::ExpectsTransfer(TimePoint now) const {
  return announced_version_ > version_ &&
         now - announced_at_ < options_.transfer_time;
}

bool ConfigurationFreshness::MajorityIsLed(TimePoint now) const {
  const auto led = static_cast<size_t>(
      std::count_if(reports_.begin(), reports_.end(), [&](const auto& entry) {
        const Instance& instance = entry.second;
        return instance.knows_leader &&
               now - instance.reported_at < options_.reachable_time;
      }));
  return 2 * led > instances_;
}

}  // namespace limpethatch
