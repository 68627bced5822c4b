// Calls that run at most once, whichever instance receives a resend.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_CLAIMED_CALL_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_CLAIMED_CALL_H_

#include "programs/entry/target_call.h"

namespace limpethatch {

// Claims the request's Idempotency-Key at the control group, sends the request
// at most once, and records the answer before returning it. A request without
// a key is given a generated one: it runs at most once, but a resend of it
// can't be distinguished from a new request.
HttpResponse CallAtMostOnce(EntryContext& context,
                            Yield yield,
                            const PlainCall& call);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_CLAIMED_CALL_H_
