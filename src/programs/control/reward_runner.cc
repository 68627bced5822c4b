#include "programs/control/reward_runner.h"

#include <chrono>
#include <utility>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/request_content.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

// Several times the round trip of a connection within a region.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Time limit of one attempt; the sample waits for the next one much longer.
constexpr Duration kCallTimeout = std::chrono::seconds(3);
// Maximum size of the body of an answer, which is not kept.
constexpr size_t kMaxAnswerBytes = 1024UL * 1024;
// Calls that end within this time share a log entry.
constexpr Duration kFlushDelay = std::chrono::milliseconds(2);
// Delay before what could not be recorded is proposed again.
constexpr Duration kRecordRetryDelay = std::chrono::milliseconds(50);

// Reads the body to its end. An error if it is not complete.
std::error_code SkipBody(Yield yield, HttpStream& stream) {
  bool empty = true;
  while (true) {
    const Result<std::string> chunk = stream.Read(yield);
    if (!chunk) {
      return chunk.error();
    }
    if (chunk.value().empty()) {
      // A target that ends behind the head of its answer seems to have sent an
      // empty body.
      return empty && stream.body_has_no_length()
                 ? make_error_code(HttpError::kConnectionLost)
                 : std::error_code();
    }
    empty = false;
  }
}

const char* LogName(RewardOutcome outcome) {
  switch (outcome) {
    case RewardOutcome::kScored:
      return "scored";
    case RewardOutcome::kFailed:
      return "failed";
    case RewardOutcome::kNotRun:
      return "not_run";
    case RewardOutcome::kBroken:
      return "broken";
  }
  return "unknown";
}

}  // namespace

RewardRunner::RewardRunner(boost::asio::io_context& io,
                           TimerService& timers,
                           RewardScheduler& scheduler,
                           RunListener listener,
                           LoadObserver on_load)
    : io_(io),
      timers_(timers),
      scheduler_(scheduler),
      listener_(std::move(listener)),
      on_load_(std::move(on_load)),
      client_(io, HttpClientOptions{}) {}

void RewardRunner::Start(RewardStart start) {
  const auto call = std::make_shared<Call>(std::move(start));
  call->started_at = Clock::now();
  calls_[call->start.key] = call;
  ++counters_.sent;
  Log(LogLevel::kInfo, "reward_call_started",
      {{"job", call->start.key.job},
       {"sample", call->start.sample},
       {"call", call->start.call.id()},
       {"target", call->start.target->target.id},
       {"running_there", call->start.target->stats->outstanding()}});
  Spawn(io_, [this, call, generation = generation_](Yield yield) {
    if (generation == generation_) {
      Run(yield, call);
    }
  });
}

void RewardRunner::Stop(const SampleKey& key) {
  if (const auto found = calls_.find(key); found != calls_.end()) {
    found->second->stopped = true;
    found->second->cancel->Cancel();
  }
}

void RewardRunner::Reset() {
  ++generation_;
  for (const auto& [key, call] : calls_) {
    call->cancel->Cancel();
  }
  calls_.clear();
  unrecorded_.Clear();
}

void RewardRunner::Run(Yield yield, const CallPtr& call) {
  const uint64_t generation = generation_;
  const RewardOutcome outcome = CallTarget(yield, *call);
  if (generation == generation_) {
    End(*call, outcome);
  }
}

RewardOutcome RewardRunner::CallTarget(Yield yield, Call& call) {
  const uint64_t generation = generation_;
  const Target& target = call.start.target->target;
  HttpCallOptions options;
  options.deadline = Clock::now() + kCallTimeout;
  options.connect_timeout = kConnectTimeout;
  options.progress_timeout = kCallTimeout;
  options.max_body_bytes = kMaxAnswerBytes;
  options.cancel = call.cancel;
  const HttpRequest request = platform::EncodeRewardCall(call.start.call);
  const HttpStreamOutcome opened = client_.Open(
      yield, target.address,
      platform::MakeTargetRequest(
          request, target.id, kCallTimeout,
          {.keys_required = true, .name = call.start.organisation}),
      options);
  if (generation != generation_) {
    return RewardOutcome::kBroken;
  }
  if (!opened.stream) {
    call.reason = opened.error.message();
    if (opened.progress == CallProgress::kNotSent) {
      return RewardOutcome::kBroken;
    }
    ReportUnfinished(call, request, opened.error);
    return RewardOutcome::kBroken;
  }
  const RewardOutcome outcome =
      OnHead(platform::DecodeRewardHead(opened.stream->status(),
                                        opened.stream->headers(),
                                        call.start.call.id()),
             call);
  if (outcome == RewardOutcome::kBroken) {
    return outcome;
  }
  if (const std::error_code error = SkipBody(yield, *opened.stream)) {
    call.reason = error.message();
    if (generation == generation_) {
      ReportUnfinished(call, request, error);
    }
    return RewardOutcome::kBroken;
  }
  return outcome;
}

RewardOutcome RewardRunner::OnHead(const platform::RewardHead& head,
                                   Call& call) {
  const Target& target = call.start.target->target;
  if (!head.headers.misdirected) {
    listener_.on_answer(target.id, target.incarnation, head.headers.rate_limit);
  }
  if (head.headers.leaving) {
    listener_.on_leaving(target.id, target.incarnation);
  }
  if (head.headers.running && head.headers.waiting) {
    on_load_(target.id, *head.headers.running, *head.headers.waiting);
  }
  switch (head.answer) {
    case platform::RewardAnswer::kScored:
      call.score = head.score;
      return RewardOutcome::kScored;
    case platform::RewardAnswer::kFailed:
      call.reason = "target_error";
      return RewardOutcome::kFailed;
    case platform::RewardAnswer::kNotRun:
      call.reason = head.headers.misdirected ? "misdirected" : "refused";
      return RewardOutcome::kNotRun;
    case platform::RewardAnswer::kUnexpected:
      call.reason = "unexpected_status";
      return RewardOutcome::kBroken;
    case platform::RewardAnswer::kMismatched:
      call.reason = "answer_of_another_request";
      return RewardOutcome::kBroken;
  }
  return RewardOutcome::kBroken;
}

void RewardRunner::ReportUnfinished(const Call& call,
                                    const HttpRequest& request,
                                    std::error_code error) {
  if (call.stopped) {
    return;
  }
  const Target& target = call.start.target->target;
  listener_.on_unfinished({.request = ContentDigestOf(request),
                           .target = target.id,
                           .incarnation = target.incarnation,
                           .address = target.address.ToString(),
                           .ended_at = Clock::now()},
                          error == HttpError::kConnectionLost);
}

void RewardRunner::End(Call& call, RewardOutcome outcome) {
  const TimePoint now = Clock::now();
  const Duration latency = now - call.started_at;
  if (!call.stopped) {
    call.start.ticket.Finish(
        outcome == RewardOutcome::kScored || outcome == RewardOutcome::kFailed
            ? CallOutcome::kAnswered
            : CallOutcome::kFailed,
        now);
  }
  switch (outcome) {
    case RewardOutcome::kScored:
      ++counters_.scored;
      latency_.Add(latency);
      break;
    case RewardOutcome::kFailed:
      ++counters_.failed;
      break;
    case RewardOutcome::kNotRun:
      ++counters_.not_run;
      break;
    case RewardOutcome::kBroken:
      ++(call.stopped ? counters_.stopped : counters_.broken);
      break;
  }
  scheduler_.EndCall(call.start.key, outcome, now);
  Log(LogLevel::kInfo, "reward_call_ended",
      {{"job", call.start.key.job},
       {"sample", call.start.sample},
       {"call", call.start.call.id()},
       {"target", call.start.target->target.id},
       {"outcome", call.stopped ? "stopped" : LogName(outcome)},
       {"failures", scheduler_.failures(call.start.key)},
       {"took_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(latency).count()},
       {"reason", call.reason}});
  Record(call, outcome);
  calls_.erase(call.start.key);
  listener_.replan();
}

void RewardRunner::Record(const Call& call, RewardOutcome outcome) {
  if (outcome != RewardOutcome::kScored && outcome != RewardOutcome::kFailed) {
    return;
  }
  wire::SampleAdvance& advance = *unrecorded_.add_advances();
  advance.set_job(call.start.key.job);
  advance.set_sample(call.start.key.index);
  if (outcome == RewardOutcome::kScored) {
    advance.set_score(call.score);
  } else {
    advance.set_score_failures(1);
    if (scheduler_.failures(call.start.key) >= call.start.max_failures) {
      advance.set_state(wire::SAMPLE_DEAD);
      ++counters_.given_up;
    }
  }
  ScheduleFlush();
}

void RewardRunner::ScheduleFlush() {
  if (!std::exchange(flush_scheduled_, true)) {
    timers_.After(kFlushDelay, [this](TimePoint) { Flush(); });
  }
}

void RewardRunner::Flush() {
  flush_scheduled_ = false;
  if (unrecorded_.advances().empty()) {
    return;
  }
  if (listener_.record_advances(unrecorded_)) {
    unrecorded_.Clear();
    return;
  }
  flush_scheduled_ = true;
  timers_.After(kRecordRetryDelay, [this](TimePoint) { Flush(); });
}

}  // namespace limpethatch
