// Calls that may run at most once, whatever instance a resend reaches.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_CLAIMED_CALL_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_CLAIMED_CALL_H_

#include "programs/entry/target_call.h"

namespace limpethatch {

// Claims the request's Idempotency-Key at the control group, sends the
// request at most once, and records the answer before it is returned. A
// request without a key gets one of its own: it runs at most once, but a
// resend of it can't be told from another request.
HttpResponse CallAtMostOnce(EntryContext& context,
                            Yield yield,
                            const PlainCall& call);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_CLAIMED_CALL_H_
