// One live completion over all engines that it takes.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_RUN_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_RUN_H_

#include <optional>
#include <string>
#include <vector>

#include "limpethatch/connection/completion_stream.h"
#include "limpethatch/request/retry_decision.h"
#include "programs/entry/completion_writer.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/poison_guard.h"

namespace limpethatch {

struct LiveCompletion {
  std::string service;
  std::string pool;
  CompletionRequest request;
  TimePoint deadline;
};

// Runs on one engine and, if that fails, goes on from the token reached on
// another: of the same version, or else of any, as the answer names the
// versions of all its parts.
class CompletionRun {
 public:
  CompletionRun(EntryContext& context,
                const LiveCompletion& completion,
                CompletionWriter& writer);

  // Writes the whole answer, or says why there is none. Whether it succeeded.
  CallOutcome Run(Yield yield);

 private:
  RoutedTargetPtr ChooseEngine(std::vector<std::string> excluded);
  // One attempt, as the poison guard allows.
  std::error_code GuardedAttempt(Yield yield);
  std::error_code Attempt(Yield yield,
                          const RoutedTarget& engine,
                          CallProgress* progress);
  // Follows one engine's stream to its end.
  std::error_code ReadStream(Yield yield, CompletionStream& stream);
  // A refusal, or nothing once it is time for another attempt.
  std::optional<Refusal> HandleFailure(Yield yield);

  EntryContext& context_;
  const LiveCompletion& completion_;
  CompletionWriter& writer_;
  const ServiceStatePtr state_;
  const GuardedRequest guarded_request_;
  Generation generation_;
  std::string finish_reason_;
  std::vector<std::string> excluded_;
  FailedRequest failed_;
  bool engine_found_ = false;
  bool refused_as_poison_ = false;
  bool caller_disconnected_ = false;
  bool inconsistent_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_RUN_H_
