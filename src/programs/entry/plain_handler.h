// Handles requests to plain services: /svc/SERVICE/PATH.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_PLAIN_HANDLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_PLAIN_HANDLER_H_

#include "limpethatch/connection/http_server.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

inline constexpr std::string_view kPlainPrefix = "/svc/";

// Routes the request to a target of the service and responds with its answer.
void ServePlain(EntryContext& context, HttpExchange& exchange);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_PLAIN_HANDLER_H_
