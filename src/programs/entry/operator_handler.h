// Handles requests of operators, the balancer and monitoring.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_HANDLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_HANDLER_H_

#include "limpethatch/connection/http_server.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/operator_authenticator.h"

namespace limpethatch {

// Responds with 401 if the request lacks a valid key, and with 404 to unknown
// paths.
void ServeOperator(EntryContext& context,
                   const OperatorAuthenticator& authenticator,
                   HttpExchange& exchange);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_HANDLER_H_
