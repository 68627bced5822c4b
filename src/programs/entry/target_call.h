// Calls to targets of plain services.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_TARGET_CALL_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_TARGET_CALL_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/request/refusal.h"
#include "programs/entry/entry_context.h"

namespace limpethatch {

struct PlainCall {
  std::string service;
  std::string flow;  // Admission flow; see FlowOf.
  double weight = 1;
  HttpRequest request;
  TimePoint deadline;
  std::string digest;  // Of the content, without request id and key.
};

struct AttemptOptions {
  std::vector<std::string> excluded;  // Ids of targets not to use.
  bool fresh_connection = false;
  // Time without a byte after which the attempt fails.
  Duration progress_timeout = std::chrono::hours(1);
};

// The result of one attempt.
struct TargetAttempt {
  HttpOutcome outcome;
  std::string target;  // Id; empty if no target was available.
  // Not sent, because the request crashes its targets.
  bool refused_as_poison = false;
};

// Waits until the service admits the call. A refused call has not run.
std::variant<AdmissionController::Ticket, Refusal> Admit(EntryContext& context,
                                                         Yield yield,
                                                         const PlainCall& call);

// Sends the call to one target.
TargetAttempt CallOneTarget(EntryContext& context,
                            Yield yield,
                            const PlainCall& call,
                            const AttemptOptions& options);

// Tries targets until one answers, within the limits of the deadline, the
// number of attempts and the service's retry budget.
HttpResponse CallIdempotent(EntryContext& context,
                            Yield yield,
                            const PlainCall& call);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_TARGET_CALL_H_
