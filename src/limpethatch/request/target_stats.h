// What one entry instance has learned of one target by its own calls.
#ifndef LIMPETHATCH_REQUEST_TARGET_STATS_H_
#define LIMPETHATCH_REQUEST_TARGET_STATS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Kinds of work whose service times differ too much to be compared.
enum class RequestClass : uint8_t { kLookup, kLive, kRollout };
inline constexpr size_t kRequestClasses = 3;

enum class CallOutcome : uint8_t {
  kAnswered,   // A whole answer, whatever it says.
  kFailed,     // The target failed, refused by overload, or went silent.
  kCancelled,  // The caller gave up; says nothing about the target.
};

// Atomics only: written by every thread of the request path. Outlives the
// target tables that point to it.
class TargetStats {
 public:
  void Begin(RequestClass request_class, TimePoint now);
  // `latency` is from dispatch to the end of the answer.
  void End(RequestClass request_class,
           CallOutcome outcome,
           Duration latency,
           TimePoint now);

  uint32_t outstanding() const {
    return outstanding_.load(std::memory_order_relaxed);
  }
  uint32_t rollouts_outstanding() const {
    return rollouts_outstanding_.load(std::memory_order_relaxed);
  }
  // The own calls that were outstanding at `when`, as far as the last
  // kHistoryTicks * kHistoryTick tell; the oldest count known otherwise.
  uint32_t OutstandingAt(TimePoint when) const;

  // Smoothed seconds of a call; 0 before the first answer.
  double latency_s(RequestClass request_class) const;
  uint32_t samples(RequestClass request_class) const;
  // Smoothed share of calls that failed, 0 to 1.
  double failure_share() const;

  // An ejected target gets probes only.
  bool ejected() const { return ejected_.load(std::memory_order_relaxed); }
  void set_ejected(bool ejected, TimePoint now);
  // True for one caller at a time, at most once in `interval`; the time of
  // ejection counts as a probe.
  bool TryClaimProbe(TimePoint now, Duration interval);

  // Slots that this instance uses beyond its share.
  uint32_t borrowed_slots() const {
    return borrowed_.load(std::memory_order_relaxed);
  }
  // A cheap request on a fresh connection was answered or not. An answer
  // lets calls try the target again; only they show that it is well.
  void OnHealthProbe(bool answered);
  // Takes in whether a report showed free slots; how long they have been so.
  Duration ObserveFreeSlots(bool free, TimePoint reported);
  // Each does something only once for each later `stamp`.
  void BorrowSlot(TimePoint stamp);
  void ReturnSlot(TimePoint stamp);

  static constexpr Duration kHistoryTick = std::chrono::milliseconds(250);
  static constexpr size_t kHistoryTicks = 32;

 private:
  struct Estimate {
    std::atomic<double> latency_s{0};
    std::atomic<uint32_t> samples{0};
  };

  void RecordOutstanding(uint32_t outstanding, TimePoint now);

  std::atomic<uint32_t> outstanding_{0};
  std::atomic<uint32_t> rollouts_outstanding_{0};
  std::array<Estimate, kRequestClasses> estimates_;
  std::atomic<double> failure_share_{0};
  std::atomic<bool> ejected_{false};
  std::atomic<Duration::rep> last_probe_{0};
  std::atomic<uint32_t> borrowed_{0};
  std::atomic<Duration::rep> free_since_{0};  // 0: not free.
  std::atomic<Duration::rep> last_borrow_{0};
  std::atomic<Duration::rep> last_return_{0};
  // Each entry packs a tick number (high 40 bits) and a count (low 24 bits).
  std::array<std::atomic<uint64_t>, kHistoryTicks> history_{};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGET_STATS_H_
