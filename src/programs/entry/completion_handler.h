// Handles live completions: POST /v1/completions.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_HANDLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_HANDLER_H_

#include "limpethatch/connection/http_server.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

inline constexpr std::string_view kCompletionsPath = "/v1/completions";

// Runs the completion on the engines of the service named by "model". Responds
// with JSON or, if "stream" is true, with server-sent events.
void ServeCompletion(EntryContext& context, HttpExchange& exchange);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_COMPLETION_HANDLER_H_
