#include "limpethatch/connection/relay_result.h"

#include <charconv>
#include <string_view>

namespace limpethatch {
namespace {

constexpr std::string_view kOutcomeHeader = "Relay-Outcome";
constexpr std::string_view kTargetHeader = "Relay-Target";
constexpr std::string_view kIncarnationHeader = "Relay-Incarnation";
constexpr std::string_view kAnsweredText = "answered";
constexpr std::string_view kNotRunText = "not_run";
constexpr std::string_view kMayHaveRunText = "may_have_run";

}  // namespace

void SetRelayResult(const RelayResult& result, HttpResponse* response) {
  response->headers.Set(
      kOutcomeHeader, result.outcome == RelayOutcome::kAnswered ? kAnsweredText
                      : result.outcome == RelayOutcome::kNotRun
                          ? kNotRunText
                          : kMayHaveRunText);
  if (!result.target.empty()) {
    response->headers.Set(kTargetHeader, result.target);
    response->headers.Set(kIncarnationHeader,
                          std::to_string(result.incarnation));
  }
}

RelayResult TakeRelayResult(HttpHeaders* headers) {
  RelayResult result;
  const std::string_view outcome = headers->Get(kOutcomeHeader);
  if (outcome == kAnsweredText) {
    result.outcome = RelayOutcome::kAnswered;
  } else if (outcome == kNotRunText) {
    result.outcome = RelayOutcome::kNotRun;
  }
  result.target = headers->Get(kTargetHeader);
  const std::string_view incarnation = headers->Get(kIncarnationHeader);
  std::from_chars(incarnation.data(), incarnation.data() + incarnation.size(),
                  result.incarnation);
  for (const std::string_view name :
       {kOutcomeHeader, kTargetHeader, kIncarnationHeader}) {
    headers->Remove(name);
  }
  return result;
}

}  // namespace limpethatch
