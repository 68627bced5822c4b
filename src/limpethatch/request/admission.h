// Decides which requests run now, which wait and which are refused, so that
// order is made in front of targets that know no priorities.
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
  // Share of the limit that rollouts leave free for live requests.
  double live_reserve = 0.25;
};

struct AdmissionRequest {
  uint64_t id = 0;   // Unique among those present.
  std::string flow;  // The service and customer that fairness counts by.
  double weight = 1;
  RequestClass request_class = RequestClass::kLive;
  TimePoint deadline;
};

enum class AdmissionRefusal : uint8_t { kQueueFull, kDeadline };

struct StartRequest {
  uint64_t id = 0;
};

// The request did not run and will not.
struct RefuseRequest {
  uint64_t id = 0;
  AdmissionRefusal reason = AdmissionRefusal::kQueueFull;
  Duration retry_after{};
};

using AdmissionAction = std::variant<StartRequest, RefuseRequest>;
using AdmissionActions = std::vector<AdmissionAction>;

// One for each group of targets that services share. A request that gets
// neither action waits. Flows share by weighted fair queuing of the service
// they had, counted per answered request; lookups and live requests go before
// rollouts. Thread-safe: each call holds a lock for well under a microsecond
// of work, as the order of a queue has no lock-free form worth its price.
class Admission {
 public:
  explicit Admission(AdmissionOptions options);

  AdmissionActions Offer(AdmissionRequest request, TimePoint now);
  // A started request ended; call it once for each StartRequest.
  AdmissionActions Finish(uint64_t id,
                          CallOutcome outcome,
                          Duration latency,
                          TimePoint now);
  // Refuses those that can no longer meet their deadline; call it every
  // kTimerInterval.
  AdmissionActions OnTimer(TimePoint now);
  // Its caller has gone: true if it was waiting and is forgotten; false if it
  // runs, and Finish is still due.
  bool Cancel(uint64_t id);

  // This instance's share of the slots of the targets that may get work.
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
    double service_received =
        0;  // Virtual time: service had, divided by weight.
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
  void StartWaiting(TimePoint now, AdmissionActions& actions);
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
