#include "programs/load/order_check.h"

#include <boost/json/value.hpp>

#include "limpethatch/process/json_members.h"

namespace limpethatch::load {

void OrderCheck::RecordResult(const std::string& key,
                              const CallResult& result) {
  results_[key] = result;
}

void OrderCheck::RecordResendResult(const CallResult& result) {
  ++resends_;
  resends_answered_ += result.verdict == Verdict::kAnswered ? 1 : 0;
}

bool OrderCheck::AddRunCounts(std::string_view counts_body) {
  const auto body = ParseJsonObject(counts_body);
  const auto* runs = body ? ObjectMember(*body, "runs") : nullptr;
  if (runs == nullptr) {
    return false;
  }
  for (const auto& member : *runs) {
    run_counts_[std::string(std::string_view(member.key()))] +=
        UnsignedMember(*runs, std::string_view(member.key()));
  }
  return true;
}

boost::json::object OrderCheck::ToJson(bool runs_known) const {
  uint64_t ran_twice = 0;
  uint64_t false_not_run = 0;
  uint64_t false_answer = 0;
  for (const auto& [key, result] : results_) {
    const auto found = run_counts_.find(key);
    const uint64_t runs = found == run_counts_.end() ? 0 : found->second;
    const bool reported_not_run =
        result.verdict == Verdict::kNotSent ||
        (result.verdict == Verdict::kRefused && result.ran == "not_run");
    ran_twice += runs > 1 ? 1 : 0;
    false_not_run += reported_not_run && runs > 0 ? 1 : 0;
    false_answer += result.verdict == Verdict::kAnswered && runs == 0 ? 1 : 0;
  }
  boost::json::object counts = {{"resends", resends_},
                                {"resends_answered", resends_answered_},
                                {"runs_known", runs_known}};
  if (runs_known) {
    counts["ran_twice"] = ran_twice;
    counts["false_not_run"] = false_not_run;
    counts["false_answer"] = false_answer;
  }
  return counts;
}

}  // namespace limpethatch::load
