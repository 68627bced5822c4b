// Calls of plain services, by way of the router.
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
  std::string flow;  // Whose share of the service it counts to.
  double weight = 1;
  HttpRequest request;
  TimePoint deadline;
  std::string digest;  // Of the content, whatever its id or key.
};

// How one try is made.
struct AttemptOptions {
  std::vector<std::string> excluded;  // Targets that it must not go to.
  bool fresh_connection = false;
  // Without a byte for so long the try has failed.
  Duration progress_timeout = std::chrono::hours(1);
};

// What became of one try at one target.
struct TargetAttempt {
  HttpOutcome outcome;
  std::string target;  // Empty if no target may get the request.
  bool refused_as_poison =
      false;  // It was not tried, as it crashes its targets.
};

// Waits for the service's admission; a refusal means that nothing was run.
std::variant<AdmissionController::Ticket, Refusal> Admit(EntryContext& context,
                                                         Yield yield,
                                                         const PlainCall& call);

// Sends the call to one target.
TargetAttempt CallOneTarget(EntryContext& context,
                            Yield yield,
                            const PlainCall& call,
                            const AttemptOptions& options);

// Tries targets until one answers, as far as deadline, tries and the service's
// budget for retries allow.
HttpResponse CallIdempotent(EntryContext& context,
                            Yield yield,
                            const PlainCall& call);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_TARGET_CALL_H_
