#include "programs/load/request_stats.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value_from.hpp>
#include <chrono>
#include <cmath>

namespace limpethatch::load {
namespace json = boost::json;
namespace {

void CountInSecond(Duration since_start, std::vector<uint64_t>* seconds) {
  const auto second = static_cast<size_t>(std::max<int64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(since_start).count(),
      0));
  seconds->resize(std::max(seconds->size(), second + 1));
  ++(*seconds)[second];
}

json::object CountsJson(const std::map<std::string, uint64_t>& counts) {
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

}  // namespace

void RequestStats::RecordRequest(TimePoint intended_start) {
  ++asked_;
  CountInSecond(intended_start - start_, &asked_per_second_);
}

void RequestStats::RecordResult(const CallResult& result,
                                TimePoint intended_start,
                                TimePoint now) {
  ++verdicts_[result.verdict];
  if (result.verdict == Verdict::kRefused) {
    ++refusals_[result.code + "/" + result.ran];
  } else if (result.verdict == Verdict::kWrong) {
    ++wrong_[result.code];
  } else if (result.verdict == Verdict::kAnswered) {
    latencies_ms_.push_back(
        std::chrono::duration<double, std::milli>(now - intended_start)
            .count());
    CountInSecond(now - start_, &answered_per_second_);
  }
}

uint64_t RequestStats::count(Verdict verdict) const {
  const auto found = verdicts_.find(verdict);
  return found == verdicts_.end() ? 0 : found->second;
}

double RequestStats::LatencyQuantile(double quantile) const {
  if (latencies_ms_.empty()) {
    return 0;
  }
  std::vector<double> sorted = latencies_ms_;
  const auto rank = static_cast<std::ptrdiff_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  const auto at = sorted.begin() + std::max<std::ptrdiff_t>(rank, 1) - 1;
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

json::object RequestStats::ToJson() const {
  return {{"asked", asked_},
          {"answered", answered()},
          {"wrong", count(Verdict::kWrong)},
          {"wrong_by_cause", CountsJson(wrong_)},
          {"refused", count(Verdict::kRefused)},
          {"refused_by_code", CountsJson(refusals_)},
          {"cut_off", count(Verdict::kCutOff)},
          {"not_sent", count(Verdict::kNotSent)},
          {"p50_ms", LatencyQuantile(0.5)},
          {"p99_ms", LatencyQuantile(0.99)},
          {"max_ms", LatencyQuantile(1)},
          {"asked_per_second", json::value_from(asked_per_second_)},
          {"answered_per_second", json::value_from(answered_per_second_)}};
}

}  // namespace limpethatch::load
