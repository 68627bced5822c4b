// Recognises requests that crash the targets which run them, by their content.
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

// One death of one target.
struct TargetProcess {
  std::string target;
  uint64_t incarnation = 0;

  auto operator<=>(const TargetProcess&) const = default;
};

enum class PoisonEvidence : uint8_t {
  kRunningAtCrash,  // The request was in mid-run when the target died.
  kConfirmedCause,  // It ran quarantined there: the death is its doing.
  kFinishedSince,   // It has finished since: that death was not its doing.
  kOutcomeUnknown,  // The end of its quarantined run is unknown.
};

// One fact of which instances tell each other. Facts are only ever added, so
// that they may come late, twice and in any order.
struct PoisonMark {
  std::string digest;  // Of the request's content, never its id.
  TargetProcess process;
  PoisonEvidence evidence = PoisonEvidence::kRunningAtCrash;

  auto operator<=>(const PoisonMark&) const = default;
};

enum class PoisonStatus : uint8_t {
  kClear,    // May run anywhere.
  kSuspect,  // May run only as the QuarantineArbiter allows.
  kRefused,  // Crashed targets twice, or may have.
};

struct PoisonOptions {
  Duration retention = std::chrono::minutes(10);  // Of each mark.
  size_t max_marks = 8192;  // Beyond it the oldest are forgotten.
};

// Rule: a request in mid-run at a death is a suspect, and runs again only
// quarantined, where no second suspect is on the same target. If that target
// dies too, it is the culprit of both deaths, is refused, and every other
// suspect of these deaths is clear. A suspect that finishes is clear.
//
// At most two targets fall to one content if its next run starts only after
// the marks of the former have arrived: an instance sends new marks to all
// others at once and answers the caller after that. Copies that run elsewhere
// at that time are named by Merge, to be cancelled. Thread-safe; while there
// is no mark, Judge costs one atomic load.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(PoisonOptions options);

  PoisonStatus StatusOf(std::string_view digest, TimePoint now) const;

  // A target died under that request. Like OnFinished and OnOutcomeUnknown this
  // returns the marks to be sent to every other instance at once.
  std::vector<PoisonMark> OnTargetCrashed(const TargetProcess& process,
                                          std::string_view digest,
                                          bool quarantined,
                                          TimePoint now);
  // The request came to its regular end at a target.
  std::vector<PoisonMark> OnFinished(std::string_view digest, TimePoint now);
  // Its quarantined run was lost sight of.
  std::vector<PoisonMark> OnOutcomeUnknown(const TargetProcess& process,
                                           std::string_view digest,
                                           TimePoint now);

  // Takes in marks of other instances, and returns the digests that may from
  // now on not run unquarantined.
  std::vector<std::string> Merge(std::span<const PoisonMark> marks,
                                 TimePoint now);
  // Every mark, for instances that missed some.
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
  std::map<PoisonMark, TimePoint> marks_;  // With the time of arrival.
  std::map<TargetProcess, std::set<std::string>> digests_by_crash_;
  std::atomic<size_t> mark_count_{0};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_POISON_REGISTRY_H_
