#include "limpethatch/request/target_stats.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr double kLatencyGain = 0.2;
constexpr double kFailureGain = 0.1;
// Probes are rare, so two or three successful ones must be enough.
constexpr double kProbeGain = 0.7;
// An overtaken call that has lasted t is taken for one of this times t, as the
// rest of a long call is about as long again. With 1, a slow target looked
// faster with hedges than without, and got more requests.
constexpr double kOvertakenFactor = 2;
constexpr int kCountBits = 24;
constexpr uint64_t kCountMask = (uint64_t{1} << kCountBits) - 1;

uint64_t TickOf(TimePoint when) {
  return static_cast<uint64_t>(std::max<Duration::rep>(
      0, when.time_since_epoch() / TargetStats::kHistoryTick));
}

void Smooth(std::atomic<double>& value, double sample, double gain) {
  double seen = value.load(std::memory_order_relaxed);
  while (!value.compare_exchange_weak(seen, seen + gain * (sample - seen),
                                      std::memory_order_relaxed)) {
  }
}

// Failure share that answered health probes converge to.
constexpr double kHealthyFailureShare = 0.08;

// Returns true to the one caller that advances `last` to a later time.
bool TryAdvance(std::atomic<Duration::rep>& last, TimePoint to) {
  const Duration::rep at = to.time_since_epoch().count();
  Duration::rep seen = last.load(std::memory_order_relaxed);
  return at > seen &&
         last.compare_exchange_strong(seen, at, std::memory_order_relaxed);
}

}  // namespace

void TargetStats::Begin(RequestClass request_class, TimePoint now) {
  if (request_class == RequestClass::kRollout) {
    rollouts_outstanding_.fetch_add(1, std::memory_order_relaxed);
  }
  RecordOutstanding(outstanding_.fetch_add(1, std::memory_order_relaxed) + 1,
                    now);
}

void TargetStats::End(RequestClass request_class,
                      CallOutcome outcome,
                      Duration latency,
                      TimePoint now) {
  if (request_class == RequestClass::kRollout) {
    rollouts_outstanding_.fetch_sub(1, std::memory_order_relaxed);
  }
  RecordOutstanding(outstanding_.fetch_sub(1, std::memory_order_relaxed) - 1,
                    now);
  if (outcome == CallOutcome::kCancelled) {
    return;
  }
  const double least_gain = ejected() ? kProbeGain : 0;
  double latency_s = std::chrono::duration<double>(latency).count();
  Estimate& estimate = estimates_[static_cast<size_t>(request_class)];
  if (outcome == CallOutcome::kOvertaken) {
    if (latency_s <= estimate.latency_s.load(std::memory_order_relaxed)) {
      return;  // The call may have been a usual one.
    }
    latency_s *= kOvertakenFactor;
  } else {
    const bool failed = outcome == CallOutcome::kFailed;
    Smooth(failure_share_, failed ? 1.0 : 0.0,
           std::max(kFailureGain, least_gain));
    if (failed) {
      return;
    }
  }
  const uint32_t samples =
      estimate.samples.fetch_add(1, std::memory_order_relaxed) + 1;
  Smooth(estimate.latency_s, latency_s,
         std::max({kLatencyGain, 1.0 / samples, least_gain}));
}

uint32_t TargetStats::OutstandingAt(TimePoint when) const {
  const uint64_t wanted = TickOf(when);
  uint64_t before = 0;          // The newest entry not after `when`.
  uint64_t after = UINT64_MAX;  // The oldest entry after it.
  for (const std::atomic<uint64_t>& entry : history_) {
    const uint64_t seen = entry.load(std::memory_order_relaxed);
    if (seen == 0) {
      continue;
    }
    if ((seen >> kCountBits) <= wanted) {
      before = std::max(before, seen);
    } else {
      after = std::min(after, seen);
    }
  }
  if (before != 0) {
    return static_cast<uint32_t>(before & kCountMask);
  }
  return after == UINT64_MAX ? 0 : static_cast<uint32_t>(after & kCountMask);
}

double TargetStats::latency_s(RequestClass request_class) const {
  return estimates_[static_cast<size_t>(request_class)].latency_s.load(
      std::memory_order_relaxed);
}

uint32_t TargetStats::samples(RequestClass request_class) const {
  return estimates_[static_cast<size_t>(request_class)].samples.load(
      std::memory_order_relaxed);
}

double TargetStats::failure_share() const {
  return failure_share_.load(std::memory_order_relaxed);
}

void TargetStats::set_ejected(bool ejected, TimePoint now) {
  if (ejected && !this->ejected()) {
    last_probe_.store(now.time_since_epoch().count(),
                      std::memory_order_relaxed);
  }
  ejected_.store(ejected, std::memory_order_relaxed);
}

bool TargetStats::TryClaimProbe(TimePoint now, Duration interval) {
  const Duration::rep at = now.time_since_epoch().count();
  Duration::rep last = last_probe_.load(std::memory_order_relaxed);
  return at - last >= interval.count() &&
         last_probe_.compare_exchange_strong(last, at,
                                             std::memory_order_relaxed);
}

void TargetStats::OnHealthProbe(bool answered) {
  const double share = failure_share();
  if (!answered || share > kHealthyFailureShare) {
    Smooth(failure_share_, answered ? kHealthyFailureShare : 1.0, kProbeGain);
  }
}

Duration TargetStats::ObserveFreeSlots(bool free, TimePoint reported) {
  const Duration::rep at = reported.time_since_epoch().count();
  const Duration::rep since = free_since_.load(std::memory_order_relaxed);
  if (!free) {
    free_since_.store(0, std::memory_order_relaxed);
    return Duration::zero();
  }
  if (since == 0) {
    free_since_.store(at, std::memory_order_relaxed);
    return Duration::zero();
  }
  return Duration(at - since);
}

void TargetStats::BorrowSlot(TimePoint stamp) {
  if (TryAdvance(last_borrow_, stamp)) {
    borrowed_.fetch_add(1, std::memory_order_relaxed);
  }
}

void TargetStats::ReturnSlot(TimePoint stamp) {
  uint32_t borrowed = borrowed_.load(std::memory_order_relaxed);
  if (borrowed > 0 && TryAdvance(last_return_, stamp)) {
    while (borrowed > 0 &&
           !borrowed_.compare_exchange_weak(borrowed, borrowed - 1,
                                            std::memory_order_relaxed)) {
    }
  }
}

void TargetStats::RecordOutstanding(uint32_t outstanding, TimePoint now) {
  const uint64_t tick = TickOf(now);
  history_[tick % kHistoryTicks].store(
      (tick << kCountBits) | std::min<uint64_t>(outstanding, kCountMask),
      std::memory_order_relaxed);
}

void TargetStats::CopyFrom(const TargetStats& other) {
  const auto copy = [](auto& to, const auto& from) {
    to.store(from.load(std::memory_order_relaxed), std::memory_order_relaxed);
  };
  copy(outstanding_, other.outstanding_);
  copy(rollouts_outstanding_, other.rollouts_outstanding_);
  for (size_t i = 0; i < estimates_.size(); ++i) {
    copy(estimates_[i].latency_s, other.estimates_[i].latency_s);
    copy(estimates_[i].samples, other.estimates_[i].samples);
  }
  copy(failure_share_, other.failure_share_);
  copy(ejected_, other.ejected_);
  copy(last_probe_, other.last_probe_);
  copy(borrowed_, other.borrowed_);
  copy(free_since_, other.free_since_);
  copy(last_borrow_, other.last_borrow_);
  copy(last_return_, other.last_return_);
  for (size_t i = 0; i < history_.size(); ++i) {
    copy(history_[i], other.history_[i]);
  }
}

}  // namespace limpethatch
