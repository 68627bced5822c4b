// How a gateway tells another one what became of a request that it relayed.
#ifndef LIMPETHATCH_CONNECTION_RELAY_OUTCOME_H_
#define LIMPETHATCH_CONNECTION_RELAY_OUTCOME_H_

#include "limpethatch/connection/http_types.h"

namespace limpethatch {

enum class RelayOutcome {
  kAnswered,    // The response is that of a target.
  kNotRun,      // No target has run the request or ever will.
  kMayHaveRun,  // The response is the relay's own, and a target may have run
                // it.
};

// Adds the outcome to the response.
void SetRelayOutcome(RelayOutcome outcome, HttpResponse* response);
// Removes it from the headers of a response; kMayHaveRun if it has none.
RelayOutcome TakeRelayOutcome(HttpHeaders* headers);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_RELAY_OUTCOME_H_
