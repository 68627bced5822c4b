// Schedules quarantined runs of the suspects of one service, at most one per
// target at a time.
#ifndef LIMPETHATCH_REQUEST_QUARANTINE_ARBITER_H_
#define LIMPETHATCH_REQUEST_QUARANTINE_ARBITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/poison_registry.h"

namespace limpethatch {

// Returns the instance that arbitrates a service, by rendezvous hashing over
// the live instances; empty if there are none.
std::string ArbiterOf(std::string_view service,
                      std::span<const std::string> instances);

struct QuarantineRequest {
  std::string digest;
  std::string instance;  // The requesting instance, which gets the answer.
  uint64_t id = 0;       // Chosen by the requesting instance.
  TimePoint deadline;
};

enum class QuarantineVerdict : uint8_t {
  kRunQuarantined,   // On `process`; report the end by OnRunEnded.
  kRunUnrestricted,  // It is no longer a suspect.
  kRefuse,           // Its status is kRefused, or its deadline passed.
};

struct QuarantineAnswer {
  QuarantineRequest request;
  QuarantineVerdict verdict = QuarantineVerdict::kRefuse;
  TargetProcess process;  // For kRunQuarantined: where to run it.
};

// Runs on the instance that ArbiterOf returns. Not thread-safe. Marks must be
// added to the registry before the event that caused them is reported here.
class QuarantineArbiter {
 public:
  using Answers = std::vector<QuarantineAnswer>;

  // `registry` must outlive the arbiter. If the end of a granted run is not
  // reported within `lease`, its outcome counts as unknown and the content is
  // refused. Nothing is granted until `lease` has passed since `start`, so that
  // all grants of the previous arbiter have expired.
  QuarantineArbiter(PoisonRegistry* registry, Duration lease, TimePoint start);

  void Enqueue(QuarantineRequest request);
  // The run granted for that digest ended, successfully or not.
  void OnRunEnded(std::string_view digest);
  // Decides all requests that can be decided now. `targets` are those that
  // accept new work. Appends the marks to share to `marks`. Call after each
  // event and every 50 ms.
  Answers Decide(std::span<const TargetProcess> targets,
                 TimePoint now,
                 std::vector<PoisonMark>* marks);

 private:
  struct Grant {
    TargetProcess process;
    TimePoint lease_end;
  };

  void ExpireGrants(TimePoint now, std::vector<PoisonMark>* marks);
  const TargetProcess* FindFreeTarget(
      std::span<const TargetProcess> targets) const;

  PoisonRegistry* const registry_;
  const Duration lease_;
  const TimePoint grants_allowed_from_;
  std::deque<QuarantineRequest> waiting_;
  std::map<std::string, Grant, std::less<>> grants_;  // By digest.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_QUARANTINE_ARBITER_H_
