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

// The stream with which an engine answers `prompt`, a long answer.
std::string StreamOf(const std::string& prompt) {
  HttpRequest http;
  http.body = R"({"prompt":")" + prompt + R"(","max_tokens":40})";
  const auto request = standin::ReadCompletion(http, kLengths);
  return standin::TokenEvents(request->key, kRanges, 0, kMaxTokens) +
         standin::EndEvents(*request, kRanges);
}

Ending CheckStream(const std::string& body) {
  HttpOutcome outcome;
  outcome.progress = CallProgress::kAnswered;
  outcome.response.body = body;
  return CheckLiveCompletion(outcome, SyntheticKey("p", 0), kLengths,
                             kMaxTokens);
}

Test(answer_check, right_and_whole_completion_passes_and_any_other_does_not) {
  const std::string stream = StreamOf("p");
  cr_assert(CheckStream(stream).verdict == Verdict::kAnswered);
  cr_assert(CheckStream(StreamOf("q")).verdict == Verdict::kWrong);
  for (size_t cut = 0; cut < stream.size(); ++cut) {
    cr_assert(CheckStream(stream.substr(0, cut)).verdict == Verdict::kWrong);
  }
}

Test(answer_check, refusal_inside_a_stream_keeps_its_code) {
  const Ending ending = CheckStream(
      "data: {\"error\":{\"code\":\"target_failed\",\"ran\":\"ran\"}}\n\n");
  cr_assert(ending.verdict == Verdict::kRefused);
  cr_assert(ending.code == "target_failed" && ending.ran == "ran");
}

DeliveredSample Deliver(uint64_t sequence, uint64_t sample) {
  const uint64_t key = SyntheticKey("p", sample);
  const uint32_t tokens = SyntheticLength(key, kLengths, kMaxTokens);
  DeliveredSample delivered{sequence, sample, 0, {}};
  CompletionClaim& claim = delivered.claim;
  claim.ranges = {{7, 0, tokens / 2}, {8, tokens / 2, tokens}};
  claim.text = SyntheticText(key, claim.ranges, 0, tokens);
  claim.tokens = tokens;
  claim.digest = DigestToHex(ContentDigest(claim.text));
  claim.finish_reason = SyntheticLength(key, kLengths, UINT32_MAX) > kMaxTokens
                            ? "length"
                            : "stop";
  return delivered;
}

StepPlan EightSamples() {
  StepPlan plan;
  plan.prompts = {"p"};
  plan.group_size = 8;
  plan.max_staleness = 1;
  plan.max_tokens = kMaxTokens;
  return plan;
}

Test(sample_check, faultless_step_shows_no_fault) {
  SampleCheck check(EightSamples());
  for (uint64_t i = 0; i < 8; ++i) {
    check.Receive(Deliver(i + 1, 7 - i), 8);
  }
  check.Finish();
  const SampleFaults& faults = check.faults();
  cr_assert(faults.delivered == 8 && faults.mixed == 8);
  cr_assert(faults.lost + faults.doubled + faults.stale + faults.mislabelled +
                faults.corrupt + faults.out_of_order ==
            0);
  cr_assert(faults.staleness_total == 8);
}

Test(sample_check, each_fault_is_counted_as_what_it_is) {
  SampleCheck check(EightSamples());
  check.Receive(Deliver(1, 0), 9);  // Version 7 at 9, bound 1: stale.
  check.Receive(Deliver(2, 0), 8);  // Doubled.
  DeliveredSample mislabelled = Deliver(3, 1);
  ++mislabelled.claim.ranges[1].version;
  check.Receive(mislabelled, 8);
  DeliveredSample truncated = Deliver(4, 2);
  truncated.claim.text.resize(truncated.claim.text.size() -
                              kSyntheticTokenBytes);
  truncated.claim.digest = DigestToHex(ContentDigest(truncated.claim.text));
  check.Receive(truncated, 8);
  DeliveredSample foreign = Deliver(5, 3);
  foreign.sample = 4;
  check.Receive(foreign, 8);
  check.Finish();
  const SampleFaults& faults = check.faults();
  cr_assert(faults.stale == 1 && faults.doubled == 1);
  cr_assert(faults.mislabelled == 1 && faults.corrupt == 2);
  cr_assert(faults.delivered == 4 && faults.lost == 4);
}

Test(order_check, runs_are_held_against_what_callers_were_told) {
  OrderCheck check;
  check.Told("answered", {Verdict::kAnswered, "", ""});
  check.Told("twice", {Verdict::kAnswered, "", ""});
  check.Told("false", {Verdict::kRefused, "overloaded", "not_run"});
  check.Told("true", {Verdict::kRefused, "overloaded", "not_run"});
  check.Told("unknown", {Verdict::kRefused, "outcome_unknown", "may_have_run"});
  check.ResendTold({Verdict::kAnswered, "", ""});
  cr_assert(check.AddRuns(R"({"runs":{"answered":1,"twice":1,"false":1}})"));
  cr_assert(check.AddRuns(R"({"runs":{"twice":1,"unknown":1}})"));
  const auto figures = check.ToJson(true);
  cr_assert(figures.at("ran_twice") == 1);
  cr_assert(figures.at("false_not_run") == 1);
  cr_assert(figures.at("false_answer") == 0);
  cr_assert(figures.at("resends_answered") == 1);
}

Test(tally, latency_counts_from_the_intended_start) {
  const TimePoint start = TimePoint(std::chrono::hours(1));
  Tally tally(start);
  for (int i = 1; i <= 100; ++i) {
    tally.Asked(start);
    tally.Ended({Verdict::kAnswered, "", ""}, start,
                start + std::chrono::milliseconds(i));
  }
  cr_assert(tally.LatencyQuantile(0.5) == 50);
  cr_assert(tally.LatencyQuantile(0.99) == 99);
}

}  // namespace
}  // namespace limpethatch::load
