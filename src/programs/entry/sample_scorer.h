// Calls the plain service that scores the samples of a trainer.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_SAMPLE_SCORER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_SAMPLE_SCORER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/yield.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/rollout_attempt.h"

namespace limpethatch {

// The call for the complete text of the attempt.
HttpRequest MakeScoringRequest(const RolloutAttempt& attempt);

// Decides by the answers to the calls for one sample how it goes on.
class ScoringProgress {
 public:
  // Failures of the scorer after which a sample is delivered without a score.
  static constexpr uint32_t kMaxFailures = 5;

  enum class Next { kRecord, kRetry };

  // Refusals do not count as failures: the scorer has not seen the sample.
  Next OnResponse(const HttpResponse& response);

  // Not a number if the scorer failed too often. Valid after kRecord.
  double score() const { return score_; }
  uint32_t failures() const { return failures_; }

 private:
  double score_ = 0;
  uint32_t failures_ = 0;
};

// Calls the scorer until it has scored the sample, or failed too often, which
// sets the score to not a number. Returns false if the attempt was dropped.
bool ScoreSample(EntryContext& context, Yield yield, RolloutAttempt& attempt);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_SAMPLE_SCORER_H_
