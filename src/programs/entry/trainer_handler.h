// Handles requests of trainers: steps, samples and weight versions.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_TRAINER_HANDLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_TRAINER_HANDLER_H_

#include "limpethatch/connection/http_server.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

inline constexpr std::string_view kStepsPath = "/v1/steps";
inline constexpr std::string_view kWeightsPath = "/v1/weights";

// POST /v1/steps: opens a step. Opening it again with the same content has no
// effect.
void OpenStep(EntryContext& context, HttpExchange& exchange);

// GET /v1/steps/STEP/samples: returns the samples recorded after the cursor
// `after`.
void FetchSamples(EntryContext& context, HttpExchange& exchange);

// POST /v1/weights: records that a trainer published a weight version for a
// pool.
void PublishWeights(EntryContext& context, HttpExchange& exchange);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_TRAINER_HANDLER_H_
