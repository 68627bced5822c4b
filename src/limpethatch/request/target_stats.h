// Statistics of one target, from this entry instance's own calls.
#ifndef LIMPETHATCH_REQUEST_TARGET_STATS_H_
#define LIMPETHATCH_REQUEST_TARGET_STATS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Classes of requests whose service times are not comparable.
enum class RequestClass : uint8_t {
  kLookup,  // A call of a plain service, from an entry instance or a gateway.
  kLive,    // A completion that a caller waits for.
  kRollout  // The generation of a sample for a training step.
};
inline constexpr size_t kRequestClasses = 3;

enum class CallOutcome : uint8_t {
  kAnswered,   // A complete answer, whatever its status.
  kFailed,     // The target failed, was overloaded or stopped responding.
  kCancelled,  // The caller gave up; tells nothing about the target.
  // A later attempt of the request was answered first: its latency would have
  // been longer. Without these, hedges would hide a slow target from routing.
  kOvertaken,
};

// Lock-free and thread-safe: updated by all threads of the request path. Shared
// by successive target tables.
class TargetStats {
 public:
  void Begin(RequestClass request_class, TimePoint now);
  // `latency` is the time from dispatch to the end of the answer.
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
  // Number of own calls outstanding at `when`. The history covers the last
  // kHistoryTicks * kHistoryTick; for earlier times the oldest known count is
  // returned.
  uint32_t OutstandingAt(TimePoint when) const;

  // Moving average of call latency, in seconds; 0 before the first answer.
  double latency_s(RequestClass request_class) const;
  uint32_t samples(RequestClass request_class) const;
  // Moving average of the share of calls that failed, 0 to 1.
  double failure_share() const;

  // An ejected target only gets probes.
  bool ejected() const { return ejected_.load(std::memory_order_relaxed); }
  void set_ejected(bool ejected, TimePoint now);
  // Returns true to at most one caller per `interval`. The ejection counts as a
  // probe.
  bool TryClaimProbe(TimePoint now, Duration interval);

  // Slots that this instance may use beyond its share.
  uint32_t borrowed_slots() const {
    return borrowed_.load(std::memory_order_relaxed);
  }
  // Records the result of a health probe, a cheap request on a new connection.
  // An answer only lets calls try the target again; they decide whether it is
  // healthy.
  void OnHealthProbe(bool answered);
  // Records whether a report showed free slots; returns for how long there have
  // been free slots.
  Duration ObserveFreeSlots(bool free, TimePoint reported);
  // Take effect only if `stamp` is later than in all previous calls, so that
  // each time stamp counts once.
  void BorrowSlot(TimePoint stamp);
  void ReturnSlot(TimePoint stamp);

  // Takes over all figures of `other`, which may be updated meanwhile.
  void CopyFrom(const TargetStats& other);

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
