#include "programs/gateway/suspect_requests.h"

#include <chrono>
#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Timeout of a report; long enough for a leader election.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2500);
// Targets tried to find out whether this gateway reaches any.
constexpr size_t kOtherTargets = 3;

UnfinishedRun MakeRun(const std::string& content, const Target& target) {
  return {.request = content,
          .target = target.id,
          .incarnation = target.incarnation,
          .address = target.address.ToString(),
          .ended_at = Clock::now()};
}

}  // namespace

SuspectRequests::SuspectRequests(boost::asio::io_context& io,
                                 ControlClient& control_client,
                                 const TargetTable& targets)
    : io_(io),
      control_client_(control_client),
      detector_(io,
                {[this](std::vector<wire::CrashedRun> runs) {
                   wire::CrashEvidence evidence;
                   for (wire::CrashedRun& run : runs) {
                     *evidence.add_crashed_runs() = std::move(run);
                   }
                   SendEvidence(std::move(evidence));
                 },
                 [&targets](const std::string& target) {
                   std::vector<Endpoint> others;
                   for (const auto& [id, other] : targets.targets()) {
                     if (id != target && others.size() < kOtherTargets) {
                       others.push_back(other->target.address);
                     }
                   }
                   return others;
                 }}) {}

void SuspectRequests::OnNews(const wire::SuspectRequests& suspects) {
  suspects_.clear();
  for (const wire::SuspectRequest& suspect : suspects.requests()) {
    suspects_[suspect.request()] = suspect.refused();
  }
}

bool SuspectRequests::IsRefused(const std::string& content) const {
  const auto found = suspects_.find(content);
  return found != suspects_.end() && found->second;
}

void SuspectRequests::OnConnectionLost(const std::string& content,
                                       const Target& target) {
  detector_.OnConnectionLost(MakeRun(content, target));
}

void SuspectRequests::OnNoAnswer(const std::string& content,
                                 const Target& target) {
  detector_.OnNoAnswer(MakeRun(content, target));
}

void SuspectRequests::OnAnswered(const std::string& content) {
  if (suspects_.erase(content) > 0) {
    wire::CrashEvidence evidence;
    evidence.add_finished(content);
    SendEvidence(std::move(evidence));
  }
}

void SuspectRequests::SendEvidence(wire::CrashEvidence evidence) {
  wire::Command command;
  *command.mutable_crash_evidence() = std::move(evidence);
  Spawn(io_, [this, command = std::move(command),
              deadline = Clock::now() + kReportTimeout](Yield yield) {
    if (control_client_.Call(yield, command, deadline).certainty !=
        ControlCertainty::kDone) {
      Log(LogLevel::kWarning, "crash_report_failed",
          {{"crashed_runs", command.crash_evidence().crashed_runs_size()},
           {"finished", command.crash_evidence().finished_size()}});
    }
  });
}

}  // namespace limpethatch
