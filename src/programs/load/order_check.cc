#include "programs/load/order_check.h"

#include <boost/json/value.hpp>

#include "limpethatch/process/json_members.h"

namespace limpethatch::load {

void OrderCheck::Told(const std::string& key, const Ending& ending) {
  told_[key] = ending;
}

void OrderCheck::ResendTold(const Ending& ending) {
  ++resends_;
  resends_answered_ += ending.verdict == Verdict::kAnswered ? 1 : 0;
}

bool OrderCheck::AddRuns(std::string_view counts_body) {
  const auto body = ParseJsonObject(counts_body);
  const auto* runs = body ? ObjectMember(*body, "runs") : nullptr;
  if (runs == nullptr) {
    return false;
  }
  for (const auto& member : *runs) {
    runs_[std::string(std::string_view(member.key()))] +=
        UnsignedMember(*runs, std::string_view(member.key()));
  }
  return true;
}

boost::json::object OrderCheck::ToJson(bool runs_known) const {
  uint64_t ran_twice = 0;
  uint64_t false_not_run = 0;
  uint64_t false_answer = 0;
  for (const auto& [key, ending] : told_) {
    const auto found = runs_.find(key);
    const uint64_t runs = found == runs_.end() ? 0 : found->second;
    const bool told_not_run =
        ending.verdict == Verdict::kNotSent ||
        (ending.verdict == Verdict::kRefused && ending.ran == "not_run");
    ran_twice += runs > 1 ? 1 : 0;
    false_not_run += told_not_run && runs > 0 ? 1 : 0;
    false_answer += ending.verdict == Verdict::kAnswered && runs == 0 ? 1 : 0;
  }
  boost::json::object figures = {{"resends", resends_},
                                 {"resends_answered", resends_answered_},
                                 {"runs_known", runs_known}};
  if (runs_known) {
    figures["ran_twice"] = ran_twice;
    figures["false_not_run"] = false_not_run;
    figures["false_answer"] = false_answer;
  }
  return figures;
}

}  // namespace limpethatch::load
