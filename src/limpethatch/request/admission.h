// Admission control: decides which requests start now, which are queued and
// which are refused, since targets themselves do not prioritise.
#ifndef LIMPETHATCH_REQUEST_ADMISSION_H_
#define LIMPETHATCH_REQUEST_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/concurrency_limit.h"
#include "limpethatch/request/target_stats.h"

namespace limpethatch {

struct AdmissionOptions {
  ConcurrencyLimitOptions limit;
  size_t max_queued = 512;
  // Fraction of the concurrency limit that rollouts may not use, so that live
  // requests find it free.
  double live_reserve = 0.25;
};

struct AdmissionRequest {
  uint64_t id = 0;   // Unique among queued and running requests.
  std::string flow;  // Fair-queuing key: service and customer.
  double weight = 1;
  RequestClass request_class = RequestClass::kLive;
  TimePoint deadline;
};

enum class AdmissionRefusal : uint8_t { kQueueFull, kDeadline };

struct StartRequest {
  uint64_t id = 0;
};

// The request has not run and will not be run.
struct RefuseRequest {
  uint64_t id = 0;
  AdmissionRefusal reason = AdmissionRefusal::kQueueFull;
  Duration retry_after{};
};

using AdmissionAction = std::variant<StartRequest, RefuseRequest>;
using AdmissionActions = std::vector<AdmissionAction>;

// There is one instance for each group of targets that services share. A
// request for which no action is returned stays queued. Flows share capacity
// by weighted fair queuing on the service they received, counted per answered
// request; lookups and live requests take priority over rollouts. Thread-safe:
// each call holds a mutex for well under a microsecond, so a lock-free queue
// would not repay its complexity.
class Admission {
 public:
  explicit Admission(AdmissionOptions options);

  AdmissionActions Offer(AdmissionRequest request, TimePoint now);
  // Reports the end of a started request. Call once for each StartRequest.
  AdmissionActions Finish(uint64_t id,
                          CallOutcome outcome,
                          Duration latency,
                          TimePoint now);
  // Refuses queued requests that can no longer meet their deadline. Call every
  // kTimerInterval.
  AdmissionActions OnTimer(TimePoint now);
  // Removes a request whose caller has disconnected. Returns true if it was
  // still queued; false if it is running, in which case Finish is still due.
  bool Cancel(uint64_t id);

  // Sets this instance's share of the slots of all targets that accept work.
  void SetSlotShare(double slots);

  double limit() const;
  size_t queued() const;
  size_t running() const;

  static constexpr Duration kTimerInterval = std::chrono::milliseconds(50);

 private:
  enum Tier : uint8_t { kInteractive, kBatch, kTierCount };

  struct QueuedRequest {
    AdmissionRequest request;
    TimePoint latest_start;
  };

  struct Flow {
    std::deque<QueuedRequest> waiting;
    double service_received = 0;  // Virtual time: service / weight.
    double weight = 1;
  };

  struct RunningRequest {
    std::string flow;
    Tier tier = kInteractive;
    RequestClass request_class = RequestClass::kLive;
    double charge = 0;
  };

  using Flows = std::map<std::string, Flow>;

  static Tier TierOf(RequestClass request_class);
  bool HasCapacity(Tier tier) const;
  TimePoint LatestStart(const AdmissionRequest& request, TimePoint now) const;
  bool MissesDeadline(const QueuedRequest& waiting, TimePoint now) const;
  void Enqueue(Tier tier,
               QueuedRequest waiting,
               TimePoint now,
               AdmissionActions& actions);
  Duration ExpectedWait(Tier tier, const AdmissionRequest& request) const;
  Duration DrainTime() const;
  bool MakeQueueSpace(Tier tier,
                      const AdmissionRequest& request,
                      AdmissionActions& actions);
  Flows::iterator LeastServed(Tier tier);
  void Start(Tier tier,
             Flow& flow,
             AdmissionRequest request,
             AdmissionActions& actions);
  void StartQueued(TimePoint now, AdmissionActions& actions);
  void Refuse(uint64_t id, AdmissionRefusal reason, AdmissionActions& actions);
  void EvictIdleFlows(Tier tier);

  const AdmissionOptions options_;
  mutable std::mutex mutex_;
  ConcurrencyLimit limit_;
  std::array<Flows, kTierCount> flows_;
  std::array<double, kTierCount> virtual_time_{};
  std::array<size_t, kTierCount> queued_{};
  std::array<size_t, kTierCount> running_count_{};
  std::unordered_map<uint64_t, RunningRequest> running_;
  bool limit_reached_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_ADMISSION_H_
