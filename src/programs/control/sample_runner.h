// Runs samples of batch jobs at engines and records what they make. Belongs to
// the leader; lives on the thread of one io_context.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_SAMPLE_RUNNER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_SAMPLE_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/read_pacer.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/version/job_ledger.h"
#include "limpethatch/version/sample_scheduler.h"
#include "limpethatch/version/sample_stream_validator.h"
#include "platform/engine_codec.h"

namespace limpethatch {

class SampleRunner {
 public:
  struct Listener {
    // Appends a command to the log; false if that can't be done now.
    std::function<bool(const wire::SamplesAdvance& advances)> record_advances;
    // A run ended, or its engine said something: plan again.
    std::function<void()> replan;
  };

  SampleRunner(boost::asio::io_context& io,
               TimerService& timers,
               SampleScheduler& scheduler,
               Listener listener);

  void Start(const SampleStart& start, const Job& job);
  void Stop(const SampleStop& stop);
  // Ends all runs and forgets what was not recorded.
  void Reset();
  // Records all that was made so far.
  void Flush();

  // Counters since the start, for metrics.
  struct Counters {
    uint64_t started = 0;
    uint64_t finished = 0;
    uint64_t not_run = 0;
    uint64_t failed = 0;
    uint64_t broken = 0;
    uint64_t stopped = 0;
    uint64_t events = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  // What is known of a sample beyond the log.
  struct Progress {
    uint32_t proposed = 0;            // Events handed to the log.
    std::vector<std::string> events;  // Not yet handed to it.
    std::set<uint64_t> versions;      // Of all events.
    std::set<uint64_t> new_versions;
    uint32_t failures = 0;
    wire::SampleState state = wire::SAMPLE_OPEN;
    bool discard = false;

    uint32_t total() const {
      return proposed + static_cast<uint32_t>(events.size());
    }
    bool HasUnrecordedChanges() const {
      return !events.empty() || failures > 0 || discard ||
             state != wire::SAMPLE_OPEN;
    }
  };
  struct Run {
    SampleStart start;
    wire::JobSample sample;
    std::string host;
    std::string model;
    uint64_t min_version = 0;
    bool single_version = false;
    uint32_t max_attempts = 1;
    uint32_t failures_before = 0;
    Endpoint address;
    std::shared_ptr<HttpCancelToken> cancel =
        std::make_shared<HttpCancelToken>();
    bool stopped = false;
    std::string reason;  // Why it ended.
    TimePoint started_at;
    uint32_t events_before = 0;
  };
  using RunPtr = std::shared_ptr<Run>;

  Progress& FindOrAddProgress(const SampleStart& start, const Job& job);
  void RunSample(Yield yield, const RunPtr& run);
  RunOutcome CallEngine(Yield yield, const RunPtr& run);
  RunOutcome ReadEvents(Yield yield,
                        const RunPtr& run,
                        HttpStream& stream,
                        uint64_t version);
  // Takes in an event that `version` of the weights made.
  void AppendEvent(const RunPtr& run,
                   const platform::StreamEvent& event,
                   uint64_t version);
  RunOutcome HandleRefusal(const RunPtr& run, const platform::SampleHead& head);
  RunOutcome RecordFailure(const RunPtr& run);
  void DiscardOutput(Progress& progress);
  void ScheduleFlush();
  void RecordRunEnd(const Run& run, RunOutcome outcome);

  boost::asio::io_context& io_;
  TimerService& timers_;
  SampleScheduler& scheduler_;
  Listener listener_;
  HttpClient client_;
  ReadPacer pacer_;
  uint64_t generation_ = 0;  // Grows with each Reset.
  std::map<SampleKey, RunPtr> runs_;
  std::map<SampleKey, Progress> progress_;
  bool flush_scheduled_ = false;
  Counters counters_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_SAMPLE_RUNNER_H_
