#include "programs/control/sample_runner.h"

#include <algorithm>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/process/log.h"
#include "limpethatch/process/utf8.h"

namespace limpethatch {
namespace {

// Several times the round trip of a connection within a region.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Longer than the scheduler's silence timeout, so that the scheduler is first
// to stop a silent run.
constexpr Duration kProgressTimeout = std::chrono::seconds(4);
// Time limit of one run: longer than the longest samples take.
constexpr Duration kRunTimeout = std::chrono::seconds(30);
// Period at which output is recorded. A new leader loses at most the output of
// this period.
constexpr Duration kRecordPeriod = std::chrono::milliseconds(250);
// Maximum size of an event.
constexpr size_t kMaxEventBytes = 256UL * 1024;
// Maximum size of the stream of one run: its text and what frames the events.
constexpr size_t kMaxStreamBytes = 16UL * 1024 * 1024;
// Maximum text of all running samples: a quarter of the memory of the smallest
// control machines.
constexpr size_t kMaxRunningTextBytes = 64UL * 1024 * 1024;
// Delay before finished samples are recorded; those that end within it share
// a log entry.
constexpr Duration kFlushDelay = std::chrono::milliseconds(2);
// Time for which an engine that refused a sample gets no further samples of the
// same model.
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(80);

const char* LogName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kNotRun:
      return "not_run";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kBroken:
      return "broken";
    case RunOutcome::kUnreachable:
      return "unreachable";
    case RunOutcome::kStopped:
      return "stopped";
  }
  return "unknown";
}

const char* LogName(StopReason reason) {
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
                           RunListener listener)
    : io_(io),
      timers_(timers),
      scheduler_(scheduler),
      listener_(std::move(listener)),
      client_(io, HttpClientOptions{}),
      pacer_(io),
      text_budget_(kMaxRunningTextBytes) {
  timers_.Every(kRecordPeriod, [this](TimePoint) { Flush(); });
}

SampleRunner::Progress& SampleRunner::FindOrAddProgress(
    const SampleStart& start,
    const Job& job) {
  const auto [found, added] = progress_.try_emplace(start.key);
  Progress& progress = found->second;
  if (added) {
    const SampleText& output = job.samples[start.key.index].output;
    progress.proposed = output.events;
    progress.text_bytes = output.text.size();
    progress.versions = {output.versions.begin(), output.versions.end()};
    progress.software_version = output.software_version;
  }
  return progress;
}

void SampleRunner::Start(const SampleStart& start,
                         const Job& job,
                         bool keys_required) {
  const EngineState* engine = scheduler_.engine_table().Find(start.engine);
  if (!engine) {
    scheduler_.EndRun(start.key, RunOutcome::kNotRun, Clock::now());
    return;
  }
  Progress& progress = FindOrAddProgress(start, job);
  if (job.submit.single_version() && !progress.versions.empty() &&
      *progress.versions.begin() != start.version) {
    DiscardOutput(progress);
  }
  if (progress.total() > 0 &&
      progress.software_version != start.software_version) {
    Log(LogLevel::kInfo, "sample_text_discarded",
        {{"job", start.key.job},
         {"sample", job.submit.samples(static_cast<int>(start.key.index)).id()},
         {"events", progress.total()},
         {"software_version", progress.software_version},
         {"target", start.engine},
         {"target_software_version", start.software_version}});
    DiscardOutput(progress);
  }
  progress.software_version = start.software_version;
  auto run = std::make_shared<Run>(text_budget_);
  run->start = start;
  run->sample = job.submit.samples(static_cast<int>(start.key.index));
  run->host = job.submit.host();
  run->organisation = job.submit.organisation();
  // The engine is told of the job's organisation even if none is configured any
  // more.
  run->keys_required = keys_required || !run->organisation.empty();
  run->model = job.submit.model();
  run->min_version = job.submit.min_version();
  run->single_version = job.submit.single_version();
  run->max_attempts = std::max<uint32_t>(job.submit.max_attempts(), 1);
  run->failures_before = job.samples[start.key.index].failures;
  run->address = engine->address;
  run->incarnation = engine->born_ms;
  run->started_at = Clock::now();
  run->events_before = progress.total();
  run->held.Set(progress.text_bytes);
  runs_[start.key] = run;
  ++counters_.started;
  Log(LogLevel::kInfo, "sample_started",
      {{"job", start.key.job},
       {"sample", run->sample.id()},
       {"target", start.engine},
       {"software_version", start.software_version},
       {"weights", start.version},
       {"after_event", progress.total()},
       {"running_there", engine->running},
       {"crashes", start.crash_count},
       {"crashed_alone", start.crashed_alone}});
  Spawn(io_, [this, run, generation = generation_](Yield yield) {
    if (generation == generation_) {
      RunSample(yield, run);
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
       {"reason", LogName(stop.reason)}});
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

void SampleRunner::RunSample(Yield yield, const RunPtr& run) {
  const uint64_t generation = generation_;
  RunOutcome outcome = CallEngine(yield, run);
  if (generation != generation_) {
    return;
  }
  if (run->sent && run->error) {
    ReportUnfinished(*run);
  }
  if (run->stopped && outcome != RunOutcome::kDone) {
    outcome = RunOutcome::kStopped;
  }
  RecordRunEnd(*run, outcome);
  runs_.erase(run->start.key);
  scheduler_.EndRun(run->start.key, outcome, Clock::now());
  listener_.replan();
}

RunOutcome SampleRunner::CallEngine(Yield yield, const RunPtr& run) {
  const uint64_t generation = generation_;
  HttpCallOptions options;
  options.deadline = Clock::now() + kRunTimeout;
  options.connect_timeout = kConnectTimeout;
  options.progress_timeout = kProgressTimeout;
  options.max_body_bytes = kMaxStreamBytes;
  options.cancel = run->cancel;
  const HttpRequest request = platform::EncodeSampleRun(
      run->sample, run->host, run->start.engine, run->start.version,
      progress_[run->start.key].total(), kRunTimeout,
      {run->keys_required, run->organisation});
  HttpStreamOutcome outcome =
      client_.Open(yield, run->address, request, options);
  if (generation != generation_) {
    return RunOutcome::kStopped;
  }
  run->sent = outcome.progress != CallProgress::kNotSent;
  if (!outcome.stream) {
    run->error = outcome.error;
    run->reason = outcome.error.message();
    return run->sent ? RunOutcome::kBroken : RunOutcome::kUnreachable;
  }
  const platform::SampleHead head = platform::DecodeSampleHead(
      outcome.stream->status(), outcome.stream->headers(), run->sample.id());
  listener_.on_answer(run->start.engine, run->incarnation, head.rate_limit);
  if (head.leaving) {
    listener_.on_leaving(run->start.engine, run->incarnation);
  }
  if (head.answer != platform::SampleAnswer::kStream) {
    return HandleRefusal(run, head);
  }
  return ReadEvents(yield, run, *outcome.stream, head.version);
}

RunOutcome SampleRunner::HandleRefusal(const RunPtr& run,
                                       const platform::SampleHead& head) {
  const TimePoint now = Clock::now();
  EngineTable& engine_table = scheduler_.engine_table();
  switch (head.answer) {
    case platform::SampleAnswer::kNotRun: {
      run->reason = head.misdirected ? "misdirected" : "engine_full";
      engine_table.ConfirmVersion(run->start.engine, run->model, head.version);
      if (head.misdirected) {
        engine_table.RefuteVersion(run->start.engine, run->model,
                                   run->start.version);
      }
      if (EngineState* engine = engine_table.Find(run->start.engine)) {
        EngineModel& model = engine->models[run->model];
        model.paused_until =
            std::max(model.paused_until, now + kRefusalBackoff);
      }
      return RunOutcome::kNotRun;
    }
    case platform::SampleAnswer::kUnprocessable:
      run->reason = "cannot_be_done";
      progress_[run->start.key].state = wire::SAMPLE_DEAD;
      ScheduleFlush();
      return RunOutcome::kDone;
    case platform::SampleAnswer::kFailed:
      run->reason = "engine_error";
      return RecordFailure(run);
    case platform::SampleAnswer::kUnexpectedStatus:
      run->reason = "unexpected_status";
      return RunOutcome::kBroken;
    default:
      run->reason = "answer_of_another_request";
      return RunOutcome::kBroken;
  }
}

RunOutcome SampleRunner::RecordFailure(const RunPtr& run) {
  Progress& progress = progress_[run->start.key];
  ++progress.failures;
  ScheduleFlush();
  if (run->failures_before + progress.failures < run->max_attempts) {
    return RunOutcome::kFailed;
  }
  progress.state = wire::SAMPLE_DEAD;
  return RunOutcome::kDone;
}

RunOutcome SampleRunner::ReadEvents(Yield yield,
                                    const RunPtr& run,
                                    HttpStream& stream,
                                    uint64_t version) {
  const uint64_t generation = generation_;
  const Progress& output = progress_[run->start.key];
  SampleStreamValidator validator({run->min_version, run->start.version,
                                   run->single_version, output.total(),
                                   output.versions, output.text_bytes,
                                   OutputLimitOf(run->sample)});
  const auto end_with = [&](SampleStreamValidator::Verdict verdict) {
    run->reason = validator.reason();
    if (validator.limit_exceeded()) {
      RecordOutputFault(run);
    }
    if (validator.discard()) {
      DiscardOutput(progress_[run->start.key]);
    }
    return verdict == SampleStreamValidator::Verdict::kNotRun
               ? RunOutcome::kNotRun
               : RunOutcome::kBroken;
  };
  if (!ConfirmVersion(run, version)) {
    return RunOutcome::kBroken;
  }
  if (const auto verdict = validator.OnHeader(version);
      verdict != SampleStreamValidator::Verdict::kContinue) {
    return end_with(verdict);
  }
  platform::EventParser parser;
  while (true) {
    const Result<std::string> chunk = stream.Read(yield);
    if (generation != generation_) {
      return RunOutcome::kStopped;
    }
    if (!chunk) {
      run->error = chunk.error();
      run->reason = run->error.message();
      return RunOutcome::kBroken;
    }
    if (chunk.value().empty()) {
      break;
    }
    parser.Feed(chunk.value());
    bool received_event = false;
    while (const auto event = parser.Next()) {
      if (event->version != 0 && !ConfirmVersion(run, event->version)) {
        return RunOutcome::kBroken;
      }
      if (const auto verdict =
              validator.OnEvent(event->id, event->version, event->data.size());
          verdict != SampleStreamValidator::Verdict::kContinue) {
        return end_with(verdict);
      }
      // All samples share the commands that record their events.
      if (!IsValidUtf8(event->data)) {
        run->reason = "event_not_utf8";
        return RunOutcome::kBroken;
      }
      AppendEvent(run, *event, validator.version());
      received_event = true;
    }
    if (parser.partial_event_bytes() > kMaxEventBytes) {
      run->reason = "event_too_large";
      return RunOutcome::kBroken;
    }
    run->held.Set(output.text_bytes + parser.partial_event_bytes());
    if (run->held.Exceeds()) {
      run->reason = "text_budget_exceeded";
      RecordOutputFault(run);
      DiscardOutput(progress_[run->start.key]);
      return RunOutcome::kBroken;
    }
    if (received_event) {
      scheduler_.RecordEvents(run->start.key, progress_[run->start.key].total(),
                              Clock::now());
    }
    pacer_.WaitForRound(yield, runs_.size());
    if (generation != generation_) {
      return RunOutcome::kStopped;
    }
  }
  if (const auto verdict = validator.OnStreamEnd(parser.HasPartialEvent());
      verdict != SampleStreamValidator::Verdict::kDone) {
    return end_with(verdict);
  }
  progress_[run->start.key].state = wire::SAMPLE_COMPLETED;
  ScheduleFlush();
  return RunOutcome::kDone;
}

bool SampleRunner::ConfirmVersion(const RunPtr& run, uint64_t version) {
  if (scheduler_.engine_table().ConfirmVersion(run->start.engine, run->model,
                                               version)) {
    return true;
  }
  run->reason = "weights_unknown";
  Log(LogLevel::kWarning, "unknown_weights_stated",
      {{"target", run->start.engine},
       {"sample", run->sample.id()},
       {"model", run->model},
       {"weights", version},
       {"expected", run->start.version}});
  return false;
}

void SampleRunner::AppendEvent(const RunPtr& run,
                               const platform::StreamEvent& event,
                               uint64_t version) {
  Progress& progress = progress_[run->start.key];
  progress.versions.insert(version);
  progress.new_versions.insert(version);
  progress.events.push_back(event.data);
  progress.text_bytes += event.data.size();
  ++counters_.events;
}

void SampleRunner::RecordOutputFault(const RunPtr& run) {
  ++counters_.limits_exceeded;
  Log(LogLevel::kWarning, "output_limit_exceeded",
      {{"sample", run->sample.id()},
       {"target", run->start.engine},
       {"text_bytes", progress_[run->start.key].text_bytes},
       {"held_bytes", held_bytes()}});
  scheduler_.engine_table().RecordFault(run->start.engine, Clock::now());
}

void SampleRunner::DiscardOutput(Progress& progress) {
  const uint32_t failures = progress.failures;
  std::string software_version = std::move(progress.software_version);
  progress = {};
  progress.failures = failures;
  progress.software_version = std::move(software_version);
  progress.discard = true;
}

void SampleRunner::ScheduleFlush() {
  if (!std::exchange(flush_scheduled_, true)) {
    timers_.After(kFlushDelay, [this](TimePoint) { Flush(); });
  }
}

void SampleRunner::Flush() {
  flush_scheduled_ = false;
  wire::SamplesAdvance advances;
  for (const auto& [key, progress] : progress_) {
    if (!progress.HasUnrecordedChanges()) {
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
    advance.set_software_version(progress.software_version);
  }
  if (advances.advances_size() == 0 || !listener_.record_advances(advances)) {
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

void SampleRunner::ReportUnfinished(const Run& run) {
  listener_.on_unfinished(
      {.request = CrashLedger::NameOfSample(run.sample.id()),
       .target = run.start.engine,
       .incarnation = run.incarnation,
       .address = run.address.ToString(),
       .ended_at = Clock::now()},
      run.error == HttpError::kConnectionLost);
}

void SampleRunner::RecordRunEnd(const Run& run, RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      ++counters_.finished;
      break;
    case RunOutcome::kNotRun:
      ++counters_.not_run;
      break;
    case RunOutcome::kFailed:
      ++counters_.failed;
      break;
    case RunOutcome::kBroken:
      ++counters_.broken;
      break;
    case RunOutcome::kUnreachable:
      ++counters_.unreachable;
      break;
    case RunOutcome::kStopped:
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
       {"outcome", LogName(outcome)},
       {"after_event", run.events_before},
       {"events", events},
       {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       Clock::now() - run.started_at)
                       .count()},
       {"reason", run.reason}});
}

}  // namespace limpethatch
