#include "programs/standin/engine_model.h"

#include <rapidcheck.h>

#include <numeric>

#include "limpethatch/request/digest.h"
#include "limpethatch/request/synthetic.h"
#include "programs/standin/completion.h"
#include "programs/standin/order_record.h"

#include <criterion/criterion.h>

namespace limpethatch::standin {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

EngineModelOptions TwoSlots() {
  EngineModelOptions options;
  options.slots = 2;
  options.token_interval = milliseconds(2);
  options.slowdown = 0.5;
  options.prefill_per_token = milliseconds(1);
  return options;
}

SequenceSpec MakeSpec(uint32_t prompt_tokens,
                      uint32_t end,
                      uint32_t first = 0) {
  SequenceSpec spec;
  spec.prompt_tokens = prompt_tokens;
  spec.first_token = first;
  spec.end_token = end;
  return spec;
}

Test(engine_model, full_batch_is_slower_by_the_configured_share) {
  EngineModel model(TwoSlots(), 1, kStart);
  model.Submit(1, MakeSpec(0, 100), kStart);
  model.Advance(kStart + milliseconds(20));
  cr_assert(model.Find(1)->tokens == 10);
  model.Submit(2, MakeSpec(0, 100), kStart + milliseconds(20));
  model.Advance(kStart + milliseconds(50));
  cr_assert(model.Find(1)->tokens == 20);
  cr_assert(model.Find(2)->tokens == 10);
}

Test(engine_model, slots_are_assigned_strictly_in_arrival_order) {
  EngineModel model(TwoSlots(), 1, kStart);
  model.Submit(1, MakeSpec(0, 1000), kStart);
  model.Submit(2, MakeSpec(0, 10), kStart);
  model.Submit(3, MakeSpec(0, 10), kStart);
  model.Submit(4, MakeSpec(0, 1), kStart);
  cr_assert(!model.Find(3)->admitted && model.waiting() == 2);
  model.Advance(kStart + milliseconds(31));
  cr_assert(model.Find(2)->finished() && model.Find(3)->admitted);
  cr_assert(!model.Find(4)->admitted);
  model.Remove(3, kStart + milliseconds(31));
  cr_assert(model.Find(4)->admitted);
}

Test(engine_model, cached_prefix_and_kv_cache_skip_the_prefill) {
  EngineModel model(TwoSlots(), 1, kStart);
  SequenceSpec spec = MakeSpec(100, 10);
  spec.prefix_blocks = PrefixBlocks("a prompt");
  model.Submit(1, spec, kStart);
  cr_assert(model.Find(1)->remaining_prefill == milliseconds(100));
  model.Remove(1, kStart);
  model.Submit(2, spec, kStart);
  cr_assert(model.Find(2)->remaining_prefill == Duration::zero());
  SequenceSpec resumed = MakeSpec(100, 50, 30);
  model.Submit(3, resumed, kStart);
  cr_assert(model.Find(3)->remaining_prefill == milliseconds(130));
  model.Remove(3, kStart);
  resumed.has_kv_cache = true;
  model.Submit(4, resumed, kStart);
  cr_assert(model.Find(4)->remaining_prefill == Duration::zero());
}

Test(engine_model, ranges_are_contiguous_and_ordered_for_any_event_sequence) {
  cr_assert(rc::check([] {
    EngineModel model(TwoSlots(), 1, kStart);
    TimePoint now = kStart;
    const auto first = *rc::gen::inRange<uint32_t>(0, 30);
    const auto end = *rc::gen::inRange<uint32_t>(first, 60);
    model.Submit(1, MakeSpec(3, end, first), now);
    model.Submit(2, MakeSpec(0, 7), now);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    uint64_t version = 1;
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 5 == 0) {
        model.SetVersion(++version, now);
      } else if (step % 5 == 1) {
        model.SetPaused(step % 2 == 0, now);
      } else {
        model.Advance(now);
      }
    }
    model.SetPaused(false, now);
    model.Advance(now + std::chrono::minutes(1));
    const Sequence& sequence = *model.Find(1);
    RC_ASSERT(sequence.finished());
    uint32_t next = first;
    for (const TokenRange& range : sequence.ranges) {
      RC_ASSERT(range.first_token == next);
      RC_ASSERT(range.end_token > next);
      RC_ASSERT(range.version <= version);
      next = range.end_token;
    }
    RC_ASSERT(next == end);
  }));
}

Test(completion, concatenated_parts_equal_the_whole_text) {
  const std::vector<TokenRange> ranges = {{1, 0, 7}, {2, 7, 20}};
  const std::string whole = SyntheticText(99, ranges, 0, 20);
  cr_assert(whole.size() == 20 * kSyntheticTokenBytes);
  for (uint32_t cut = 0; cut <= 20; ++cut) {
    cr_assert(SyntheticText(99, ranges, 0, cut) +
                  SyntheticText(99, ranges, cut, 20) ==
              whole);
  }
}

Test(completion,
     resumed_answer_reports_the_total_and_the_digest_of_its_own_part) {
  HttpRequest http;
  http.body = R"({"prompt":"p","max_tokens":20,"resume_from_tokens":7})";
  const auto request = ParseCompletionRequest(http, SyntheticLengths());
  const std::vector<TokenRange> ranges = {{1, 7, 9}, {2, 9, 20}};
  const std::string text = SyntheticText(request->key, ranges, 7, 20);
  const std::string events = FinalEvents(*request, ranges);
  cr_assert(events.find(DigestToHex(ContentDigest(text))) != std::string::npos);
  cr_assert(events.find(R"("tokens":20,)") != std::string::npos);
  cr_assert(events.find(R"("first_token":7,"end_token":9)") !=
            std::string::npos);
}

Test(completion, two_percent_of_answers_are_ten_times_longer) {
  constexpr int kAnswers = 100000;
  SyntheticLengths lengths;
  lengths.sigma = 0.1;
  int long_answers = 0;
  for (uint64_t seed = 0; seed < kAnswers; ++seed) {
    const uint32_t tokens =
        SyntheticLength(SyntheticKey("prompt", seed), lengths, 100000);
    long_answers += tokens > 5 * lengths.median_tokens ? 1 : 0;
  }
  cr_assert(long_answers > 0.018 * kAnswers && long_answers < 0.022 * kAnswers);
}

Test(order_record, older_term_is_refused_only_with_fencing_checks) {
  using Verdict = OrderRecord::Verdict;
  OrderRecord checking(true);
  cr_assert(checking.Receive(5, "a") == Verdict::kAccepted);
  cr_assert(checking.Receive(5, "a") == Verdict::kRepeated);
  cr_assert(checking.Receive(4, "b") == Verdict::kStaleTerm);
  cr_assert(checking.terms().at(4).accepted == 0);
  OrderRecord ignoring(false);
  cr_assert(ignoring.Receive(5, "a") == Verdict::kAccepted);
  cr_assert(ignoring.Receive(4, "b") == Verdict::kAccepted);
}

}  // namespace
}  // namespace limpethatch::standin
