// Records the outcome and the duration of each request to a service.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_MEASURED_EXCHANGE_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_MEASURED_EXCHANGE_H_

#include <functional>
#include <optional>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/burn_meter.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

// Classifies a response for the service's objective. Returns nullopt for a
// refusal that the caller's own error caused.
std::optional<RequestOutcome> OutcomeOf(const HttpResponse& response,
                                        Duration duration,
                                        Duration latency);

// Runs `serve` and counts the outcome for the service that the request names,
// if the manifest declares it.
void ServeMeasured(EntryContext& context,
                   HttpExchange& exchange,
                   const std::function<void(HttpExchange&)>& serve);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_MEASURED_EXCHANGE_H_
