#include "limpethatch/version/sample_scheduler.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kTokensPerEvent = 40;

// One model on some engines, and jobs of groups whose samples need a given
// number of events.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(int engines, uint32_t slots = 4) {
    scheduler.SetTokensPerEvent("coach", kTokensPerEvent);
    for (int i = 0; i < engines; ++i) {
      Announce("engine" + std::to_string(i), slots, 5);
    }
  }

  void Announce(const std::string& id,
                uint32_t slots,
                uint64_t version,
                const std::string& software_version = "v1") {
    wire::TargetRecord record;
    record.set_id(id);
    record.set_software_version(software_version);
    record.set_service("coach");
    record.set_address("127.0.0.1:1");
    record.set_slots(slots);
    record.set_born_ms(1);
    wire::ModelWeights& weights = *record.add_weights();
    weights.set_model("model");
    weights.set_version(version);
    scheduler.engine_table().Announce(record);
  }

  // Each inner list is a group: the numbers of events of its samples.
  void Submit(const std::string& job,
              const std::vector<std::vector<uint32_t>>& groups,
              uint32_t group_count = 0) {
    wire::JobSubmit submit;
    submit.set_job(job);
    submit.set_service("coach");
    submit.set_model("model");
    submit.set_min_version(5);
    submit.set_group_count(group_count);
    submit.set_single_version(single_version);
    int group_number = 0;
    for (const auto& group : groups) {
      const std::string name = job + "-g" + std::to_string(group_number++);
      for (const uint32_t events : group) {
        wire::JobSample& sample = *submit.add_samples();
        sample.set_id(job + std::to_string(submit.samples_size()));
        sample.set_group(name);
        sample.set_expected_tokens((events - 1) * kTokensPerEvent);
      }
    }
    jobs.Apply(submit);
  }

  std::map<uint32_t, std::string> Starts(const SamplePlan& plan) const {
    std::map<uint32_t, std::string> starts;
    for (const SampleStart& start : plan.starts) {
      starts[start.key.index] = start.engine;
    }
    return starts;
  }

  void RecordCompletion(const std::string& job, uint32_t index) {
    wire::SamplesAdvance advances;
    wire::SampleAdvance& advance = *advances.add_advances();
    advance.set_job(job);
    advance.set_sample(index);
    advance.add_events("x");
    advance.add_versions(5);
    advance.set_state(wire::SAMPLE_COMPLETED);
    jobs.Apply(advances);
  }

  // Records that an engine of `software_version` made the first event.
  void RecordEvent(const std::string& job,
                   uint32_t index,
                   const std::string& software_version) {
    wire::SamplesAdvance advances;
    wire::SampleAdvance& advance = *advances.add_advances();
    advance.set_job(job);
    advance.set_sample(index);
    advance.add_events("x");
    advance.add_versions(5);
    advance.set_software_version(software_version);
    jobs.Apply(advances);
  }

  JobLedger jobs;
  SampleScheduler scheduler;
  TimePoint now{seconds(100)};
  bool single_version = false;  // Of the jobs submitted from now on.
};

}  // namespace

Test(sample_scheduler, samples_spread_over_engines_up_to_their_slots) {
  SchedulerFixture fixture(2, 3);
  fixture.Submit("job", {{10}, {10}, {10}, {10}, {10}, {10}, {10}, {10}});
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 6);
  std::map<std::string, int> by_engine;
  for (const SampleStart& start : plan.starts) {
    ++by_engine[start.engine];
  }
  cr_assert(by_engine["engine0"] == 3 && by_engine["engine1"] == 3);
  cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty());
}

// The trainer waits for two of three groups.
Test(sample_scheduler, the_longest_group_waits_when_not_all_are_needed) {
  SchedulerFixture fixture(1, 4);
  fixture.Submit("job", {{90, 3}, {10, 20}, {5, 8}}, 2);
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  cr_assert(starts.size() == 4);
  cr_assert(!starts.contains(0) && !starts.contains(1));
}

Test(sample_scheduler, the_longest_sample_of_the_needed_groups_starts_first) {
  SchedulerFixture fixture(1, 1);
  fixture.Submit("job", {{10, 20}, {40, 8}}, 2);
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 1 && plan.starts[0].key.index == 2);
}

Test(sample_scheduler, resubmitted_groups_precede_all_others) {
  SchedulerFixture fixture(1, 2);
  fixture.Submit("first", {{90, 90}});
  wire::JobSubmit resubmitted = fixture.jobs.Find("first")->submit;
  resubmitted.set_job("second");
  resubmitted.set_group_count(1);
  wire::JobSample& other = *resubmitted.add_samples();
  other.set_id("short");
  other.set_group("other");
  other.set_expected_tokens(40);
  wire::JobEnd end;
  end.set_job("first");
  fixture.jobs.Apply(end);
  fixture.jobs.Apply(resubmitted);
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  cr_assert(starts.contains(0) && starts.contains(1) && !starts.contains(2));
}

Test(sample_scheduler, engines_with_too_old_weights_get_no_samples) {
  SchedulerFixture fixture(1);
  fixture.Announce("old", 4, 4);
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(8, {10}));
  for (const SampleStart& start :
       fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
    cr_assert(start.engine == "engine0");
    cr_assert(start.version == 5);
  }
}

// One engine becomes slow while the others keep their pace.
Test(sample_scheduler,
     a_long_sample_moves_off_a_slow_engine_and_does_not_return) {
  SchedulerFixture fixture(4, 4);
  fixture.Submit("job", {{100}, {100}, {100}, {100}});
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  cr_assert(starts.size() == 4);
  const std::string slow = starts.at(0);
  std::vector<SampleStop> stops;
  for (uint32_t tick = 1; tick <= 30 && stops.empty(); ++tick) {
    fixture.now += milliseconds(40);
    for (const auto& [index, engine] : starts) {
      if (engine != slow) {
        fixture.scheduler.RecordEvents({"job", index}, tick, fixture.now);
      } else if (tick % 4 == 0) {
        fixture.scheduler.RecordEvents({"job", index}, tick / 4, fixture.now);
      }
    }
    stops = fixture.scheduler.Plan(fixture.jobs, fixture.now).stops;
  }
  cr_assert(stops.size() == 1);
  cr_assert(stops[0].key.index == 0 && stops[0].reason == StopReason::kSlow);
  fixture.scheduler.EndRun({"job", 0}, RunOutcome::kStopped, fixture.now);
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 1 && plan.starts[0].engine != slow);
  cr_assert(plan.stops.empty());
}

// Streams are read in rounds, one engine's less often than the others'.
Test(sample_scheduler, events_read_in_batches_do_not_make_an_engine_slow) {
  SchedulerFixture fixture(4, 4);
  fixture.Submit("job", {{100}, {100}, {100}, {100}});
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  for (uint32_t tick = 1; tick <= 60; ++tick) {
    fixture.now += milliseconds(40);
    for (const auto& [index, engine] : starts) {
      if (index != 0 || tick % 4 == 0) {
        fixture.scheduler.RecordEvents({"job", index}, tick, fixture.now);
      }
    }
    cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).stops.empty());
  }
}

// Guards against a sample that leaves a slow engine while all others are full:
// it returned to the same engine again and again, each time on a new
// connection.
Test(sample_scheduler, with_all_other_engines_full_nothing_is_moved) {
  SchedulerFixture fixture(2, 1);
  fixture.Submit("job", {{100}, {100}});
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  for (uint32_t tick = 1; tick <= 60; ++tick) {
    fixture.now += milliseconds(40);
    for (const auto& [index, engine] : starts) {
      if (index != 0) {
        fixture.scheduler.RecordEvents({"job", index}, tick, fixture.now);
      } else if (tick % 6 == 0) {
        fixture.scheduler.RecordEvents({"job", index}, tick / 6, fixture.now);
      }
    }
    cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).stops.empty());
  }
}

Test(sample_scheduler, a_silent_run_is_stopped_and_its_engine_avoided) {
  SchedulerFixture fixture(2, 4);
  fixture.Submit("job", {{50}});
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  fixture.now += seconds(2);
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.stops.size() == 1);
  cr_assert(plan.stops[0].reason == StopReason::kSilent);
  fixture.scheduler.EndRun({"job", 0}, RunOutcome::kStopped, fixture.now);
  const auto again =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  cr_assert(again.at(0) != starts.at(0));
}

Test(sample_scheduler,
     a_finished_sample_is_not_started_again_before_it_is_listed) {
  SchedulerFixture fixture(1);
  fixture.Submit("job", {{5}, {5}});
  fixture.scheduler.Plan(fixture.jobs, fixture.now);
  fixture.scheduler.EndRun({"job", 0}, RunOutcome::kDone, fixture.now);
  cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty());
  fixture.RecordCompletion("job", 0);
  cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty());
  cr_assert(fixture.scheduler.running() == 1);
}

Test(sample_scheduler, the_end_of_a_job_stops_its_runs) {
  SchedulerFixture fixture(1);
  fixture.Submit("job", {{5}, {5}});
  fixture.scheduler.Plan(fixture.jobs, fixture.now);
  wire::JobEnd end;
  end.set_job("job");
  fixture.jobs.Apply(end);
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.stops.size() == 2 && plan.starts.empty());
  cr_assert(plan.stops[0].reason == StopReason::kJobOver);
}

Test(sample_scheduler,
     a_sample_that_breaks_every_engine_is_retried_less_often) {
  SchedulerFixture fixture(4);
  fixture.Submit("job", {{5}});
  int starts = 0;
  for (int tick = 0; tick < 200; ++tick) {
    fixture.now += milliseconds(20);
    const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
    for (const SampleStart& start : plan.starts) {
      ++starts;
      fixture.scheduler.EndRun(start.key, RunOutcome::kBroken, fixture.now);
    }
  }
  // Two at once, then one every two seconds.
  cr_assert(starts >= 3 && starts <= 4, "%d starts in 4 s", starts);
}

// Guards against a loss of time with an unreachable engine: without the probe,
// each end of its backoff made twelve samples wait there for a connection.
Test(sample_scheduler, one_sample_probes_an_engine_that_failed) {
  SchedulerFixture fixture(1, 12);
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(12, {10}));
  SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 12);
  for (const SampleStart& start : plan.starts) {
    fixture.scheduler.EndRun(start.key, RunOutcome::kBroken, fixture.now);
  }
  fixture.now += EngineTable::kInitialBackoff;
  plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 1);
  fixture.scheduler.RecordEvents(plan.starts[0].key, 1, fixture.now);
  plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 11);
}

Test(sample_scheduler, planned_cache_memory_limits_running_samples) {
  SchedulerFixture fixture(1, 8);
  fixture.scheduler.engine_table().SetCacheTokens("coach", 1000);
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(8, {11}));
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert(plan.starts.size() == 2, "400 tokens each, 900 may be reserved");
}

Test(sample_scheduler, an_engine_with_a_rate_limit_gets_no_more_starts) {
  SchedulerFixture fixture(2, 8);
  fixture.scheduler.rate_limits().Observe("engine0", 1, 2.0);
  fixture.Submit("a", {{5, 5, 5, 5}, {5, 5, 5, 5}, {5, 5, 5, 5}});
  int limited_starts = 0;
  for (int i = 0; i < 80; ++i) {
    for (const SampleStart& start :
         fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
      limited_starts += start.engine == "engine0";
      fixture.scheduler.EndRun(start.key, RunOutcome::kNotRun, fixture.now);
    }
    fixture.now += milliseconds(50);
  }
  cr_assert_geq(limited_starts, 7);
  cr_assert_leq(limited_starts, 9);
}

// A sample under which engines crashed is still owed: it was never placed again
// on a system like this one.
Test(sample_scheduler, a_sample_whose_engines_crashed_starts_again_when_calm) {
  for (const uint32_t events_before_crash : {0u, 3u}) {
    SchedulerFixture fixture(4);
    fixture.Submit("a", {{20}});
    int crashes = 0;
    while (crashes < 12) {
      for (const SampleStart& start :
           fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
        if (events_before_crash > 0) {
          fixture.scheduler.RecordEvents(start.key, events_before_crash,
                                         fixture.now);
        }
        fixture.scheduler.EndRun(start.key, RunOutcome::kBroken, fixture.now);
        fixture.scheduler.engine_table().Drop(start.engine);
        fixture.Announce("engine" + std::to_string(4 + crashes++), 4, 5);
      }
      fixture.now += milliseconds(50);
    }
    bool started = false;
    for (int i = 0; i < 80 && !started; ++i) {
      started =
          !fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty();
      fixture.now += milliseconds(50);
    }
    cr_assert(started, "not started within 4 s");
  }
}

// The same where each engine comes back under its id.
Test(sample_scheduler, a_sample_starts_again_on_engines_that_crashed_under_it) {
  SchedulerFixture fixture(3);
  fixture.Submit("a", {{20}});
  for (int crashes = 0; crashes < 12; fixture.now += milliseconds(50)) {
    for (const SampleStart& start :
         fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
      fixture.scheduler.EndRun(start.key, RunOutcome::kBroken, fixture.now);
      ++crashes;
    }
  }
  bool started = false;
  for (int i = 0; i < 100 && !started; ++i) {
    started = !fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty();
    fixture.now += milliseconds(50);
  }
  cr_assert(started, "not started within 5 s");
}

// Under one sample each engine crashed, again and again; beside it ran samples
// that had no part in that. The first stays owed but runs rarely and alone, the
// others must be completed.
Test(sample_scheduler,
     a_sample_that_crashes_engines_runs_rarely_and_others_complete) {
  constexpr uint32_t kPoison = 3;
  SchedulerFixture fixture(3, 4);
  fixture.Submit("a", {{20, 20, 20, 20, 20, 20, 20, 20}});
  CrashLedger crashes;
  std::map<std::string, uint64_t> incarnations;
  std::map<std::string, std::set<uint32_t>> running;
  std::vector<TimePoint> poison_runs;
  std::set<uint32_t> completed;
  for (int i = 0; i < 800; ++i, fixture.now += milliseconds(50)) {
    if (i == 400) {
      fixture.scheduler.Reset();  // Another leader takes over.
      running.clear();
    }
    const SamplePlan plan =
        fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes);
    for (const SampleStart& start : plan.starts) {
      running[start.engine].insert(start.key.index);
      if (start.key.index == kPoison) {
        poison_runs.push_back(fixture.now);
      }
    }
    for (auto& [engine, samples] : running) {
      if (samples.contains(kPoison)) {
        const bool is_known =
            crashes.CrashCount(CrashLedger::NameOfSample("a4")) >=
            CrashLedger::kSuspectCrashes;
        cr_assert(!is_known || samples.size() == 1, "not alone");
        const uint64_t incarnation = ++incarnations[engine];
        wire::CrashEvidence evidence;
        for (const uint32_t index : samples) {
          wire::CrashedRun& run = *evidence.add_crashed_runs();
          run.set_request(
              CrashLedger::NameOfSample("a" + std::to_string(index + 1)));
          run.mutable_process()->set_target(engine);
          run.mutable_process()->set_incarnation(incarnation);
          fixture.scheduler.EndRun({"a", index}, RunOutcome::kBroken,
                                   fixture.now);
        }
        crashes.Apply(evidence);
        samples.clear();
      }
      for (const uint32_t index :
           i % 40 == 39 ? std::exchange(samples, {}) : std::set<uint32_t>()) {
        fixture.scheduler.RecordEvents({"a", index}, 20, fixture.now);
        fixture.scheduler.EndRun({"a", index}, RunOutcome::kDone, fixture.now);
        fixture.RecordCompletion("a", index);
        completed.insert(index);
      }
    }
  }
  cr_assert_eq(completed.size(), 7, "%zu completed", completed.size());
  // The runs that make the sample known, one of the new leader, and one each
  // two seconds.
  cr_assert_leq(poison_runs.size(), 3 + 40 / 2, "%zu runs", poison_runs.size());
  poison_runs.push_back(fixture.now);
  for (size_t i = 1; i < poison_runs.size(); ++i) {
    cr_assert(poison_runs[i] - poison_runs[i - 1] < seconds(5),
              "at no engine for 5 s");
  }
}

// Guards against taking coincidences for proof: a sample under which five
// engines had crashed, one while it ran alone, was never run again.
Test(sample_scheduler, a_sample_under_which_engines_crashed_is_still_owed) {
  SchedulerFixture fixture(12, 4);
  CrashLedger crashes;
  for (const char* job : {"a", "b"}) {
    fixture.Submit(job, {{20}});
    for (uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
      wire::CrashEvidence evidence;
      wire::CrashedRun& run = *evidence.add_crashed_runs();
      run.set_request(CrashLedger::NameOfSample(job + std::string("1")));
      run.mutable_process()->set_target(std::string("engine-of-") + job);
      run.mutable_process()->set_incarnation(incarnation);
      crashes.Apply(evidence);
    }
  }
  std::set<std::string> started;
  for (int i = 0; i < 100; ++i, fixture.now += milliseconds(50)) {
    for (const SampleStart& start :
         fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes).starts) {
      started.insert(start.key.job);
    }
  }
  cr_assert_eq(started.size(), 2, "not started within 5 s");
}

// Guards against a sample that waits for an engine to become empty until its
// step is over: one engine's longest sample, or other suspects, hold it up.
Test(sample_scheduler, a_suspect_does_not_wait_long_for_an_empty_engine) {
  SchedulerFixture fixture(2, 4);
  fixture.Submit("long", {{200}, {200}});
  cr_assert_eq(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.size(),
               2);
  fixture.Submit("a", {{20}, {20}, {20}});
  CrashLedger crashes;
  for (const char* engine : {"engine8", "engine9"}) {
    wire::CrashEvidence evidence;
    for (const char* sample : {"a1", "a2", "a3"}) {
      wire::CrashedRun& run = *evidence.add_crashed_runs();
      run.set_request(CrashLedger::NameOfSample(sample));
      run.mutable_process()->set_target(engine);
    }
    crashes.Apply(evidence);
  }
  std::set<uint32_t> started;
  for (uint32_t i = 1; i <= 100; ++i, fixture.now += milliseconds(50)) {
    for (const SampleStart& start :
         fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes).starts) {
      cr_assert(start.key.job == "a");
      started.insert(start.key.index);
    }
    for (const uint32_t index : {0u, 1u}) {
      fixture.scheduler.RecordEvents({"long", index}, i, fixture.now);
    }
  }
  cr_assert_eq(started.size(), 3, "%zu started in 5 s", started.size());
}

// Guards against giving up a sample that was merely there when engines crashed
// under another one.
Test(sample_scheduler, a_sample_beside_one_that_crashes_engines_starts_again) {
  SchedulerFixture fixture(2, 4);
  fixture.Submit("a", {{20}});
  CrashLedger crashes;
  for (uint64_t incarnation = 1; incarnation <= 12; ++incarnation) {
    wire::CrashEvidence evidence;
    for (const char* sample : {"a1", "poison"}) {
      wire::CrashedRun& run = *evidence.add_crashed_runs();
      run.set_request(CrashLedger::NameOfSample(sample));
      run.mutable_process()->set_target("engine9");
      run.mutable_process()->set_incarnation(incarnation);
    }
    crashes.Apply(evidence);
  }
  const SamplePlan plan =
      fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes);
  cr_assert(plan.starts.size() == 1);
}

// Guards against evidence that says nothing: other samples on the engine on
// which a suspect runs.
Test(sample_scheduler, a_suspect_runs_where_nothing_else_does) {
  SchedulerFixture fixture(2, 4);
  fixture.Submit("a", {{20}, {20}});
  cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.size() ==
            2);
  CrashLedger crashes;
  for (const char* engine : {"engine8", "engine9"}) {
    wire::CrashEvidence evidence;
    wire::CrashedRun& run = *evidence.add_crashed_runs();
    run.set_request(CrashLedger::NameOfSample("b1"));
    run.mutable_process()->set_target(engine);
    crashes.Apply(evidence);
  }
  fixture.Submit("b", {{20, 20, 20, 20}});
  // Each engine runs a sample: the suspect waits, and its engine empties.
  SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes);
  cr_assert(plan.starts.size() == 3);
  const std::string others_engine = plan.starts[0].engine;
  for (const SampleStart& start : plan.starts) {
    cr_assert(start.key.index != 0 && start.engine == others_engine);
  }
  for (const uint32_t index : {0u, 1u}) {
    fixture.scheduler.EndRun({"a", index}, RunOutcome::kDone, fixture.now);
    fixture.RecordCompletion("a", index);
  }
  plan = fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes);
  cr_assert(plan.starts.size() == 1);
  cr_assert(plan.starts[0].key.index == 0);
  cr_assert(plan.starts[0].engine != others_engine);
  fixture.Submit("c", {{20}, {20}, {20}});
  plan = fixture.scheduler.Plan(fixture.jobs, fixture.now, crashes);
  cr_assert(plan.starts.size() == 1);
  cr_assert(plan.starts[0].engine == others_engine);
}

// Engines of two software versions served side by side; a sample whose stream
// had broken off went on at whichever had the least load.
Test(sample_scheduler, a_sample_is_resumed_by_the_software_that_began_it) {
  SchedulerFixture fixture(0);
  fixture.Announce("old", 8, 5, "v1");
  for (int i = 0; i < 4; ++i) {
    fixture.Announce("new" + std::to_string(i), 8, 5, "v2");
  }
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(5, {10}));
  for (uint32_t index = 0; index < 5; ++index) {
    fixture.RecordEvent("job", index, "v1");
  }
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(plan.starts.size(), 5);
  for (const SampleStart& start : plan.starts) {
    cr_assert(start.engine == "old");
  }
}

Test(sample_scheduler, a_sample_whose_software_left_begins_anew_at_once) {
  SchedulerFixture fixture(0);
  fixture.Announce("new", 4, 5, "v2");
  fixture.Submit("job", {{10}});
  fixture.RecordEvent("job", 0, "v1");
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].software_version == "v2");
}

// The last engine of a version is full for long; others are free.
Test(sample_scheduler, a_sample_waits_for_its_software_for_a_bounded_time) {
  SchedulerFixture fixture(0);
  fixture.Announce("old", 1, 5, "v1");
  fixture.Announce("new", 4, 5, "v2");
  fixture.Submit("job", {{10}, {10}});
  fixture.RecordEvent("job", 0, "v1");
  fixture.RecordEvent("job", 1, "v1");
  const SamplePlan first = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(first.starts.size(), 1);
  cr_assert(first.starts[0].engine == "old");
  fixture.now += milliseconds(900);
  cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty());
  fixture.now += milliseconds(200);
  const SamplePlan later = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(later.starts.size(), 1);
  cr_assert(later.starts[0].engine == "new");
}

// One engine of the old version becomes slow while those of the new one keep
// their pace: moving the sample would discard its text.
Test(sample_scheduler, a_slow_run_does_not_move_to_another_software) {
  SchedulerFixture fixture(0);
  fixture.Announce("old", 4, 5, "v1");
  for (int i = 0; i < 3; ++i) {
    fixture.Announce("new" + std::to_string(i), 4, 5, "v2");
  }
  fixture.Submit("job", {{100}, {100}, {100}, {100}});
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  for (uint32_t tick = 1; tick <= 60; ++tick) {
    fixture.now += milliseconds(20);
    for (const auto& [index, engine] : starts) {
      if (engine != "old" || tick % 4 == 0) {
        fixture.scheduler.RecordEvents(
            {"job", index}, engine == "old" ? tick / 4 : tick, fixture.now);
      }
    }
    cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).stops.empty());
  }
}

// The only engine with the weights of the recorded text was lost, and the
// sample waited for it until its step was over.
Test(sample_scheduler, a_single_version_sample_outlives_the_engine_it_ran_on) {
  SchedulerFixture fixture(0);
  fixture.single_version = true;
  fixture.Announce("old", 4, 5);
  fixture.Announce("new", 4, 6);
  fixture.Submit("job", {{10}});
  fixture.RecordEvent("job", 0, "v1");
  fixture.scheduler.engine_table().RecordFailure("old", fixture.now);
  cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.empty());
  while (
      !fixture.scheduler.engine_table().Find("old")->IsFailing(fixture.now)) {
    fixture.scheduler.engine_table().RecordFailure("old", fixture.now);
    fixture.now += milliseconds(100);
  }
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].engine == "new" && plan.starts[0].version == 6);
}

// The time at which each of four samples, whose recorded text only "old" can
// continue, starts on "new" after "old" has ended its runs. Each later run on
// "old" ends with `outcome`.
std::map<uint32_t, Duration> StartsAfterTheLossOf(RunOutcome outcome) {
  SchedulerFixture fixture(0);
  fixture.single_version = true;
  fixture.Announce("new", 4, 6);
  fixture.Announce("old", 4, 5);
  fixture.Submit("job", {{10}, {10}, {10}, {10}});
  for (uint32_t index = 0; index < 4; ++index) {
    fixture.RecordEvent("job", index, "v1");
  }
  for (const SampleStart& start :
       fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
    cr_assert(start.engine == "old");
    fixture.scheduler.RecordEvents(start.key, 2, fixture.now);
  }
  for (uint32_t index = 0; index < 4; ++index) {
    fixture.scheduler.EndRun({"job", index}, RunOutcome::kBroken, fixture.now);
  }
  std::map<uint32_t, Duration> started;
  const TimePoint lost_at = fixture.now;
  while (fixture.now < lost_at + seconds(10)) {
    fixture.now += milliseconds(20);
    for (const auto& [index, engine] :
         fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now))) {
      if (engine == "new") {
        started[index] = fixture.now - lost_at;
      } else {
        fixture.scheduler.EndRun({"job", index}, outcome, fixture.now);
      }
    }
  }
  return started;
}

// The sample that probed a lost engine went back there at each end of the
// engine's backoff, while other engines were idle, until its step was over.
Test(sample_scheduler, the_probe_of_an_unreachable_engine_goes_elsewhere) {
  const auto started = StartsAfterTheLossOf(RunOutcome::kUnreachable);
  cr_assert_eq(started.size(), 4);
  for (const auto& [index, delay] : started) {
    cr_assert(delay <= SampleSchedulerOptions().max_resume_wait +
                           EngineTable::kInitialBackoff);
  }
}

// As above, for an engine that accepts connections and closes them.
Test(sample_scheduler, the_probe_of_a_breaking_engine_goes_elsewhere) {
  const auto started = StartsAfterTheLossOf(RunOutcome::kBroken);
  cr_assert_eq(started.size(), 4);
  for (const auto& [index, delay] : started) {
    cr_assert(delay <= SampleSchedulerOptions().max_resume_wait +
                           EngineTable::kInitialBackoff);
  }
}

// Connections that fail are no sign that the sample crashes engines.
Test(sample_scheduler, an_unreachable_engine_is_no_evidence_against_a_sample) {
  SchedulerFixture fixture(3);
  fixture.Submit("job", {{5}});
  for (int i = 0; i < 2; ++i) {
    const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
    cr_assert_eq(plan.starts.size(), 1);
    fixture.scheduler.EndRun(plan.starts[0].key, RunOutcome::kUnreachable,
                             fixture.now);
  }
  cr_assert_eq(fixture.scheduler.Plan(fixture.jobs, fixture.now).starts.size(),
               1);
}

Test(sample_scheduler, a_single_version_sample_resumes_with_its_weights) {
  SchedulerFixture fixture(0);
  fixture.single_version = true;
  fixture.Announce("old", 4, 5);
  fixture.Announce("new", 4, 6);
  fixture.Submit("job", {{10}, {10}, {10}});
  for (uint32_t index = 0; index < 3; ++index) {
    fixture.RecordEvent("job", index, "v1");
  }
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(plan.starts.size(), 3);
  for (const SampleStart& start : plan.starts) {
    cr_assert(start.engine == "old");
  }
}

// Moving the sample would discard its text.
Test(sample_scheduler, a_slow_single_version_run_does_not_move_to_new_weights) {
  SchedulerFixture fixture(0);
  fixture.single_version = true;
  fixture.Announce("old", 4, 5);
  for (int i = 0; i < 3; ++i) {
    fixture.Announce("new" + std::to_string(i), 4, 6);
  }
  fixture.Submit("job", {{100}, {100}, {100}, {100}});
  const auto starts =
      fixture.Starts(fixture.scheduler.Plan(fixture.jobs, fixture.now));
  for (uint32_t tick = 1; tick <= 60; ++tick) {
    fixture.now += milliseconds(20);
    for (const auto& [index, engine] : starts) {
      if (engine != "old" || tick % 4 == 0) {
        fixture.scheduler.RecordEvents(
            {"job", index}, engine == "old" ? tick / 4 : tick, fixture.now);
      }
    }
    cr_assert(fixture.scheduler.Plan(fixture.jobs, fixture.now).stops.empty());
  }
}

// Generates `count` events with a gap of `gap` on the engine.
void ObserveGaps(SchedulerFixture* fixture,
                 const std::string& engine,
                 Duration gap,
                 uint32_t count = EngineTable::kMinObservedGaps) {
  for (uint32_t i = 0; i < count; ++i) {
    fixture->scheduler.engine_table().ObserveEventGap(engine, gap);
  }
}

// Pattern: a third of the engines takes 2.4 times as long for each event, and a
// step has fewer samples than the others have slots. Samples that began on slow
// engines had to be moved, or held up their groups.
Test(sample_scheduler, slow_engines_get_samples_once_the_fast_ones_are_full) {
  SchedulerFixture fixture(3, 8);
  ObserveGaps(&fixture, "engine0", milliseconds(33));
  ObserveGaps(&fixture, "engine1", milliseconds(80));
  ObserveGaps(&fixture, "engine2", milliseconds(33));
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(16, {20}));
  std::map<std::string, int> by_engine;
  for (const SampleStart& start :
       fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
    ++by_engine[start.engine];
  }
  cr_assert(by_engine["engine0"] == 8 && by_engine["engine2"] == 8);
  fixture.Submit("more", std::vector<std::vector<uint32_t>>(8, {20}));
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(plan.starts.size(), 8, "slots were left empty");
}

// Guards against engines that are taken for slow for good, since they get no
// samples that could show otherwise: a neighbour's noise of 600 ms.
Test(sample_scheduler, a_noisy_moment_does_not_make_an_engine_usually_slow) {
  SchedulerFixture fixture(2, 8);
  ObserveGaps(&fixture, "engine0", milliseconds(33));
  ObserveGaps(&fixture, "engine1", milliseconds(33), 200);
  ObserveGaps(&fixture, "engine1", milliseconds(83), 7);
  ObserveGaps(&fixture, "engine1", milliseconds(33), 20);
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(8, {20}));
  std::map<std::string, int> by_engine;
  for (const SampleStart& start :
       fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
    ++by_engine[start.engine];
  }
  cr_assert(by_engine["engine0"] >= 3 && by_engine["engine1"] >= 3);
}

// Most engines being slow must not hide it.
Test(sample_scheduler, few_fast_engines_are_preferred_to_many_slow_ones) {
  SchedulerFixture fixture(4, 4);
  ObserveGaps(&fixture, "engine0", milliseconds(80));
  ObserveGaps(&fixture, "engine1", milliseconds(80));
  ObserveGaps(&fixture, "engine2", milliseconds(33));
  ObserveGaps(&fixture, "engine3", milliseconds(33));
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(8, {20}));
  for (const SampleStart& start :
       fixture.scheduler.Plan(fixture.jobs, fixture.now).starts) {
    cr_assert(start.engine == "engine2" || start.engine == "engine3");
  }
}

// Pattern: steps of all trainers wait behind engines that are all busy. For
// each waiting sample the plan looked at all engines, and twice for their
// median. The limit is some ten times what it takes now.
Test(sample_scheduler,
     a_plan_with_all_engines_busy_takes_little_time,
     .timeout = 60) {
  constexpr int kEngines = 890;
  constexpr uint32_t kSlots = 6;
  constexpr size_t kSamples = 15'000;
  constexpr int kPlans = 200;
  SchedulerFixture fixture(kEngines, kSlots);
  fixture.Submit("job", std::vector<std::vector<uint32_t>>(
                            kSamples / 10, std::vector<uint32_t>(10, 20)));
  TimePoint now{seconds(100)};
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, now);
  cr_assert(plan.starts.size() == kEngines * kSlots);
  for (uint32_t events = 1; events <= 2; ++events) {
    now += milliseconds(40);
    for (const SampleStart& start : plan.starts) {
      fixture.scheduler.RecordEvents(start.key, events, now);
    }
  }
  for (int i = 0; i < kPlans; ++i) {
    now += milliseconds(1);
    const SamplePlan next = fixture.scheduler.Plan(fixture.jobs, now);
    cr_assert(next.starts.empty() && next.stops.empty());
  }
}

// Guards against lengths whose sum overflows: samples that fill an engine's
// memory many times over were all sent to it at once.
Test(sample_scheduler, samples_of_any_stated_length_share_no_memory) {
  SchedulerFixture fixture(1, 4);
  fixture.scheduler.engine_table().SetCacheTokens("coach", 1000);
  wire::JobSubmit submit;
  submit.set_job("job");
  submit.set_service("coach");
  submit.set_model("model");
  for (int i = 0; i < 4; ++i) {
    wire::JobSample& sample = *submit.add_samples();
    sample.set_id("s" + std::to_string(i));
    sample.set_prompt_tokens(std::numeric_limits<uint64_t>::max());
    sample.set_expected_tokens(kTokensPerEvent);
  }
  fixture.jobs.Apply(submit);
  const SamplePlan plan = fixture.scheduler.Plan(fixture.jobs, fixture.now);
  cr_assert_eq(plan.starts.size(), 1);
}

}  // namespace limpethatch
