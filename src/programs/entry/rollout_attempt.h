// One attempt to generate a sample on an engine.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_ATTEMPT_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_ATTEMPT_H_

#include <atomic>
#include <string>
#include <string_view>
#include <system_error>

#include "ledger.pb.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/request/generation.h"
#include "limpethatch/request/target.h"
#include "programs/entry/engine_reporter.h"

namespace limpethatch {

struct RolloutAttempt {
  std::string holder;
  wire::SampleAssignment assignment;
  RoutedTargetPtr engine;
  Generation generation;
  // Copy of generation.tokens() that other threads may read.
  std::atomic<uint32_t> tokens{0};
  GenerationEnd end;
  double score = 0;  // Not a number if the scorer failed.
  std::atomic<bool> stopped{false};
  // The engine has finished; the sample is being recorded or returned.
  std::atomic<bool> engine_done{false};
  // Its holder was declared gone, so the ledger has ended the attempt.
  std::atomic<bool> dropped{false};
  // The engine's final event contradicts its tokens; no text may be kept.
  bool inconsistent = false;
};

// Streams the sample from its engine until it is complete, fails or is stopped.
// Returns errors of the stream or of Generation, or operation_canceled if the
// attempt was stopped.
std::error_code GenerateSample(Yield yield,
                               HttpClient& client,
                               EngineReporter& reporter,
                               RolloutAttempt& attempt);

// Returns the command that records the complete sample.
wire::Command RecordCommand(const RolloutAttempt& attempt);

// Returns the command that gives the sample back with its partial text.
wire::Command ReturnCommand(const RolloutAttempt& attempt,
                            std::string_view reason);

// Logs a finished attempt at debug level.
void LogAttempt(const RolloutAttempt& attempt,
                TimePoint started_at,
                std::error_code error);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_ATTEMPT_H_
