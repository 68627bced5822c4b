// Schedules the samples of batch jobs onto engines.
//
// The workload: a step arrives as groups of samples, and the trainer waits for
// a fixed number of complete groups, so a step takes as long as the slowest
// sample of the groups that are needed. The scheduler therefore selects the
// groups that can complete soonest, starts their longest samples first, and
// leaves the remaining groups to the end. It moves samples off engines that
// became slow or silent; their streams resume elsewhere after the last event.
//
// A sample that was running when engines crashed may be the cause or merely
// have been there. It runs again on an engine that runs nothing else, so that
// another crash harms no other sample, and pauses after each crash. Crashes
// never prove that a sample is the cause, so it stays owed: neither the pause
// nor the wait for an empty engine lasts long.
#ifndef LIMPETHATCH_VERSION_SAMPLE_SCHEDULER_H_
#define LIMPETHATCH_VERSION_SAMPLE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/target_rate_limits.h"
#include "limpethatch/version/crash_ledger.h"
#include "limpethatch/version/engine_table.h"
#include "limpethatch/version/job_ledger.h"

namespace limpethatch {

struct SampleStart {
  SampleKey key;
  std::string engine;
  uint64_t version = 0;          // Weights that the engine is expected to have.
  std::string software_version;  // Of the engine.
  size_t crash_count = 0;        // Of engines that were running the sample.
  bool crashed_alone = false;    // One of them was running nothing else.
};

enum class StopReason {
  kJobOver,  // The job ended, or the sample needs no more text.
  kSlow,     // Another engine would complete it much sooner.
  kSilent,   // No event arrived within the silence time-out.
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
  kDone,         // Completed or given up, but not listed yet.
  kNotRun,       // The engine refused the sample without running it.
  kFailed,       // The engine answered with an error of its own.
  kBroken,       // The stream ended early.
  kUnreachable,  // No connection; the engine did not get the sample.
  kStopped,      // By a SampleStop.
};

struct SampleSchedulerOptions {
  // Time without an event after which a run is moved. Loading weights takes
  // about 1 s, and prompts queue behind others.
  Duration silence_timeout = std::chrono::milliseconds(1500);
  // Expected saving from which on a run is moved.
  Duration min_saving = std::chrono::milliseconds(600);
  // An engine is slow from this multiple of the median event gap on.
  double slow_factor = 1.8;
  // Share of an engine's cache memory that may be reserved.
  double memory_share = 0.9;
  // Number of running samples that an engine may have beyond the least loaded
  // one and still be preferred for a sample whose group's prompt it has cached.
  uint32_t affinity_margin = 2;
  // Time during which a sample that was moved off an engine, or got no event
  // there, does not return there and is not moved again.
  Duration exclusion_period = std::chrono::seconds(3);
  // Time that a sample with recorded text waits for an engine that can resume
  // it, before it begins anew on another one.
  Duration max_resume_wait = std::chrono::seconds(1);
  // Delay before another try of a sample whose runs broke twice without an
  // event, or that broke after engines had crashed while running it.
  Duration suspect_retry_delay = std::chrono::seconds(2);
  // Time that a sample waits for an engine that runs nothing else, before it
  // starts like any other.
  Duration max_isolation_wait = std::chrono::seconds(2);
};

class SampleScheduler {
 public:
  explicit SampleScheduler(SampleSchedulerOptions options = {})
      : options_(options) {}

  // Limits that starts must keep and count towards. Shared with live requests.
  TargetRateLimits& rate_limits() { return rate_limits_; }
  const TargetRateLimits& rate_limits() const { return rate_limits_; }

  EngineTable& engine_table() { return engine_table_; }
  void SetTokensPerEvent(const std::string& service, uint32_t tokens) {
    tokens_per_event_[service] = tokens;
  }

  // Returns the runs to stop and to start now. The starts count as running
  // from this call on.
  // `crashes` has the samples that were running when engines crashed.
  SamplePlan Plan(const JobLedger& jobs,
                  TimePoint now,
                  const CrashLedger& crashes = {});
  // `events` is the total number of events of the sample so far.
  void RecordEvents(const SampleKey& key, uint32_t events, TimePoint now);
  void EndRun(const SampleKey& key, RunOutcome outcome, TimePoint now);
  // Discards all runs, for instance after a change of leader.
  void Reset();

  size_t running() const { return runs_.size(); }
  // Whether nothing is running and all jobs have ended or are fully listed.
  bool idle(const JobLedger& jobs) const;

 private:
  struct Run {
    std::string engine;
    std::string model;
    std::string group;
    uint64_t tokens = 0;  // Reserved in the engine's cache memory.
    uint32_t events = 0;  // Of the sample so far, earlier runs included.
    uint32_t expected_events = 0;
    bool has_event = false;  // At least one event arrived.
    bool stopping = false;
    bool suspect = false;      // Engines crashed while running the sample.
    bool quarantined = false;  // Nothing else may start on its engine.
    // All events have to be of the same weights.
    bool single_version = false;
    TimePoint last_progress;
  };
  struct RetryState {
    uint32_t breaks_without_event = 0;
    TimePoint retry_at;  // The sample is not started before.
    // The engine that the sample was moved off or that failed it, and until
    // when it must not return there.
    std::string excluded_engine;
    TimePoint excluded_until;
  };
  struct Candidate {
    SampleKey key;
    const Job* job = nullptr;
    uint32_t remaining = 0;  // Events.
    size_t crash_count = 0;
    bool crashed_alone = false;
    bool isolated = false;  // Starts only where nothing else runs.

    bool suspect() const { return crash_count >= CrashLedger::kSuspectCrashes; }
  };
  // Engines by service.
  using Quarantines = std::map<std::string, std::string, std::less<>>;

  void PlanStops(const JobLedger& jobs, TimePoint now, SamplePlan* plan);
  bool ShouldMove(const SampleKey& key, const Run& run, TimePoint now) const;
  std::vector<Candidate> Waiting(const JobLedger& jobs,
                                 TimePoint now,
                                 const CrashLedger& crashes) const;
  void AddWaiting(const std::string& id,
                  const Job& job,
                  TimePoint now,
                  const CrashLedger& crashes,
                  std::vector<Candidate>* needed,
                  std::vector<Candidate>* spare) const;
  // Whether a suspect has waited long enough for an engine without other
  // samples.
  bool IsIsolationOverdue(const SampleKey& key, TimePoint now) const;
  // Keeps one engine of each service with isolated samples free of others.
  void PlanQuarantines(const std::vector<Candidate>& waiting, TimePoint now);
  EngineState* ChooseEngine(const Candidate& candidate, TimePoint now);
  // EngineTable::MedianEventGap, computed once for each plan.
  Duration MedianEventGap(const std::string& service) const;
  // EngineTable::Slowness against the service's fast engines.
  double UsualSlowness(const EngineState& engine) const;
  // Finds the engines that may take a sample at all, so that the choice for
  // each of many waiting samples does not look at the others.
  void FindOpenEngines(TimePoint now);
  // Whether the engine takes the sample to its end from the recorded text, or
  // from the first event.
  enum class StartFrom { kRecordedText, kFirstEvent };
  // Whether the sample must not return to the engine yet.
  bool IsExcluded(const SampleKey& key,
                  const EngineState& engine,
                  TimePoint now) const;
  // Excludes the engine of a run that ended without an event, if there is
  // another one.
  void ExcludeEngine(const SampleKey& key, const Run& run, TimePoint now);
  // The engine that takes the sample at the least cost; null if none can now.
  EngineState* BestEngine(const Candidate& candidate,
                          StartFrom start_from,
                          TimePoint now);
  // Whether the engine's software and its weights, the version that it serves
  // or loads, may be combined with the sample's recorded text.
  static bool CanResume(const Candidate& candidate, const EngineState& engine);
  // Whether the engine may take the sample now, as far as this sample's needs,
  // versions and failures go.
  bool Fits(const Candidate& candidate,
            const EngineState& engine,
            TimePoint now) const;
  uint32_t ExpectedEvents(const wire::JobSubmit& submit,
                          const wire::JobSample& sample) const;
  void Start(const Candidate& candidate,
             EngineState& engine,
             TimePoint now,
             SamplePlan* plan);
  void ReleaseCapacity(const Run& run);

  const SampleSchedulerOptions options_;
  EngineTable engine_table_;
  TargetRateLimits rate_limits_;
  std::map<SampleKey, Run> runs_;
  std::map<SampleKey, RetryState> retry_states_;
  std::set<SampleKey> done_unlisted_;
  // Samples that wait for an engine that can resume them, since when.
  std::map<SampleKey, TimePoint> resume_waits_;
  // Suspects that wait for an engine without other samples, since when.
  std::map<SampleKey, TimePoint> isolation_waits_;
  // Where isolated samples run, or will once the others there have ended.
  Quarantines quarantines_;
  // By service; valid while a plan is made.
  std::map<std::string, std::vector<EngineState*>, std::less<>> open_engines_;
  mutable std::map<std::string, Duration, std::less<>> median_gaps_;
  mutable std::map<std::string, Duration, std::less<>> fast_gaps_;
  std::map<std::string, uint32_t, std::less<>> tokens_per_event_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_SAMPLE_SCHEDULER_H_
