#include "limpethatch/process/target_rate_limits.h"

#include <algorithm>
#include <chrono>

#include "limpethatch/process/bounded_number.h"

namespace limpethatch {
namespace {

Duration Spacing(const TargetRateLimit& limit) {
  // The minimum also takes the place of a rate that is not a number.
  return BoundedTime<std::chrono::seconds>(
      1.0 / std::max(TargetRateLimits::kMinRequestsPerSecond,
                     limit.requests_per_second));
}

}  // namespace

bool TargetRateLimits::Observe(const std::string& target,
                               uint64_t incarnation,
                               std::optional<double> requests_per_second) {
  const auto known = limits_.find(target);
  if (known != limits_.end() && known->second.incarnation > incarnation) {
    return false;
  }
  if (!requests_per_second) {
    const bool was_limited = known != limits_.end();
    Drop(target);
    return was_limited;
  }
  const TargetRateLimit limit{incarnation, *requests_per_second};
  if (known != limits_.end() && known->second == limit) {
    return false;
  }
  limits_[target] = limit;
  return true;
}

void TargetRateLimits::Replace(const TargetRateLimitMap& limits) {
  limits_ = limits;
  std::erase_if(next_due_at_, [&](const auto& entry) {
    return !limits_.contains(entry.first);
  });
}

void TargetRateLimits::Drop(std::string_view target) {
  if (const auto found = limits_.find(target); found != limits_.end()) {
    limits_.erase(found);
  }
  if (const auto found = next_due_at_.find(target);
      found != next_due_at_.end()) {
    next_due_at_.erase(found);
  }
}

Duration TargetRateLimits::TimeToSend(std::string_view target,
                                      TimePoint now) const {
  const auto limit = limits_.find(target);
  const auto due = next_due_at_.find(target);
  if (limit == limits_.end() || due == next_due_at_.end()) {
    return Duration::zero();
  }
  return std::max(due->second - kBurstTime - now, Duration::zero());
}

TargetRateLimits::Permit TargetRateLimits::Acquire(std::string_view target,
                                                   Duration max_wait,
                                                   TimePoint now) {
  const auto limit = limits_.find(target);
  if (limit == limits_.end()) {
    return {.granted = true};
  }
  const Duration wait = TimeToSend(target, now);
  if (wait > max_wait) {
    return {.granted = false, .wait = wait};
  }
  const auto [due, is_new] =
      next_due_at_.try_emplace(std::string(target), now + kBurstTime);
  due->second = std::max(due->second, now) + Spacing(limit->second);
  return {.granted = true, .wait = wait};
}

}  // namespace limpethatch
