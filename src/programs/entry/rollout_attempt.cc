#include "programs/entry/rollout_attempt.h"

#include <fmt/format.h>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "limpethatch/connection/completion_stream.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// An engine that sends no token for this long is assumed to have failed.
constexpr Duration kTokenTimeout = std::chrono::seconds(3);

void SetRanges(const std::vector<TokenRange>& ranges,
               google::protobuf::RepeatedPtrField<wire::VersionRange>* fields) {
  for (const TokenRange& range : ranges) {
    wire::VersionRange* field = fields->Add();
    field->set_version(range.version);
    field->set_first_token(range.first_token);
    field->set_end_token(range.end_token);
  }
}

// Sets the fields that identify the attempt in a command.
template <typename Message>
void SetAttemptFields(const RolloutAttempt& attempt, Message* message) {
  message->set_holder(attempt.holder);
  message->set_trainer(attempt.assignment.trainer());
  message->set_step(attempt.assignment.step());
  message->set_sample(attempt.assignment.sample());
  message->set_epoch(attempt.assignment.epoch());
}

// Resumes `attempt` from the partial text of earlier attempts and returns the
// request for its engine.
CompletionRequest PrepareRequest(RolloutAttempt& attempt) {
  const wire::SampleAssignment& assignment = attempt.assignment;
  std::vector<TokenRange> partial_ranges;
  for (const wire::VersionRange& range : assignment.partial_ranges()) {
    partial_ranges.push_back(
        {range.version(), range.first_token(), range.end_token()});
  }
  attempt.generation.Resume(assignment.partial_text(),
                            std::move(partial_ranges));
  CompletionRequest request;
  request.model = attempt.engine->target.service;
  request.prompt = assignment.prompt();
  request.seed = assignment.sample();
  request.max_tokens = assignment.max_tokens();
  request.request_id =
      fmt::format("{}/{}/{}/{}", assignment.trainer(), assignment.step(),
                  assignment.sample(), assignment.epoch());
  request.resume_text = assignment.partial_text();
  request.resume_tokens = assignment.partial_tokens();
  return request;
}

}  // namespace

std::error_code GenerateSample(Yield yield,
                               HttpClient& client,
                               EngineReporter& reporter,
                               RolloutAttempt& attempt) {
  const CompletionRequest request = PrepareRequest(attempt);
  HttpCallOptions options;
  options.progress_timeout = kTokenTimeout;
  CallTicket ticket(*attempt.engine, RequestClass::kRollout, Clock::now());
  CallProgress progress = CallProgress::kNotSent;
  std::error_code error;
  const std::unique_ptr<CompletionStream> stream =
      CompletionStream::Open(yield, client, attempt.engine->target.address,
                             request, options, &progress, &error);
  while (!error && !attempt.stopped) {
    Result<CompletionStream::Event> event = stream->Next(yield);
    if (!event) {
      error = event.error();
    } else if (const auto* piece =
                   std::get_if<GenerationPiece>(&event.value())) {
      error = attempt.generation.Append(*piece);
      attempt.tokens = attempt.generation.tokens();
      reporter.ConfirmVersion(attempt.engine->target.id, piece->version,
                              Clock::now());
    } else {
      attempt.end = std::get<GenerationEnd>(event.value());
      error = attempt.generation.Verify(attempt.end);
      attempt.inconsistent = static_cast<bool>(error);
      ticket.Finish(CallOutcome::kAnswered, Clock::now());
      return error;
    }
  }
  ticket.Finish(
      attempt.stopped ? CallOutcome::kCancelled : CallOutcome::kFailed,
      Clock::now());
  return attempt.stopped ? std::make_error_code(std::errc::operation_canceled)
                         : error;
}

wire::Command RecordCommand(const RolloutAttempt& attempt) {
  wire::Command command;
  wire::SampleRecord* record = command.mutable_sample_record();
  SetAttemptFields(attempt, record);
  record->set_text(attempt.generation.text());
  record->set_tokens(attempt.generation.tokens());
  SetRanges(attempt.generation.ranges(), record->mutable_ranges());
  record->set_digest(attempt.generation.Digest());
  record->set_finish_reason(attempt.end.finish_reason);
  record->set_score(attempt.score);
  return command;
}

wire::Command ReturnCommand(const RolloutAttempt& attempt,
                            std::string_view reason) {
  wire::Command command;
  wire::SampleReturn* sample_return = command.mutable_sample_return();
  SetAttemptFields(attempt, sample_return);
  sample_return->set_reason(std::string(reason));
  if (!attempt.inconsistent) {
    sample_return->set_partial_text(attempt.generation.text());
    sample_return->set_partial_tokens(attempt.generation.tokens());
    SetRanges(attempt.generation.ranges(),
              sample_return->mutable_partial_ranges());
  }
  return command;
}

void LogAttempt(const RolloutAttempt& attempt,
                TimePoint started_at,
                std::error_code error) {
  using std::chrono::milliseconds;
  const auto start =
      std::chrono::duration_cast<milliseconds>(started_at.time_since_epoch());
  const auto duration =
      std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
  Log(LogLevel::kDebug, "attempt_finished",
      {{"trainer", attempt.assignment.trainer()},
       {"step", attempt.assignment.step()},
       {"sample", attempt.assignment.sample()},
       {"epoch", attempt.assignment.epoch()},
       {"engine", attempt.engine->target.id},
       {"first_token", attempt.assignment.partial_tokens()},
       {"tokens", attempt.generation.tokens()},
       {"start_ms", start.count()},
       {"duration_ms", duration.count()},
       {"end", error ? error.message() : "complete"}});
}

}  // namespace limpethatch
