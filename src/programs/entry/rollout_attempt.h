// One attempt at a sample on one engine.
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
  std::atomic<uint32_t> tokens{0};  // Of `generation`, for other threads.
  GenerationEnd end;
  std::atomic<bool> stopped{false};
  // The engine is done with it; it is being recorded or given back.
  std::atomic<bool> engine_done{false};
  // Its holder was declared gone: the ledger has ended it.
  std::atomic<bool> dropped{false};
  // The engine's words do not fit each other: nothing of it may be kept.
  bool inconsistent = false;
};

// Streams the sample from its engine until it is whole, fails or is stopped.
// Errors are those of the stream, of Generation, or operation_canceled.
std::error_code GenerateSample(Yield yield,
                               HttpClient& client,
                               EngineReporter& reporter,
                               RolloutAttempt& attempt);

// Records the whole sample.
wire::Command RecordCommand(const RolloutAttempt& attempt);

// Gives the attempt back with the text that it reached.
wire::Command ReturnCommand(const RolloutAttempt& attempt,
                            std::string_view reason);

// Tells of a finished attempt at level debug.
void LogAttempt(const RolloutAttempt& attempt,
                TimePoint started_at,
                std::error_code error);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ROLLOUT_ATTEMPT_H_
