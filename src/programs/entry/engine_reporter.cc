#include "programs/entry/engine_reporter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace limpethatch {
namespace {

constexpr Duration kReportRepeatPeriod = std::chrono::seconds(3);

uint64_t MillisecondsSince(TimePoint then, TimePoint now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(now - then, Duration::zero()));
  return static_cast<uint64_t>(age.count());
}

}  // namespace

EngineReporter::EngineReporter(EntryContext& context, OwnsEngine owns_engine)
    : context_(context), owns_engine_(std::move(owns_engine)) {}

void EngineReporter::ConfirmVersion(const std::string& engine,
                                    uint64_t version,
                                    TimePoint generated_at) {
  const std::lock_guard lock(mutex_);
  confirmed_versions_[engine] = ConfirmedVersion{version, generated_at};
}

void EngineReporter::AddDueReports(wire::Hello& hello, TimePoint now) {
  std::vector<RoutedTargetPtr> engines;
  context_.targets.Read([&](const TargetTable& table) {
    for (const auto& [id, routed] : table.targets()) {
      if (routed->target.kind == TargetKind::kEngine) {
        engines.push_back(routed);
      }
    }
  });
  const std::lock_guard lock(mutex_);
  for (const RoutedTargetPtr& engine : engines) {
    if (owns_engine_(engine->target) && IsDue(engine->target, now)) {
      AddReport(engine->target, hello, now);
    }
  }
}

bool EngineReporter::IsDue(const Target& engine, TimePoint now) const {
  const auto sent = sent_reports_.find(engine.id);
  if (sent == sent_reports_.end() ||
      now - sent->second.at >= kReportRepeatPeriod ||
      sent->second.incarnation != engine.incarnation ||
      sent->second.version != engine.version) {
    return true;
  }
  const auto confirmed = confirmed_versions_.find(engine.id);
  return confirmed != confirmed_versions_.end() &&
         confirmed->second.version != sent->second.proven_version;
}

void EngineReporter::AddReport(const Target& engine,
                               wire::Hello& hello,
                               TimePoint now) {
  wire::EngineReport& report = *hello.add_engines();
  report.set_engine(engine.id);
  report.set_address(engine.address.ToString());
  report.set_pool(engine.service);
  report.set_version(engine.version);
  report.set_incarnation(engine.incarnation);
  SentReport& sent = sent_reports_[engine.id];
  sent = SentReport{engine.incarnation, engine.version, 0, now};
  if (const auto confirmed = confirmed_versions_.find(engine.id);
      confirmed != confirmed_versions_.end()) {
    report.set_proven(true);
    report.set_proven_version(confirmed->second.version);
    report.set_proven_ms_ago(
        MillisecondsSince(confirmed->second.generated_at, now));
    sent.proven_version = confirmed->second.version;
  }
}

}  // namespace limpethatch
