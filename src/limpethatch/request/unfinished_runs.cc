#include "limpethatch/request/unfinished_runs.h"

#include <utility>

namespace limpethatch {
namespace {

wire::CrashedRun ToCrashedRun(const UnfinishedRun& run) {
  wire::CrashedRun crashed;
  crashed.set_request(run.request);
  crashed.mutable_process()->set_target(run.target);
  crashed.mutable_process()->set_incarnation(run.incarnation);
  return crashed;
}

}  // namespace

void UnfinishedRuns::Add(UnfinishedRun run) {
  runs_.push_back(std::move(run));
  if (runs_.size() > kMaxRuns) {
    runs_.pop_front();
  }
}

std::vector<wire::CrashedRun> UnfinishedRuns::OnRefused(
    std::string_view target,
    uint64_t incarnation) const {
  std::vector<wire::CrashedRun> crashed;
  for (const UnfinishedRun& run : runs_) {
    if (run.target == target && run.incarnation == incarnation) {
      crashed.push_back(ToCrashedRun(run));
    }
  }
  return crashed;
}

std::vector<wire::CrashedRun> UnfinishedRuns::OnAnnounced(
    const wire::TargetRecord& record,
    TimePoint now) {
  while (!runs_.empty() && now - runs_.front().ended_at > kRestartTime) {
    runs_.pop_front();
  }
  std::vector<wire::CrashedRun> crashed;
  std::erase_if(runs_, [&](const UnfinishedRun& run) {
    const bool same_place =
        run.target == record.id() || run.address == record.address();
    const bool replaced = same_place && record.born_ms() > run.incarnation;
    if (replaced) {
      crashed.push_back(ToCrashedRun(run));
    }
    return replaced;
  });
  return crashed;
}

}  // namespace limpethatch
