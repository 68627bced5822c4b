// Metrics of an entry instance for scraping.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_METRICS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_METRICS_H_

#include <string>

#include "control.pb.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

// Returns the metrics in the Prometheus text format. Labels come from the
// manifest and from targets' announcements, never from callers.
std::string RenderMetrics(EntryContext& context);

// Fills in the fields that describe this process: its manifest version, its
// boot and the tallies of its services.
void FillInstanceFields(const EntryContext& context, wire::Hello& hello);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_METRICS_H_
