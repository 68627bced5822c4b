// Finds out whether a peer accepts connections.
#ifndef LIMPETHATCH_CONNECTION_CONNECTION_PROBE_H_
#define LIMPETHATCH_CONNECTION_CONNECTION_PROBE_H_

#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

enum class ProbeResult {
  kAccepted,
  kRefused,  // Nothing listens there.
  kNoAnswer  // Unreachable, or not answered within the time-out.
};

// Opens a connection and closes it without sending anything.
ProbeResult ProbeConnection(Yield yield,
                            const Endpoint& endpoint,
                            Duration timeout);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_CONNECTION_PROBE_H_
