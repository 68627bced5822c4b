// The metrics of an entry instance as monitoring scrapes them.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_METRICS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_METRICS_H_

#include <string>

#include "control.pb.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

// Text exposition format. Labels come from the manifest and from targets'
// announcements, never from callers.
std::string RenderMetrics(EntryContext& context);

// Fills in what a hello says of this process: manifest, start and tallies.
void FillInstanceFields(const EntryContext& context, wire::Hello& hello);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ENTRY_METRICS_H_
