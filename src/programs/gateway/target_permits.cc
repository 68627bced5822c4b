#include "programs/gateway/target_permits.h"

#include <chrono>
#include <utility>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// For this long an answer to this gateway outweighs the announced limits, which
// may not reflect it yet.
constexpr Duration kStatedTime = std::chrono::seconds(3);
// Timeout of a permit query. A caller is better served by another target than
// by a longer wait.
constexpr Duration kPermitTimeout = milliseconds(150);
// Timeout of a report.
constexpr Duration kReportTimeout = milliseconds(2500);

}  // namespace

void TargetPermits::OnNews(const wire::TargetRates& rates) {
  announced_.clear();
  for (const wire::TargetRate& rate : rates.rates()) {
    announced_[rate.target()] = {rate.incarnation(),
                                 rate.requests_per_second()};
  }
  const TimePoint now = Clock::now();
  std::erase_if(stated_, [&](const auto& entry) {
    return now - entry.second.at > kStatedTime;
  });
}

void TargetPermits::OnAnswer(const Target& target,
                             std::optional<double> rate_limit) {
  const TimePoint now = Clock::now();
  if (!rate_limit && !IsLimited(target, now)) {
    return;
  }
  Stated& stated = stated_[target.id];
  stated.at = now;
  stated.limit.reset();
  wire::ControlRequest request;
  wire::TargetRateReport& report = *request.mutable_target_rate();
  report.set_target(target.id);
  report.set_incarnation(target.incarnation);
  if (rate_limit) {
    stated.limit = TargetRateLimit{target.incarnation, *rate_limit};
    report.set_requests_per_second(*rate_limit);
  }
  Spawn(io_, [this, request = std::move(request),
              deadline = now + kReportTimeout](Yield yield) {
    if (control_client_.SendRequest(yield, request, deadline).certainty !=
        ControlCertainty::kDone) {
      // The next answer of the target is reported again.
      Log(LogLevel::kWarning, "rate_limit_report_failed",
          {{"target", request.target_rate().target()}});
    }
  });
}

std::optional<TargetRateLimit> TargetPermits::Find(const Target& target,
                                                   TimePoint now) const {
  if (const auto stated = stated_.find(target.id);
      stated != stated_.end() && now - stated->second.at <= kStatedTime &&
      (!stated->second.limit ||
       stated->second.limit->incarnation == target.incarnation)) {
    return stated->second.limit;
  }
  const auto announced = announced_.find(target.id);
  if (announced == announced_.end() ||
      announced->second.incarnation != target.incarnation) {
    return std::nullopt;
  }
  return announced->second;
}

bool TargetPermits::IsLimited(const Target& target, TimePoint now) const {
  return Find(target, now).has_value();
}

std::optional<TargetRateLimits::Permit>
TargetPermits::Acquire(Yield yield, const Target& target, Duration max_wait) {
  const TimePoint now = Clock::now();
  const std::optional<TargetRateLimit> limit = Find(target, now);
  if (!limit) {
    return TargetRateLimits::Permit{.granted = true};
  }
  wire::ControlRequest request;
  wire::TargetPermitQuery& query = *request.mutable_target_permit();
  query.mutable_rate()->set_target(target.id);
  query.mutable_rate()->set_incarnation(limit->incarnation);
  query.mutable_rate()->set_requests_per_second(limit->requests_per_second);
  query.set_max_wait_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(max_wait).count()));
  const ControlClient::Answer answer =
      control_client_.SendRequest(yield, request, now + kPermitTimeout);
  if (answer.certainty != ControlCertainty::kDone) {
    Log(LogLevel::kInfo, "permit_unavailable", {{"target", target.id}});
    return std::nullopt;
  }
  const wire::TargetPermit& permit = answer.reply.target_permit();
  return TargetRateLimits::Permit{
      .granted = permit.granted(),
      .wait = BoundedTime<milliseconds>(permit.wait_ms())};
}

}  // namespace limpethatch
