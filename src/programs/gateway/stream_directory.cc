#include "programs/gateway/stream_directory.h"

#include <chrono>
#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Timeout of a query; long enough to find the leader at another instance.
constexpr Duration kQueryTimeout = milliseconds(700);
// Timeout of a report; long enough for a leader election.
constexpr Duration kReportTimeout = milliseconds(2500);

}  // namespace

void StreamDirectory::OnTarget(const wire::TargetRecord& target) {
  versions_[target.service()].insert(target.software_version());
}

void StreamDirectory::OnBegun(const std::string& attempt,
                              const std::string& version) {
  origins_.OnBegun(attempt, version);
  wire::ControlRequest request;
  request.mutable_stream_begun()->set_attempt(attempt);
  request.mutable_stream_begun()->set_software_version(version);
  Spawn(io_, [this, request = std::move(request),
              deadline = Clock::now() + kReportTimeout](Yield yield) {
    if (control_client_.SendRequest(yield, request, deadline).certainty !=
        ControlCertainty::kDone) {
      Log(LogLevel::kWarning, "stream_origin_report_failed",
          {{"request", request.stream_begun().attempt()}});
    }
  });
}

std::optional<std::string> StreamDirectory::Find(Yield yield,
                                                 const std::string& service,
                                                 const std::string& attempt) {
  if (const std::string* version = origins_.Find(attempt)) {
    return *version;
  }
  if (const auto versions = versions_.find(service);
      versions != versions_.end() && versions->second.size() == 1 &&
      has_current_targets_()) {
    return *versions->second.begin();
  }
  if (attempt.empty()) {
    return std::nullopt;
  }
  wire::ControlRequest request;
  request.mutable_stream_origin()->set_attempt(attempt);
  const ControlClient::Answer answer = control_client_.SendRequest(
      yield, std::move(request), Clock::now() + kQueryTimeout);
  const wire::StreamOriginReply& reply = answer.reply.stream_origin();
  if (answer.certainty != ControlCertainty::kDone || !reply.known()) {
    Log(LogLevel::kInfo, "stream_origin_unknown",
        {{"request", attempt},
         {"service", service},
         {"answered", answer.certainty == ControlCertainty::kDone}});
    return std::nullopt;
  }
  origins_.OnBegun(attempt, reply.software_version());
  return reply.software_version();
}

}  // namespace limpethatch
