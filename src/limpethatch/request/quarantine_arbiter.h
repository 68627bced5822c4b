// Lets the suspects of one service run again, one on a target at a time.
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

// The instance that arbitrates a service, by rendezvous hashing over the live
// instances; empty if there is none.
std::string ArbiterOf(std::string_view service,
                      std::span<const std::string> instances);

struct QuarantineRequest {
  std::string digest;
  std::string instance;  // That asks, and gets the answer.
  uint64_t id = 0;       // Of the asking instance's choice.
  TimePoint deadline;
};

enum class QuarantineVerdict : uint8_t {
  kRunQuarantined,   // At `site`'s target; report the end by End.
  kRunUnrestricted,  // No longer a suspect.
  kRefuse,           // It crashed its targets, or its deadline came.
};

struct QuarantineAnswer {
  QuarantineRequest request;
  QuarantineVerdict verdict = QuarantineVerdict::kRefuse;
  TargetProcess
      process;  // The target and its incarnation, for kRunQuarantined.
};

// Runs at the instance that ArbiterOf names. Not thread-safe. Marks go into
// the registry first, then the event that they belong to comes here.
class QuarantineArbiter {
 public:
  using Answers = std::vector<QuarantineAnswer>;

  // `registry` must outlive the arbiter. A grant whose end is not reported
  // within `lease` is withheld from then on. An arbiter grants nothing before
  // `lease` has gone by since `start`, so that its predecessor's grants ended.
  QuarantineArbiter(PoisonRegistry* registry, Duration lease, TimePoint start);

  void Enqueue(QuarantineRequest request);
  // The run granted for that digest ended, either way.
  void OnRunEnded(std::string_view digest);
  // Grants what can be: `targets` are those that may get new work. Call it
  // after each event and every 50 ms. `marks` gets what is to be sent on.
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
