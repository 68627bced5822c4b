// Error responses for requests that got no answer from a target.
#ifndef LIMPETHATCH_REQUEST_REFUSAL_H_
#define LIMPETHATCH_REQUEST_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Whether the refused request was executed by a target.
enum class Ran { kNotRun, kMayHaveRun, kRan };

// Returns "not_run", "may_have_run" or "ran".
std::string_view RanName(Ran ran);

struct Refusal {
  int status = 503;  // HTTP status code.
  std::string code;  // Stable identifier in snake case.
  std::string message;
  Ran ran = Ran::kNotRun;
  std::optional<Duration> retry_after;
};

// All refusal codes are defined here, so that they stay stable.
Refusal UnknownService(std::string_view service);
Refusal BadRequest(std::string_view problem);
Refusal NoTarget(std::string_view service);
Refusal Overloaded(std::string_view service, Duration retry_after);
Refusal DeadlinePassed(Ran ran);
Refusal TargetFailed(Ran ran);
Refusal PoisonRequest();
Refusal Draining();
Refusal NoQuorum(Ran ran);
Refusal KeyReused();
Refusal InProgress();
Refusal OutcomeUnknown();

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_REFUSAL_H_
