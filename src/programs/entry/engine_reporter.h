// Reports the engines that this instance owns to the control group: what they
// announce, and the weight versions that their answers confirm.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ENGINE_REPORTER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ENGINE_REPORTER_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "control.pb.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

class EngineReporter {
 public:
  using OwnsEngine = std::function<bool(const Target& engine)>;

  EngineReporter(EntryContext& context, OwnsEngine owns_engine);

  // An answer stated that `engine` generated its latest tokens with `version`.
  void ConfirmVersion(const std::string& engine,
                      uint64_t version,
                      TimePoint generated_at);

  // Adds the engines whose report has changed. Each engine is also repeated
  // every kReportRepeatPeriod, because a new leader starts with no reports.
  void AddDueReports(wire::Hello& hello, TimePoint now);

 private:
  struct ConfirmedVersion {
    uint64_t version = 0;
    TimePoint generated_at;
  };
  struct SentReport {
    uint64_t incarnation = 0;
    uint64_t version = 0;
    uint64_t proven_version = 0;
    TimePoint at;
  };

  bool IsDue(const Target& engine, TimePoint now) const;
  void AddReport(const Target& engine, wire::Hello& hello, TimePoint now);

  EntryContext& context_;
  const OwnsEngine owns_engine_;
  std::mutex mutex_;
  std::map<std::string, ConfirmedVersion> confirmed_versions_;
  std::map<std::string, SentReport> sent_reports_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENGINE_REPORTER_H_
