// What operators, the balancer and monitoring ask of an entry instance.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_HANDLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_HANDLER_H_

#include "limpethatch/connection/http_server.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/operator_authenticator.h"

namespace limpethatch {

// Answers the exchange if the path is an operator's; 404 if not, 401 without
// a key that the gate lets in.
void ServeOperator(EntryContext& context,
                   const OperatorAuthenticator& authenticator,
                   HttpExchange& exchange);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_OPERATOR_HANDLER_H_
