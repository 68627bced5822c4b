// The effect of a manifest change on open steps.
#ifndef LIMPETHATCH_VERSION_MANIFEST_IMPACT_H_
#define LIMPETHATCH_VERSION_MANIFEST_IMPACT_H_

#include <vector>

#include "limpethatch/version/manifest.h"
#include "limpethatch/version/manifest_register.h"
#include "limpethatch/version/step_ledger.h"

namespace limpethatch {

// Deterministic. Replicas evaluate it when they apply the change, at its
// position in the log, so that no step can open between check and change.
ManifestImpact ImpactOf(const Manifest& next,
                        const std::vector<OpenStepTerms>& open_steps);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_MANIFEST_IMPACT_H_
