// Which sample of which job runs next, on which engine.
//
// Pattern answered: a step arrives as groups of samples; the trainer waits for
// a fixed number of whole groups, so a step takes as long as the slowest
// sample of the groups that count. The scheduler therefore picks the groups
// that can be whole soonest, starts their longest samples first, leaves the
// groups beyond the number to the end, and takes samples away from engines
// that turned slow or silent: a stream goes on elsewhere from its last event.
#ifndef LIMPETHATCH_VERSION_SAMPLE_SCHEDULER_H_
#define LIMPETHATCH_VERSION_SAMPLE_SCHEDULER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/version/engine_table.h"
#include "limpethatch/version/job_ledger.h"

namespace limpethatch {

struct SampleKey {
  std::string job;
  uint32_t index = 0;

  auto operator<=>(const SampleKey&) const = default;
};

struct SampleStart {
  SampleKey key;
  std::string engine;
  uint64_t version = 0;  // Weights that the engine is expected to have.
};

enum class StopReason {
  kJobOver,  // The job ended, or the sample is listed.
  kSlow,     // Another engine would have it done much sooner.
  kSilent,   // No event came for too long.
  kEngineGone,
};

struct SampleStop {
  SampleKey key;
  StopReason reason = StopReason::kJobOver;
};

struct SamplePlan {
  std::vector<SampleStop> stops;
  std::vector<SampleStart> starts;
};

enum class RunOutcome {
  kDone,     // Finished or given up; it only has to be listed.
  kNotRun,   // The engine refused it and did not run it.
  kFailed,   // The engine answered with an error of its own.
  kBroken,   // The stream broke off.
  kStopped,  // By a SampleStop.
};

struct SampleSchedulerOptions {
  // A run without an event for so long goes on elsewhere. Weights take about
  // 1 s to load, and prompts wait behind others'.
  Duration silence_timeout = std::chrono::milliseconds(1500);
  // A run is moved if that saves at least this much.
  Duration min_saving = std::chrono::milliseconds(600);
  // An engine counts as slow from this multiple of the typical event gap.
  double slow_factor = 1.8;
  // Share of an engine's memory that is planned for.
  double memory_share = 0.9;
  // Work, in running samples, that an engine may have beyond the emptiest one
  // and still get a sample whose group's prompt it has read.
  uint32_t affinity_margin = 2;
  // A sample that was taken away from an engine does not go back there for so
  // long, and is not moved again.
  Duration exclusion_period = std::chrono::seconds(3);
  // Before a sample that broke twice without an event is tried again.
  Duration suspect_retry_delay = std::chrono::seconds(2);
};

class SampleScheduler {
 public:
  explicit SampleScheduler(SampleSchedulerOptions options = {})
      : options_(options) {}

  EngineTable& engine_table() { return engine_table_; }
  void SetTokensPerEvent(const std::string& service, uint32_t tokens) {
    tokens_per_event_[service] = tokens;
  }

  // What to stop and to start now. Starts count as running from here on.
  SamplePlan Plan(const JobLedger& jobs, TimePoint now);
  // The run has made `events` events in all.
  void RecordEvents(const SampleKey& key, uint32_t events, TimePoint now);
  void EndRun(const SampleKey& key, RunOutcome end, TimePoint now);
  // Forgets all runs, as when another leader took over.
  void Reset();

  size_t running() const { return runs_.size(); }
  // Whether no sample is left that an engine could be given.
  bool idle(const JobLedger& jobs) const;

 private:
  struct Run {
    std::string engine;
    std::string model;
    std::string group;
    uint64_t tokens = 0;
    uint32_t events = 0;
    uint32_t expected_events = 0;
    bool has_event = false;  // An event came.
    bool stopping = false;
    TimePoint last_progress;
  };
  struct RetryState {
    uint32_t breaks_without_event = 0;  // Without an event in between.
    TimePoint retry_at;
    // Where it was taken away, and how long it shall not go back there.
    std::string excluded_engine;
    TimePoint excluded_until;
  };
  struct Candidate {
    SampleKey key;
    const Job* job = nullptr;
    uint32_t remaining = 0;  // Events.
  };

  void PlanStops(const JobLedger& jobs, TimePoint now, SamplePlan* plan);
  bool ShouldMove(const SampleKey& key, const Run& run, TimePoint now) const;
  std::vector<Candidate> Waiting(const JobLedger& jobs, TimePoint now) const;
  void AddWaiting(const std::string& id,
                  const Job& job,
                  TimePoint now,
                  std::vector<Candidate>* needed,
                  std::vector<Candidate>* spare) const;
  EngineState* ChooseEngine(const Candidate& candidate, TimePoint now);
  uint32_t ExpectedEvents(const wire::JobSubmit& submit,
                          const wire::JobSample& sample) const;
  void Start(const Candidate& candidate,
             EngineState& engine,
             TimePoint now,
             SamplePlan* plan);
  void ReleaseCapacity(const Run& run);

  const SampleSchedulerOptions options_;
  EngineTable engine_table_;
  std::map<SampleKey, Run> runs_;
  std::map<SampleKey, RetryState> retry_states_;
  std::set<SampleKey> done_unlisted_;  // Done, and not listed yet.
  std::map<std::string, uint32_t, std::less<>> tokens_per_event_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_SAMPLE_SCHEDULER_H_
