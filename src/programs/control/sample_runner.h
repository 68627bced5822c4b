// Runs samples of batch jobs on engines and records their output. Used by the
// leader, on the thread of one io_context.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_SAMPLE_RUNNER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_SAMPLE_RUNNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/read_pacer.h"
#include "limpethatch/process/byte_budget.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/version/job_ledger.h"
#include "limpethatch/version/sample_scheduler.h"
#include "limpethatch/version/sample_stream_validator.h"
#include "platform/engine_codec.h"
#include "programs/control/run_listener.h"

namespace limpethatch {

class SampleRunner {
 public:
  SampleRunner(boost::asio::io_context& io,
               TimerService& timers,
               SampleScheduler& scheduler,
               RunListener listener);

  // With `keys_required`, headers of the sample that name an organisation are
  // not sent.
  void Start(const SampleStart& start, const Job& job, bool keys_required);
  void Stop(const SampleStop& stop);
  // Cancels all runs and discards unrecorded output.
  void Reset();
  // Records all output received so far.
  void Flush();

  // Counters since the start of the process, for metrics.
  struct Counters {
    uint64_t started = 0;
    uint64_t finished = 0;
    uint64_t not_run = 0;
    uint64_t failed = 0;
    uint64_t broken = 0;
    uint64_t unreachable = 0;  // Runs that got no connection to the engine.
    uint64_t stopped = 0;
    uint64_t events = 0;
    uint64_t limits_exceeded = 0;  // Runs with more output than allowed.
  };
  const Counters& counters() const { return counters_; }
  // Text of all samples that are running, in bytes.
  size_t held_bytes() const { return text_budget_.bytes(); }

 private:
  // The state of a sample that the log does not contain yet.
  struct Progress {
    uint32_t proposed = 0;            // Number of events proposed to the log.
    std::vector<std::string> events;  // Not yet proposed.
    std::set<uint64_t> versions;      // That generated any event.
    std::set<uint64_t> new_versions;  // Not yet proposed.
    std::string software_version;     // Of the engines that generated it.
    size_t text_bytes = 0;            // Of all events.
    uint32_t failures = 0;
    wire::SampleState state = wire::SAMPLE_OPEN;
    bool discard = false;  // Output recorded so far is to be discarded.

    uint32_t total() const {
      return proposed + static_cast<uint32_t>(events.size());
    }
    bool HasUnrecordedChanges() const {
      return !events.empty() || failures > 0 || discard ||
             state != wire::SAMPLE_OPEN;
    }
  };
  struct Run {
    explicit Run(ByteBudget& budget) : held(budget) {}

    SampleStart start;
    wire::JobSample sample;
    std::string host;
    std::string organisation;  // Empty: none.
    bool keys_required = false;
    std::string model;
    uint64_t min_version = 0;
    bool single_version = false;
    uint32_t max_attempts = 1;
    uint32_t failures_before = 0;
    Endpoint address;
    uint64_t incarnation = 0;  // Of the engine.
    std::shared_ptr<HttpCancelToken> cancel =
        std::make_shared<HttpCancelToken>();
    bool stopped = false;
    bool sent = false;
    std::error_code error;  // Of the connection.
    std::string reason;     // Why the run ended, for the log line.
    TimePoint started_at;
    uint32_t events_before = 0;
    // Of the text so far and the buffered part of the next event.
    ByteBudget::Share held;
  };
  using RunPtr = std::shared_ptr<Run>;

  Progress& FindOrAddProgress(const SampleStart& start, const Job& job);
  void RunSample(Yield yield, const RunPtr& run);
  RunOutcome CallEngine(Yield yield, const RunPtr& run);
  RunOutcome ReadEvents(Yield yield,
                        const RunPtr& run,
                        HttpStream& stream,
                        uint64_t version);
  // Records that an answer states `version`. Returns false if that is wrong.
  bool ConfirmVersion(const RunPtr& run, uint64_t version);
  // Appends an event that `version` of the weights generated.
  void AppendEvent(const RunPtr& run,
                   const platform::StreamEvent& event,
                   uint64_t version);
  // The engine sent more output than allowed.
  void RecordOutputFault(const RunPtr& run);
  RunOutcome HandleRefusal(const RunPtr& run, const platform::SampleHead& head);
  RunOutcome RecordFailure(const RunPtr& run);
  void DiscardOutput(Progress& progress);
  void ScheduleFlush();
  // Tells the listener of a run that got no complete answer.
  void ReportUnfinished(const Run& run);
  // Counts and logs the end of a run.
  void RecordRunEnd(const Run& run, RunOutcome outcome);

  boost::asio::io_context& io_;
  TimerService& timers_;
  SampleScheduler& scheduler_;
  RunListener listener_;
  HttpClient client_;
  ReadPacer pacer_;
  ByteBudget text_budget_;
  uint64_t generation_ = 0;  // Increases with each Reset.
  std::map<SampleKey, RunPtr> runs_;
  std::map<SampleKey, Progress> progress_;
  bool flush_scheduled_ = false;
  Counters counters_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_SAMPLE_RUNNER_H_
