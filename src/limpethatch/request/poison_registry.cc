#include "limpethatch/request/poison_registry.h"

#include <algorithm>
#include <mutex>

namespace limpethatch {

PoisonRegistry::PoisonRegistry(PoisonOptions options) : options_(options) {}

PoisonStatus PoisonRegistry::StatusOf(std::string_view digest,
                                      TimePoint now) const {
  if (mark_count_.load(std::memory_order_acquire) == 0) {
    return PoisonStatus::kClear;
  }
  const std::shared_lock lock(mutex_);
  return StatusOfLocked(digest, now);
}

std::vector<PoisonMark> PoisonRegistry::OnTargetCrashed(
    const TargetProcess& process,
    std::string_view digest,
    bool quarantined,
    TimePoint now) {
  std::vector<PoisonMark> marks = {
      {std::string(digest), process, PoisonEvidence::kRunningAtCrash}};
  if (quarantined) {
    marks.push_back(
        {std::string(digest), process, PoisonEvidence::kConfirmedCause});
  }
  Merge(marks, now);
  return marks;
}

std::vector<PoisonMark> PoisonRegistry::OnFinished(std::string_view digest,
                                                   TimePoint now) {
  std::vector<PoisonMark> cleared;
  if (mark_count_.load(std::memory_order_acquire) == 0) {
    return cleared;
  }
  const std::unique_lock lock(mutex_);
  const PoisonMark from{
      std::string(digest), {}, PoisonEvidence::kRunningAtCrash};
  for (auto mark = marks_.lower_bound(from);
       mark != marks_.end() && mark->first.digest == digest; ++mark) {
    if (mark->first.evidence == PoisonEvidence::kRunningAtCrash) {
      cleared.push_back(
          {from.digest, mark->first.process, PoisonEvidence::kFinishedSince});
    }
  }
  std::erase_if(cleared,
                [&](const PoisonMark& mark) { return HasMark(mark, now); });
  for (const PoisonMark& mark : cleared) {
    Add(mark, now);
  }
  return cleared;
}

std::vector<PoisonMark> PoisonRegistry::OnOutcomeUnknown(
    const TargetProcess& process,
    std::string_view digest,
    TimePoint now) {
  std::vector<PoisonMark> marks = {
      {std::string(digest), process, PoisonEvidence::kOutcomeUnknown}};
  Merge(marks, now);
  return marks;
}

std::vector<std::string> PoisonRegistry::Merge(
    std::span<const PoisonMark> marks,
    TimePoint now) {
  const std::unique_lock lock(mutex_);
  std::map<std::string, PoisonStatus> before;
  for (const PoisonMark& mark : marks) {
    before.emplace(mark.digest, StatusOfLocked(mark.digest, now));
  }
  for (const PoisonMark& mark : marks) {
    Add(mark, now);
  }
  EvictOldMarks(now);
  std::vector<std::string> newly_restricted;
  for (const auto& [digest, status] : before) {
    if (status == PoisonStatus::kClear &&
        StatusOfLocked(digest, now) != PoisonStatus::kClear) {
      newly_restricted.push_back(digest);
    }
  }
  return newly_restricted;
}

std::vector<PoisonMark> PoisonRegistry::Marks(TimePoint now) const {
  const std::shared_lock lock(mutex_);
  std::vector<PoisonMark> marks;
  for (const auto& [mark, arrived] : marks_) {
    if (now - arrived < options_.retention) {
      marks.push_back(mark);
    }
  }
  return marks;
}

// A confirmed cause, or a request whose quarantined run has an unknown outcome,
// is refused. Otherwise the crashes count that the request may have caused and
// that no other one explains: the first makes it a suspect, and after the
// second it is refused, since one request may crash at most two targets.
PoisonStatus PoisonRegistry::StatusOfLocked(std::string_view digest,
                                            TimePoint now) const {
  size_t unexplained_crashes = 0;
  const PoisonMark from{
      std::string(digest), {}, PoisonEvidence::kRunningAtCrash};
  for (auto entry = marks_.lower_bound(from);
       entry != marks_.end() && entry->first.digest == digest; ++entry) {
    const auto& [mark, arrived] = *entry;
    if (now - arrived >= options_.retention) {
      continue;
    }
    if (mark.evidence == PoisonEvidence::kConfirmedCause ||
        mark.evidence == PoisonEvidence::kOutcomeUnknown) {
      return PoisonStatus::kRefused;
    }
    if (mark.evidence == PoisonEvidence::kRunningAtCrash &&
        !HasMark({mark.digest, mark.process, PoisonEvidence::kFinishedSince},
                 now) &&
        !IsExplained(mark.process, digest, now)) {
      ++unexplained_crashes;
    }
  }
  if (unexplained_crashes == 0) {
    return PoisonStatus::kClear;
  }
  return unexplained_crashes == 1 ? PoisonStatus::kSuspect
                                  : PoisonStatus::kRefused;
}

bool PoisonRegistry::HasMark(const PoisonMark& mark, TimePoint now) const {
  const auto found = marks_.find(mark);
  return found != marks_.end() && now - found->second < options_.retention;
}

bool PoisonRegistry::IsConfirmedCause(const std::string& digest,
                                      TimePoint now) const {
  const PoisonMark from{digest, {}, PoisonEvidence::kRunningAtCrash};
  for (auto mark = marks_.lower_bound(from);
       mark != marks_.end() && mark->first.digest == digest; ++mark) {
    if (mark->first.evidence == PoisonEvidence::kConfirmedCause &&
        now - mark->second < options_.retention) {
      return true;
    }
  }
  return false;
}

// True if another request that was running when the process crashed is a
// confirmed cause of a crash.
bool PoisonRegistry::IsExplained(const TargetProcess& process,
                                 std::string_view digest,
                                 TimePoint now) const {
  const auto found = digests_by_crash_.find(process);
  return found != digests_by_crash_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const std::string& other) {
                       return other != digest && IsConfirmedCause(other, now);
                     });
}

void PoisonRegistry::Add(const PoisonMark& mark, TimePoint now) {
  marks_.emplace(mark, now);
  if (mark.evidence == PoisonEvidence::kRunningAtCrash) {
    digests_by_crash_[mark.process].insert(mark.digest);
  }
  mark_count_.store(marks_.size(), std::memory_order_release);
}

// Evicts expired marks, and the oldest ones in excess of max_marks.
void PoisonRegistry::EvictOldMarks(TimePoint now) {
  TimePoint oldest_kept = now - options_.retention;
  if (marks_.size() > options_.max_marks) {
    std::vector<TimePoint> arrivals;
    for (const auto& [mark, arrived] : marks_) {
      arrivals.push_back(arrived);
    }
    const auto cut =
        arrivals.begin() +
        static_cast<std::ptrdiff_t>(arrivals.size() - options_.max_marks);
    std::nth_element(arrivals.begin(), cut, arrivals.end());
    oldest_kept = std::max(oldest_kept, *cut - Duration(1));
  }
  std::erase_if(marks_, [&](const auto& entry) {
    const auto& [mark, arrived] = entry;
    if (arrived > oldest_kept) {
      return false;
    }
    if (mark.evidence == PoisonEvidence::kRunningAtCrash) {
      if (const auto found = digests_by_crash_.find(mark.process);
          found != digests_by_crash_.end()) {
        found->second.erase(mark.digest);
        if (found->second.empty()) {
          digests_by_crash_.erase(found);
        }
      }
    }
    return true;
  });
  mark_count_.store(marks_.size(), std::memory_order_release);
}

}  // namespace limpethatch
