#include "programs/load/sample_check.h"

#include <algorithm>
#include <utility>

namespace limpethatch::load {

void SampleFaults::Add(const SampleFaults& other) {
  delivered += other.delivered;
  lost += other.lost;
  doubled += other.doubled;
  stale += other.stale;
  mislabelled += other.mislabelled;
  corrupt += other.corrupt;
  out_of_order += other.out_of_order;
  mixed_versions += other.mixed_versions;
  tokens += other.tokens;
  longest_sample = std::max(longest_sample, other.longest_sample);
  staleness_total += other.staleness_total;
}

SampleCheck::SampleCheck(StepPlan plan)
    : plan_(std::move(plan)),
      received_(plan_.prompts.size() * plan_.group_size) {}

void SampleCheck::Receive(const DeliveredSample& delivered,
                          uint64_t at_version) {
  if (delivered.sequence <= last_sequence_) {
    ++faults_.out_of_order;
  }
  last_sequence_ = std::max(last_sequence_, delivered.sequence);
  if (delivered.sample >= received_.size() ||
      delivered.group != delivered.sample / plan_.group_size) {
    ++faults_.corrupt;
    return;
  }
  if (received_[delivered.sample]) {
    ++faults_.doubled;
    return;
  }
  received_[delivered.sample] = true;
  ++faults_.delivered;
  CheckContent(delivered);
  CheckStaleness(delivered.completion, at_version);
}

void SampleCheck::CheckContent(const DeliveredSample& delivered) {
  const uint64_t key =
      SyntheticKey(plan_.prompts[delivered.group], delivered.sample);
  const uint32_t uncapped_tokens =
      SyntheticLength(key, plan_.lengths, UINT32_MAX);
  const CompletionFault fault = CheckCompletion(
      delivered.completion, key, std::min(uncapped_tokens, plan_.max_tokens),
      uncapped_tokens > plan_.max_tokens);
  faults_.corrupt += fault == CompletionFault::kCorrupt ? 1 : 0;
  faults_.mislabelled += fault == CompletionFault::kMislabelled ? 1 : 0;
  faults_.mixed_versions += delivered.completion.ranges.size() > 1 ? 1 : 0;
  faults_.tokens += delivered.completion.tokens;
  faults_.longest_sample =
      std::max<uint64_t>(faults_.longest_sample, delivered.completion.tokens);
}

void SampleCheck::CheckStaleness(const ReportedCompletion& completion,
                                 uint64_t at_version) {
  if (completion.ranges.empty()) {
    return;
  }
  const uint64_t oldest =
      std::min_element(completion.ranges.begin(), completion.ranges.end(),
                       [](const TokenRange& a, const TokenRange& b) {
                         return a.version < b.version;
                       })
          ->version;
  const uint64_t staleness = at_version - std::min(oldest, at_version);
  faults_.staleness_total += static_cast<double>(staleness);
  faults_.stale += staleness > plan_.max_staleness ? 1 : 0;
}

void SampleCheck::CountLost() {
  faults_.lost += static_cast<uint64_t>(
      std::count(received_.begin(), received_.end(), false));
}

}  // namespace limpethatch::load
