#include "programs/entry/sample_scorer.h"

#include <fmt/format.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <limits>

#include "limpethatch/process/digest.h"
#include "limpethatch/process/log.h"
#include "programs/entry/json_response.h"
#include "programs/entry/target_call.h"

namespace limpethatch {
namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Time limit of one call, with all its attempts at targets.
constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
// In the queue of the service, a caller has this many turns for each turn of a
// scoring call.
constexpr double kCallerTurns = 10;

std::optional<double> DecodeScore(const HttpResponse& response) {
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  if (response.status != kOk || error || !body.is_object()) {
    return std::nullopt;
  }
  const boost::json::value* score = body.as_object().if_contains("score");
  if (!score || !score->is_number()) {
    return std::nullopt;
  }
  return score->to_number<double>();
}

// True if no target has run the call.
bool IsRefusal(const HttpResponse& response) {
  return response.headers.Get(kRanHeader) == RanName(Ran::kNotRun) ||
         response.status == kUnavailable || response.status == kTooManyRequests;
}

}  // namespace

HttpRequest MakeScoringRequest(const RolloutAttempt& attempt) {
  const wire::SampleAssignment& assignment = attempt.assignment;
  HttpRequest request;
  request.method = "POST";
  request.path = "/score";
  request.headers.Set("Content-Type", "application/json");
  // The same for each call for this text, so that a scorer may recognise it.
  request.headers.Set(
      "X-Request-Id",
      fmt::format("{}/{}/{}/{}", assignment.trainer(), assignment.step(),
                  assignment.sample(), assignment.epoch()));
  request.body = boost::json::serialize(boost::json::object{
      {"trainer", assignment.trainer()},
      {"step", assignment.step()},
      {"sample", assignment.sample()},
      {"group", assignment.group()},
      {"prompt", assignment.prompt()},
      {"text", attempt.generation.text()},
      {"digest", DigestToHex(attempt.generation.Digest())}});
  return request;
}

ScoringProgress::Next ScoringProgress::OnResponse(
    const HttpResponse& response) {
  if (const auto score = DecodeScore(response)) {
    score_ = *score;
    return Next::kRecord;
  }
  if (IsRefusal(response) || ++failures_ < kMaxFailures) {
    return Next::kRetry;
  }
  score_ = std::numeric_limits<double>::quiet_NaN();
  return Next::kRecord;
}

bool ScoreSample(EntryContext& context, Yield yield, RolloutAttempt& attempt) {
  const wire::SampleAssignment& assignment = attempt.assignment;
  PlainCall call;
  call.service = assignment.scorer();
  call.flow = fmt::format("{}/scores", assignment.scorer());
  call.weight = 1 / kCallerTurns;
  call.request = MakeScoringRequest(attempt);
  call.digest = RequestDigest(call.request.body);
  ScoringProgress progress;
  while (!attempt.dropped) {
    const TimePoint started_at = Clock::now();
    call.deadline = started_at + kCallTimeout;
    const HttpResponse response = CallIdempotent(context, yield, call);
    const bool record =
        progress.OnResponse(response) == ScoringProgress::Next::kRecord;
    Log(record ? LogLevel::kDebug : LogLevel::kInfo, "reward_call_ended",
        {{"trainer", assignment.trainer()},
         {"step", assignment.step()},
         {"sample", assignment.sample()},
         {"epoch", assignment.epoch()},
         {"service", call.service},
         {"status", response.status},
         {"failures", progress.failures()},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         Clock::now() - started_at)
                         .count()}});
    if (record) {
      attempt.score = progress.score();
      return true;
    }
    SleepFor(yield, kRetryDelay);
  }
  return false;
}

}  // namespace limpethatch
