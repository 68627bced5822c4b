#include "limpethatch/request/refusal.h"

#include <fmt/format.h>

namespace limpethatch {
namespace {

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

std::string_view RanName(Ran ran) {
  switch (ran) {
    case Ran::kNotRun:
      return "not_run";
    case Ran::kMayHaveRun:
      return "may_have_run";
    case Ran::kRan:
      return "ran";
  }
  return "may_have_run";
}

Refusal UnknownService(std::string_view service) {
  return {404, "unknown_service",
          fmt::format("no service \"{}\" is declared", service), Ran::kNotRun,
          std::nullopt};
}

Refusal BadRequest(std::string_view problem) {
  return {400, "bad_request", std::string(problem), Ran::kNotRun, std::nullopt};
}

Refusal NoTarget(std::string_view service) {
  return {503, "no_target",
          fmt::format("no target of \"{}\" can be reached", service),
          Ran::kNotRun, kDefaultRetryAfter};
}

Refusal Overloaded(std::string_view service, Duration retry_after) {
  return {429, "overloaded",
          fmt::format("\"{}\" has more work than it can do in time", service),
          Ran::kNotRun, retry_after};
}

Refusal DeadlinePassed(Ran ran) {
  return {504, "deadline_passed", "the deadline of the request has passed", ran,
          std::nullopt};
}

Refusal TargetFailed(Ran ran) {
  return {502, "target_failed", "the target failed before its answer was whole",
          ran, std::nullopt};
}

Refusal PoisonRequest() {
  return {422, "poison_request",
          "targets that ran this request crashed; it is not run again",
          Ran::kMayHaveRun, std::nullopt};
}

Refusal Draining() {
  return {503, "draining", "this instance is stopping; use another",
          Ran::kNotRun, kDefaultRetryAfter};
}

Refusal NoQuorum(Ran ran) {
  return {503, "no_quorum",
          "the record of claims can't be reached, so this request must wait",
          ran, kDefaultRetryAfter};
}

Refusal KeyReused() {
  return {409, "idempotency_key_reused",
          "this Idempotency-Key was used with another request", Ran::kNotRun,
          std::nullopt};
}

Refusal InProgress() {
  return {409, "in_progress",
          "a request with this Idempotency-Key is being answered",
          Ran::kMayHaveRun, kDefaultRetryAfter};
}

Refusal OutcomeUnknown() {
  return {409, "outcome_unknown",
          "a request with this Idempotency-Key may have run; its answer was "
          "lost and it is not run again",
          Ran::kMayHaveRun, std::nullopt};
}

}  // namespace limpethatch
