#include "limpethatch/process/internal/message_delay_estimator.h"

#include <algorithm>

namespace limpethatch {
namespace {

// Two monotonic clocks drift apart by less than one second in this many.
constexpr int kDriftDivisor = 2000;
constexpr Duration kSenderLifetime = std::chrono::hours(1);

}  // namespace

Duration MessageDelayEstimator::ExcessDelay(uint64_t sender,
                                            Duration sent,
                                            TimePoint now) {
  const Duration delay = now.time_since_epoch() - sent;
  const auto [entry, is_new] = senders_.try_emplace(sender, Sender{delay, now});
  Sender& known = entry->second;
  const Duration drift = (now - known.updated_at) / kDriftDivisor;
  known.min_delay = std::min(known.min_delay + drift, delay);
  known.updated_at = now;
  return delay - known.min_delay;
}

void MessageDelayEstimator::Expire(TimePoint now) {
  std::erase_if(senders_, [&](const auto& entry) {
    return now - entry.second.updated_at > kSenderLifetime;
  });
}

}  // namespace limpethatch
