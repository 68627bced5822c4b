// Rate limits that targets state in their answers, and permits for requests
// within them.
//
// A limit holds for all requests of all processes together, so one process, the
// leader, grants the permits, by the generic cell rate algorithm. A limit that
// is new to this process starts without a burst: the target was busy, and
// another process may have granted permits just before.
#ifndef LIMPETHATCH_PROCESS_TARGET_RATE_LIMITS_H_
#define LIMPETHATCH_PROCESS_TARGET_RATE_LIMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct TargetRateLimit {
  uint64_t incarnation = 0;
  double requests_per_second = 0;

  bool operator==(const TargetRateLimit&) const = default;
};

using TargetRateLimitMap = std::map<std::string, TargetRateLimit, std::less<>>;

class TargetRateLimits {
 public:
  // A target whose limit is lower gets this rate nevertheless: only its answers
  // tell when the limit ends.
  static constexpr double kMinRequestsPerSecond = 0.1;
  // Permits that were not used for this long may be used at once.
  static constexpr Duration kBurstTime = std::chrono::milliseconds(1500);

  struct Permit {
    bool granted = false;
    // If granted, the request may be sent after this time; otherwise the time
    // after which a permit could be used.
    Duration wait{};
  };

  // Records what an answer of the target stated; nullopt: no limit. What an
  // earlier incarnation stated is ignored. Returns whether this is a change.
  bool Observe(const std::string& target,
               uint64_t incarnation,
               std::optional<double> requests_per_second);
  // Replaces all limits. Permits granted so far still count.
  void Replace(const TargetRateLimitMap& limits);
  void Drop(std::string_view target);

  bool IsLimited(std::string_view target) const {
    return limits_.contains(target);
  }
  const TargetRateLimitMap& limits() const { return limits_; }

  // Time until a request may be sent to the target; zero if it is not limited.
  Duration TimeToSend(std::string_view target, TimePoint now) const;
  // Grants a request that may be sent within `max_wait`.
  Permit Acquire(std::string_view target, Duration max_wait, TimePoint now);

 private:
  TargetRateLimitMap limits_;
  // When the next permit would be due if all were spaced evenly.
  std::map<std::string, TimePoint, std::less<>> next_due_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_TARGET_RATE_LIMITS_H_
