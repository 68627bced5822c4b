// Runs one live completion, on several engines if some fail.
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

// If an engine fails, the completion is resumed on another one at the token
// that was reached. Engines with the same weight version are preferred; any
// other version is allowed, because the answer states the version of each
// token range.
class CompletionRun {
 public:
  CompletionRun(EntryContext& context,
                const LiveCompletion& completion,
                CompletionWriter& writer);

  // Writes the complete answer or a refusal.
  CallOutcome Run(Yield yield);

 private:
  RoutedTargetPtr ChooseEngine(std::vector<std::string> excluded);
  // Makes one attempt under a permit of the poison guard.
  std::error_code GuardedAttempt(Yield yield);
  std::error_code Attempt(Yield yield,
                          const RoutedTarget& engine,
                          CallProgress* progress);
  // Passes one engine's stream on to the caller until it ends.
  std::error_code ReadStream(Yield yield, CompletionStream& stream);
  // Waits for the backoff and returns nullopt if the request is to be retried;
  // returns a refusal if not.
  std::optional<Refusal> HandleFailure(Yield yield);

  EntryContext& context_;
  const LiveCompletion& completion_;
  CompletionWriter& writer_;
  const ServiceStatePtr state_;
  const GuardedRequest guarded_request_;
  Generation generation_;
  std::string finish_reason_;
  std::vector<std::string> failed_engines_;
  FailedRequest failed_request_;
  bool engine_found_ = false;
  bool refused_as_poison_ = false;
  bool caller_disconnected_ = false;
  bool inconsistent_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_RUN_H_
