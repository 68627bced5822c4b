#include "limpethatch/version/manifest_impact.h"

#include <fmt/format.h>

namespace limpethatch {
namespace {

void AddImpactOn(const OpenStepTerms& step,
                 const Manifest& next,
                 ManifestImpact* impact) {
  const auto add_disruption = [&](std::string_view kind,
                                  std::string_view name) {
    impact->disruptions.push_back(
        fmt::format("{} \"{}\" is removed, but step \"{}\" of \"{}\" is open",
                    kind, name, step.step, step.trainer));
  };
  if (!next.pools.contains(step.pool)) {
    add_disruption("pool", step.pool);
  }
  if (!step.scorer.empty() && !next.services.contains(step.scorer)) {
    add_disruption("scorer", step.scorer);
  }
  const auto trainer = next.trainers.find(step.trainer);
  if (trainer == next.trainers.end()) {
    add_disruption("trainer", step.trainer);
    return;
  }
  if (trainer->second.pool != step.pool) {
    impact->disruptions.push_back(fmt::format(
        "trainer \"{}\" moves to pool \"{}\", but its step \"{}\" is open on "
        "\"{}\"",
        step.trainer, trainer->second.pool, step.step, step.pool));
  }
  if (trainer->second.max_staleness < step.max_staleness) {
    impact->notices.push_back(fmt::format(
        "step \"{}\" of \"{}\" keeps the bound of {} that it was opened with; "
        "{} holds from its next step",
        step.step, step.trainer, step.max_staleness,
        trainer->second.max_staleness));
  }
}

}  // namespace

ManifestImpact ImpactOf(const Manifest& next,
                        const std::vector<OpenStepTerms>& open_steps) {
  ManifestImpact impact;
  for (const OpenStepTerms& step : open_steps) {
    AddImpactOn(step, next, &impact);
  }
  return impact;
}

}  // namespace limpethatch
