#include "programs/entry/sample_scorer.h"

#include <cmath>
#include <string>

#include "programs/entry/json_response.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

HttpResponse ResponseOf(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.body = body;
  return response;
}

}  // namespace

Test(sample_scorer, the_score_is_a_number_in_a_success) {
  ScoringProgress progress;
  cr_assert(progress.OnResponse(ResponseOf(200, R"({"score":0.25})")) ==
            ScoringProgress::Next::kRecord);
  cr_assert(progress.score() == 0.25);
  ScoringProgress negative;
  cr_assert(negative.OnResponse(ResponseOf(200, R"({"score":-2})")) ==
            ScoringProgress::Next::kRecord);
  cr_assert(negative.score() == -2);
}

// A sample must not be delivered with an invented score.
Test(sample_scorer, a_scorer_that_keeps_failing_gives_no_score) {
  ScoringProgress progress;
  for (const char* body : {"", "{", R"({"score":"high"})", R"({"points":1})"}) {
    cr_assert(progress.OnResponse(ResponseOf(200, body)) ==
              ScoringProgress::Next::kRetry);
  }
  cr_assert(progress.OnResponse(ResponseOf(500, R"({"score":1})")) ==
            ScoringProgress::Next::kRecord);
  cr_assert(std::isnan(progress.score()));
}

Test(sample_scorer, refusals_are_repeated_without_end) {
  ScoringProgress progress;
  HttpResponse not_run = ResponseOf(504, "");
  not_run.headers.Set(kRanHeader, RanName(Ran::kNotRun));
  for (int i = 0; i < 100; ++i) {
    for (const HttpResponse& refusal :
         {ResponseOf(503, ""), ResponseOf(429, ""), not_run}) {
      cr_assert(progress.OnResponse(refusal) == ScoringProgress::Next::kRetry);
    }
  }
  cr_assert(progress.failures() == 0);
}

Test(sample_scorer, a_request_names_the_sample_and_carries_its_text) {
  RolloutAttempt attempt;
  attempt.assignment.set_trainer("coach");
  attempt.assignment.set_step("7");
  attempt.assignment.set_sample(3);
  attempt.assignment.set_epoch(9);
  attempt.assignment.set_prompt("prompt");
  attempt.generation.Resume("text", {});
  const HttpRequest request = MakeScoringRequest(attempt);
  cr_assert(request.method == "POST" && request.path == "/score");
  cr_assert(request.headers.Get("X-Request-Id") == "coach/7/3/9");
  cr_assert(request.body.find(R"("text":"text")") != std::string::npos);
}

}  // namespace limpethatch
