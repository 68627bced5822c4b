#include "programs/control/sample_runner.h"

#include <algorithm>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Several times the round trip of a connection within a region.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Longer than the scheduler waits for an event, which then stops the run.
constexpr Duration kProgressTimeout = std::chrono::seconds(4);
// What an engine is given for one sample: more than the longest takes.
constexpr Duration kRunTime = std::chrono::seconds(30);
// What was made is recorded so often; a new leader loses no more than this.
constexpr Duration kRecordPeriod = std::chrono::milliseconds(250);
// Samples that end within this time share a log entry.
constexpr Duration kGatherTime = std::chrono::milliseconds(2);
// An engine that refused a sample gets none of that model for so long.
constexpr Duration kRefusedPause = std::chrono::milliseconds(80);

const char* Name(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kNotRun:
      return "not_run";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kStopped:
      return "stopped";
  }
  return "unknown";
}

const char* Name(StopReason reason) {
  switch (reason) {
    case StopReason::kJobOver:
      return "job_over";
    case StopReason::kSlow:
      return "slow_engine";
    case StopReason::kSilent:
      return "silent_engine";
    case StopReason::kEngineGone:
      return "engine_gone";
  }
  return "unknown";
}

}  // namespace

SampleRunner::SampleRunner(boost::asio::io_context& io,
                           TimerService& timers,
                           SampleScheduler& scheduler,
                           Listener listener)
    : io_(io),
      timers_(timers),
      scheduler_(scheduler),
      listener_(std::move(listener)),
      client_(io, HttpClientOptions{}),
      pacer_(io) {
  timers_.Every(kRecordPeriod, [this](TimePoint) { Flush(); });
}

SampleRunner::Progress& SampleRunner::ProgressOf(const SampleStart& start,
                                                 const Job& job) {
  const auto [found, added] = progress_.try_emplace(start.key);
  Progress& progress = found->second;
  if (added) {
    const SampleText& made = job.samples[start.key.index].made;
    progress.proposed = made.events;
    progress.versions = {made.versions.begin(), made.versions.end()};
  }
  return progress;
}

void SampleRunner::Start(const SampleStart& start, const Job& job) {
  const EngineState* engine = scheduler_.board().Find(start.engine);
  if (!engine) {
    scheduler_.Ended(start.key, RunEnd::kNotRun, Clock::now());
    return;
  }
  Progress& progress = ProgressOf(start, job);
  if (job.submit.single_version() && !progress.versions.empty() &&
      *progress.versions.begin() != start.version) {
    Discard(progress);
  }
  auto run = std::make_shared<Run>();
  run->start = start;
  run->sample = job.submit.samples(static_cast<int>(start.key.index));
  run->host = job.submit.host();
  run->model = job.submit.model();
  run->min_version = job.submit.min_version();
  run->single_version = job.submit.single_version();
  run->max_attempts = std::max<uint32_t>(job.submit.max_attempts(), 1);
  run->failures_before = job.samples[start.key.index].failures;
  run->address = engine->address;
  run->began_at = Clock::now();
  run->events_before = progress.total();
  runs_[start.key] = run;
  ++counters_.started;
  Log(LogLevel::kInfo, "sample_started",
      {{"job", start.key.job},
       {"sample", run->sample.id()},
       {"target", start.engine},
       {"weights", start.version},
       {"after_event", progress.total()},
       {"running_there", engine->running}});
  Spawn(io_, [this, run, generation = generation_](Yield yield) {
    if (generation == generation_) {
      Carry(yield, run);
    }
  });
}

void SampleRunner::Stop(const SampleStop& stop) {
  const auto found = runs_.find(stop.key);
  if (found == runs_.end()) {
    return;
  }
  Log(LogLevel::kInfo, "sample_stopped",
      {{"job", stop.key.job},
       {"sample", found->second->sample.id()},
       {"target", found->second->start.engine},
       {"reason", Name(stop.reason)}});
  found->second->stopped = true;
  found->second->cancel->Cancel();
}

void SampleRunner::Reset() {
  ++generation_;
  for (const auto& [key, run] : runs_) {
    run->stopped = true;
    run->cancel->Cancel();
  }
  runs_.clear();
  progress_.clear();
}

void SampleRunner::Carry(Yield yield, const RunPtr& run) {
  const uint64_t generation = generation_;
  RunEnd end = Call(yield, run);
  if (generation != generation_) {
    return;
  }
  if (run->stopped && end != RunEnd::kDone) {
    end = RunEnd::kStopped;
  }
  LogEnd(*run, end);
  runs_.erase(run->start.key);
  scheduler_.Ended(run->start.key, end, Clock::now());
  listener_.changed();
}

RunEnd SampleRunner::Call(Yield yield, const RunPtr& run) {
  const uint64_t generation = generation_;
  HttpCallOptions options;
  options.deadline = Clock::now() + kRunTime;
  options.connect_timeout = kConnectTimeout;
  options.progress_timeout = kProgressTimeout;
  options.cancel = run->cancel;
  const HttpRequest request = platform::EncodeSampleRun(
      run->sample, run->host, run->start.engine, run->start.version,
      progress_[run->start.key].total(), kRunTime);
  HttpStreamOutcome outcome =
      client_.Open(yield, run->address, request, options);
  if (generation != generation_) {
    return RunEnd::kStopped;
  }
  if (!outcome.stream) {
    run->reason = outcome.error.message();
    return RunEnd::kBroken;
  }
  const platform::SampleHead head = platform::DecodeSampleHead(
      outcome.stream->status(), outcome.stream->headers(), run->sample.id());
  if (head.answer != platform::SampleAnswer::kStream) {
    return Refused(run, head);
  }
  return ReadEvents(yield, run, *outcome.stream, head.version);
}

RunEnd SampleRunner::Refused(const RunPtr& run,
                             const platform::SampleHead& head) {
  const TimePoint now = Clock::now();
  EngineBoard& board = scheduler_.board();
  switch (head.answer) {
    case platform::SampleAnswer::kNotRun: {
      run->reason = head.other_instance ? "misdirected" : "engine_full";
      board.Prove(run->start.engine, run->model, head.version);
      if (EngineState* engine = board.Find(run->start.engine)) {
        EngineModel& model = engine->models[run->model];
        model.closed_until = std::max(model.closed_until, now + kRefusedPause);
      }
      return RunEnd::kNotRun;
    }
    case platform::SampleAnswer::kHopeless:
      run->reason = "cannot_be_done";
      progress_[run->start.key].state = wire::SAMPLE_DEAD;
      FlushSoon();
      return RunEnd::kDone;
    case platform::SampleAnswer::kFailed:
      run->reason = "engine_error";
      return CountFailure(run);
    default:
      run->reason = "answer_of_another_request";
      return RunEnd::kBroken;
  }
}

RunEnd SampleRunner::CountFailure(const RunPtr& run) {
  Progress& progress = progress_[run->start.key];
  ++progress.failures;
  FlushSoon();
  if (run->failures_before + progress.failures < run->max_attempts) {
    return RunEnd::kFailed;
  }
  progress.state = wire::SAMPLE_DEAD;
  return RunEnd::kDone;
}

RunEnd SampleRunner::ReadEvents(Yield yield,
                                const RunPtr& run,
                                HttpStream& stream,
                                uint64_t version) {
  const uint64_t generation = generation_;
  const Progress& made = progress_[run->start.key];
  SampleIntake intake(
      {run->min_version, run->single_version, made.total(), made.versions});
  const auto end_by = [&](SampleIntake::Verdict verdict) {
    run->reason = intake.reason();
    if (intake.discard()) {
      Discard(progress_[run->start.key]);
    }
    return verdict == SampleIntake::Verdict::kNotRun ? RunEnd::kNotRun
                                                     : RunEnd::kBroken;
  };
  scheduler_.board().Prove(run->start.engine, run->model, version);
  if (const auto verdict = intake.Begin(version);
      verdict != SampleIntake::Verdict::kGoOn) {
    return end_by(verdict);
  }
  platform::EventParser parser;
  while (true) {
    const Result<std::string> piece = stream.Read(yield);
    if (generation != generation_) {
      return RunEnd::kStopped;
    }
    if (!piece) {
      run->reason = piece.error().message();
      return RunEnd::kBroken;
    }
    if (piece.value().empty()) {
      break;
    }
    parser.Feed(piece.value());
    bool any = false;
    while (const auto event = parser.Next()) {
      if (const auto verdict = intake.Take(event->id, event->version);
          verdict != SampleIntake::Verdict::kGoOn) {
        return end_by(verdict);
      }
      Keep(run, *event, intake.version());
      any = true;
    }
    if (any) {
      scheduler_.Event(run->start.key, progress_[run->start.key].total(),
                       Clock::now());
    }
    pacer_.WaitForRound(yield, runs_.size());
    if (generation != generation_) {
      return RunEnd::kStopped;
    }
  }
  if (const auto verdict = intake.End(parser.HasPartial());
      verdict != SampleIntake::Verdict::kDone) {
    return end_by(verdict);
  }
  progress_[run->start.key].state = wire::SAMPLE_COMPLETED;
  FlushSoon();
  return RunEnd::kDone;
}

void SampleRunner::Keep(const RunPtr& run,
                        const platform::StreamEvent& event,
                        uint64_t version) {
  if (event.version != 0) {
    scheduler_.board().Prove(run->start.engine, run->model, version);
  }
  Progress& progress = progress_[run->start.key];
  progress.versions.insert(version);
  progress.new_versions.insert(version);
  progress.events.push_back(event.data);
  ++counters_.events;
}

void SampleRunner::Discard(Progress& progress) {
  const uint32_t failures = progress.failures;
  progress = {};
  progress.failures = failures;
  progress.discard = true;
}

void SampleRunner::FlushSoon() {
  if (!std::exchange(flush_due_, true)) {
    timers_.After(kGatherTime, [this](TimePoint) { Flush(); });
  }
}

void SampleRunner::Flush() {
  flush_due_ = false;
  wire::SamplesAdvance advances;
  for (const auto& [key, progress] : progress_) {
    if (!progress.HasNews()) {
      continue;
    }
    wire::SampleAdvance& advance = *advances.add_advances();
    advance.set_job(key.job);
    advance.set_sample(key.index);
    advance.set_after_event(progress.proposed);
    for (const std::string& event : progress.events) {
      advance.add_events(event);
    }
    for (const uint64_t version : progress.new_versions) {
      advance.add_versions(version);
    }
    advance.set_state(progress.state);
    advance.set_discard(progress.discard);
    advance.set_failures(progress.failures);
  }
  if (advances.advances_size() == 0 || !listener_.record(advances)) {
    return;
  }
  for (auto& [key, progress] : progress_) {
    progress.proposed = progress.total();
    progress.events.clear();
    progress.new_versions.clear();
    progress.failures = 0;
    progress.discard = false;
  }
  std::erase_if(progress_, [](const auto& entry) {
    return entry.second.state != wire::SAMPLE_OPEN;
  });
}

void SampleRunner::LogEnd(const Run& run, RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      ++counters_.finished;
      break;
    case RunEnd::kNotRun:
      ++counters_.not_run;
      break;
    case RunEnd::kFailed:
      ++counters_.failed;
      break;
    case RunEnd::kBroken:
      ++counters_.broken;
      break;
    case RunEnd::kStopped:
      ++counters_.stopped;
      break;
  }
  const auto progress = progress_.find(run.start.key);
  const uint32_t events =
      progress == progress_.end() ? 0 : progress->second.total();
  Log(LogLevel::kInfo, "sample_ended",
      {{"job", run.start.key.job},
       {"sample", run.sample.id()},
       {"target", run.start.engine},
       {"weights", run.start.version},
       {"outcome", Name(end)},
       {"after_event", run.events_before},
       {"events", events},
       {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       Clock::now() - run.began_at)
                       .count()},
       {"reason", run.reason}});
}

}  // namespace limpethatch
