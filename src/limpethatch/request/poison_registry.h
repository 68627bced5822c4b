// Detects poison requests, which crash the targets that run them, by the digest
// of their content.
#ifndef LIMPETHATCH_REQUEST_POISON_REGISTRY_H_
#define LIMPETHATCH_REQUEST_POISON_REGISTRY_H_

#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <shared_mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// One process of a target; it crashes at most once.
struct TargetProcess {
  std::string target;
  uint64_t incarnation = 0;

  auto operator<=>(const TargetProcess&) const = default;
};

enum class PoisonEvidence : uint8_t {
  kRunningAtCrash,  // The request was running when the target crashed.
  kConfirmedCause,  // It ran there in quarantine, so it caused the crash.
  kFinishedSince,   // It has finished since, so it did not cause the crash.
  kOutcomeUnknown,  // The outcome of its quarantined run is unknown.
};

// A piece of evidence that instances share as a gossip mark. Marks are only
// ever added, so they may arrive late, repeatedly and in any order.
struct PoisonMark {
  std::string digest;  // Of the request's content, never its id.
  TargetProcess process;
  PoisonEvidence evidence = PoisonEvidence::kRunningAtCrash;

  auto operator<=>(const PoisonMark&) const = default;
};

enum class PoisonStatus : uint8_t {
  kClear,    // May run on any target.
  kSuspect,  // May run only in quarantine.
  kRefused,  // Crashed two targets, or may have; must not run.
};

struct PoisonOptions {
  Duration retention = std::chrono::minutes(10);  // From a mark's arrival.
  size_t max_marks = 8192;  // The oldest are evicted beyond this.
};

// A request that was running when its target crashed is a suspect. It runs
// again only in quarantine, where no other suspect is on the same target. If
// that target crashes too, the request is the confirmed cause of both crashes:
// it is refused, and all other suspects of these crashes are cleared. A suspect
// that finishes is cleared.
//
// One request content crashes at most two targets, provided that its next run
// starts only after the marks of the previous run have arrived. Therefore an
// instance sends new marks to all others immediately and answers the caller
// only after that. Merge returns the digests whose copies running elsewhere
// must be cancelled. Thread-safe; while there are no marks, StatusOf costs one
// atomic load.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(PoisonOptions options);

  PoisonStatus StatusOf(std::string_view digest, TimePoint now) const;

  // The target crashed while running that request. Like OnFinished and
  // OnOutcomeUnknown, returns the marks to send to all other instances at once.
  std::vector<PoisonMark> OnTargetCrashed(const TargetProcess& process,
                                          std::string_view digest,
                                          bool quarantined,
                                          TimePoint now);
  // A target finished the request normally.
  std::vector<PoisonMark> OnFinished(std::string_view digest, TimePoint now);
  // The outcome of its quarantined run can no longer be determined.
  std::vector<PoisonMark> OnOutcomeUnknown(const TargetProcess& process,
                                           std::string_view digest,
                                           TimePoint now);

  // Adds marks of other instances. Returns the digests that were clear before
  // and are now suspect or refused.
  std::vector<std::string> Merge(std::span<const PoisonMark> marks,
                                 TimePoint now);
  // All current marks, for instances that missed some.
  std::vector<PoisonMark> Marks(TimePoint now) const;

 private:
  PoisonStatus StatusOfLocked(std::string_view digest, TimePoint now) const;
  bool HasMark(const PoisonMark& mark, TimePoint now) const;
  bool IsConfirmedCause(const std::string& digest, TimePoint now) const;
  bool IsExplained(const TargetProcess& process,
                   std::string_view digest,
                   TimePoint now) const;
  void Add(const PoisonMark& mark, TimePoint now);
  void EvictOldMarks(TimePoint now);

  const PoisonOptions options_;
  mutable std::shared_mutex mutex_;
  std::map<PoisonMark, TimePoint> marks_;  // Value: time of arrival.
  std::map<TargetProcess, std::set<std::string>> digests_by_crash_;
  std::atomic<size_t> mark_count_{0};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_POISON_REGISTRY_H_
