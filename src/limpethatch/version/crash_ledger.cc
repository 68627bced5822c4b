#include "limpethatch/version/crash_ledger.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr std::string_view kSamplePrefix = "sample/";

CrashedProcess Decode(const wire::TargetProcess& process) {
  return {process.target(), process.incarnation()};
}

}  // namespace

void CrashLedger::Apply(const wire::CrashEvidence& evidence) {
  for (const wire::TargetProcess& process : evidence.forgotten()) {
    Remove([forgotten = Decode(process)](const wire::CrashedRun& run) {
      return Decode(run.process()) == forgotten;
    });
  }
  for (const std::string& request : evidence.finished()) {
    Remove(
        [&](const wire::CrashedRun& run) { return run.request() == request; });
  }
  const size_t known_runs = runs_.size();
  for (const wire::CrashedRun& run : evidence.crashed_runs()) {
    if (crashes_[run.request()].insert(Decode(run.process())).second) {
      runs_.push_back(run);
    }
  }
  if (runs_.size() > known_runs) {
    Update();
  }
  while (crashes_.size() > kMaxRequests) {
    Remove([oldest = runs_.front().request()](const wire::CrashedRun& run) {
      return run.request() == oldest;
    });
  }
}

size_t CrashLedger::CrashCount(std::string_view request) const {
  const auto found = counts_.find(request);
  return found == counts_.end() ? 0 : found->second;
}

bool CrashLedger::CrashedAlone(std::string_view request) const {
  const auto found = crashes_.find(request);
  return found != crashes_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const CrashedProcess& process) {
                       return requests_.at(process).size() == 1;
                     });
}

std::string CrashLedger::NameOfSample(std::string_view id) {
  return std::string(kSamplePrefix) += id;
}

wire::SuspectRequests CrashLedger::LiveSuspects() const {
  wire::SuspectRequests suspects;
  for (const auto& [request, processes] : crashes_) {
    if (request.starts_with(kSamplePrefix)) {
      continue;
    }
    wire::SuspectRequest& suspect = *suspects.add_requests();
    suspect.set_request(request);
    suspect.set_refused(IsRefused(request));
  }
  return suspects;
}

template <typename Predicate>
void CrashLedger::Remove(Predicate matches) {
  if (std::erase_if(runs_, matches) > 0) {
    Update();
  }
}

void CrashLedger::Update() {
  ++revision_;
  crashes_.clear();
  requests_.clear();
  counts_.clear();
  // The requests that may be refused, in the order in which they got there.
  std::vector<std::string> candidates;
  for (const wire::CrashedRun& run : runs_) {
    std::set<CrashedProcess>& crashes = crashes_[run.request()];
    crashes.insert(Decode(run.process()));
    requests_[Decode(run.process())].insert(run.request());
    if (crashes.size() == kMaxCrashes) {
      candidates.push_back(run.request());
    }
  }
  std::set<CrashedProcess> explained;
  const auto unexplained = [&](const std::string& request) {
    const std::set<CrashedProcess>& crashes = crashes_[request];
    return static_cast<size_t>(std::count_if(
        crashes.begin(), crashes.end(),
        [&](const CrashedProcess& p) { return !explained.contains(p); }));
  };
  while (!candidates.empty()) {
    // The first of those with the most crashes.
    const auto cause =
        std::max_element(candidates.begin(), candidates.end(),
                         [&](const std::string& a, const std::string& b) {
                           return unexplained(a) < unexplained(b);
                         });
    const size_t count = unexplained(*cause);
    if (count < kMaxCrashes) {
      break;
    }
    counts_[*cause] = count;
    explained.insert(crashes_[*cause].begin(), crashes_[*cause].end());
    candidates.erase(cause);
  }
  for (const auto& [request, crashes] : crashes_) {
    counts_.try_emplace(request, unexplained(request));
  }
}

}  // namespace limpethatch
