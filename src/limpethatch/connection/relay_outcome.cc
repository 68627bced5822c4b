#include "limpethatch/connection/relay_outcome.h"

#include <string_view>

namespace limpethatch {
namespace {

constexpr std::string_view kOutcomeHeader = "Relay-Outcome";
constexpr std::string_view kAnsweredText = "answered";
constexpr std::string_view kNotRunText = "not_run";
constexpr std::string_view kMayHaveRunText = "may_have_run";

}  // namespace

void SetRelayOutcome(RelayOutcome outcome, HttpResponse* response) {
  response->headers.Set(kOutcomeHeader,
                        outcome == RelayOutcome::kAnswered ? kAnsweredText
                        : outcome == RelayOutcome::kNotRun ? kNotRunText
                                                           : kMayHaveRunText);
}

RelayOutcome TakeRelayOutcome(HttpHeaders* headers) {
  const std::string_view text = headers->Get(kOutcomeHeader);
  const RelayOutcome outcome = text == kAnsweredText ? RelayOutcome::kAnswered
                               : text == kNotRunText
                                   ? RelayOutcome::kNotRun
                                   : RelayOutcome::kMayHaveRun;
  headers->Remove(kOutcomeHeader);
  return outcome;
}

}  // namespace limpethatch
