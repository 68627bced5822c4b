#include "limpethatch/request/digest.h"
#include "programs/load/answer_check.h"
#include "programs/load/order_check.h"
#include "programs/load/sample_check.h"
#include "programs/standin/completion.h"

#include <criterion/criterion.h>

namespace limpethatch::load {
namespace {

const SyntheticLengths kLengths;
constexpr uint32_t kMaxTokens = 40;
const std::vector<TokenRange> kRanges = {{7, 0, 25}, {8, 25, kMaxTokens}};

// The event stream of an engine's answer to `prompt`.
std::string StreamOf(const std::string& prompt) {
  HttpRequest http;
  http.body = R"({"prompt":")" + prompt + R"(","max_tokens":40})";
  const auto request = standin::ParseCompletionRequest(http, kLengths);
  return standin::TokenEvents(request->key, kRanges, 0, kMaxTokens) +
         standin::FinalEvents(*request, kRanges);
}

CallResult CheckStream(const std::string& body) {
  HttpOutcome outcome;
  outcome.progress = CallProgress::kAnswered;
  outcome.response.body = body;
  return CheckLiveCompletion(outcome, SyntheticKey("p", 0), kLengths,
                             kMaxTokens);
}

Test(answer_check, only_a_correct_and_complete_completion_passes) {
  const std::string stream = StreamOf("p");
  cr_assert(CheckStream(stream).verdict == Verdict::kAnswered);
  cr_assert(CheckStream(StreamOf("q")).verdict == Verdict::kWrong);
  for (size_t cut = 0; cut < stream.size(); ++cut) {
    cr_assert(CheckStream(stream.substr(0, cut)).verdict == Verdict::kWrong);
  }
}

Test(answer_check, refusal_inside_a_stream_keeps_its_code) {
  const CallResult result = CheckStream(
      "data: {\"error\":{\"code\":\"target_failed\",\"ran\":\"ran\"}}\n\n");
  cr_assert(result.verdict == Verdict::kRefused);
  cr_assert(result.code == "target_failed" && result.ran == "ran");
}

DeliveredSample MakeSample(uint64_t sequence, uint64_t sample) {
  const uint64_t key = SyntheticKey("p", sample);
  const uint32_t tokens = SyntheticLength(key, kLengths, kMaxTokens);
  DeliveredSample delivered{sequence, sample, 0, {}};
  ReportedCompletion& completion = delivered.completion;
  completion.ranges = {{7, 0, tokens / 2}, {8, tokens / 2, tokens}};
  completion.text = SyntheticText(key, completion.ranges, 0, tokens);
  completion.tokens = tokens;
  completion.digest = DigestToHex(ContentDigest(completion.text));
  completion.finish_reason =
      SyntheticLength(key, kLengths, UINT32_MAX) > kMaxTokens ? "length"
                                                              : "stop";
  return delivered;
}

StepPlan EightSamplePlan() {
  StepPlan plan;
  plan.prompts = {"p"};
  plan.group_size = 8;
  plan.max_staleness = 1;
  plan.max_tokens = kMaxTokens;
  return plan;
}

Test(sample_check, correct_step_has_no_faults) {
  SampleCheck check(EightSamplePlan());
  for (uint64_t i = 0; i < 8; ++i) {
    check.Receive(MakeSample(i + 1, 7 - i), 8);
  }
  check.CountLost();
  const SampleFaults& faults = check.faults();
  cr_assert(faults.delivered == 8 && faults.mixed_versions == 8);
  cr_assert(faults.lost + faults.doubled + faults.stale + faults.mislabelled +
                faults.corrupt + faults.out_of_order ==
            0);
  cr_assert(faults.staleness_total == 8);
}

Test(sample_check, each_fault_is_counted_under_its_own_kind) {
  SampleCheck check(EightSamplePlan());
  check.Receive(MakeSample(1, 0), 9);  // Stale: version 7, bound 1.
  check.Receive(MakeSample(2, 0), 8);  // Duplicate.
  DeliveredSample mislabelled = MakeSample(3, 1);
  ++mislabelled.completion.ranges[1].version;
  check.Receive(mislabelled, 8);
  DeliveredSample truncated = MakeSample(4, 2);
  truncated.completion.text.resize(truncated.completion.text.size() -
                                   kSyntheticTokenBytes);
  truncated.completion.digest =
      DigestToHex(ContentDigest(truncated.completion.text));
  check.Receive(truncated, 8);
  DeliveredSample foreign = MakeSample(5, 3);
  foreign.sample = 4;
  check.Receive(foreign, 8);
  check.CountLost();
  const SampleFaults& faults = check.faults();
  cr_assert(faults.stale == 1 && faults.doubled == 1);
  cr_assert(faults.mislabelled == 1 && faults.corrupt == 2);
  cr_assert(faults.delivered == 4 && faults.lost == 4);
}

Test(order_check, run_counts_are_compared_with_reported_results) {
  OrderCheck check;
  check.RecordResult("answered", {Verdict::kAnswered, "", ""});
  check.RecordResult("twice", {Verdict::kAnswered, "", ""});
  check.RecordResult("false", {Verdict::kRefused, "overloaded", "not_run"});
  check.RecordResult("true", {Verdict::kRefused, "overloaded", "not_run"});
  check.RecordResult("unknown",
                     {Verdict::kRefused, "outcome_unknown", "may_have_run"});
  check.RecordResendResult({Verdict::kAnswered, "", ""});
  cr_assert(
      check.AddRunCounts(R"({"runs":{"answered":1,"twice":1,"false":1}})"));
  cr_assert(check.AddRunCounts(R"({"runs":{"twice":1,"unknown":1}})"));
  const auto counts = check.ToJson(true);
  cr_assert(counts.at("ran_twice") == 1);
  cr_assert(counts.at("false_not_run") == 1);
  cr_assert(counts.at("false_answer") == 0);
  cr_assert(counts.at("resends_answered") == 1);
}

Test(request_stats, latency_is_measured_from_the_intended_start) {
  const TimePoint start = TimePoint(std::chrono::hours(1));
  RequestStats stats(start);
  for (int i = 1; i <= 100; ++i) {
    stats.RecordRequest(start);
    stats.RecordResult({Verdict::kAnswered, "", ""}, start,
                       start + std::chrono::milliseconds(i));
  }
  cr_assert(stats.LatencyQuantile(0.5) == 50);
  cr_assert(stats.LatencyQuantile(0.99) == 99);
}

}  // namespace
}  // namespace limpethatch::load
