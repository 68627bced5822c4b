// How a gateway tells another one what became of a request that it relayed.
#ifndef LIMPETHATCH_CONNECTION_RELAY_RESULT_H_
#define LIMPETHATCH_CONNECTION_RELAY_RESULT_H_

#include <cstdint>
#include <string>

#include "limpethatch/connection/http_types.h"

namespace limpethatch {

enum class RelayOutcome {
  kAnswered,    // The response is that of a target.
  kNotRun,      // No target has run the request or ever will.
  kMayHaveRun,  // The response is the relay's own, and a target may have run
                // it.
};

struct RelayResult {
  RelayOutcome outcome = RelayOutcome::kMayHaveRun;
  // The target that answered, if any, and its incarnation.
  std::string target = {};
  uint64_t incarnation = 0;
};

// Adds the result to the response.
void SetRelayResult(const RelayResult& result, HttpResponse* response);
// Removes it from the headers of a response; kMayHaveRun if it has none.
RelayResult TakeRelayResult(HttpHeaders* headers);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_RELAY_RESULT_H_
