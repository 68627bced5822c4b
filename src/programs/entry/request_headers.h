// What a caller's headers say of its request: deadline and customer.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_REQUEST_HEADERS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_REQUEST_HEADERS_H_

#include <string>
#include <string_view>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

// Milliseconds that the sender still waits, in requests from callers and to
// targets.
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";

// Whom the caller asks for, in requests to services that many customers share.
inline constexpr std::string_view kCustomerHeader = "X-Customer-Id";

// The earlier of the caller's timeout and the service's.
TimePoint DeadlineOf(const HttpRequest& request,
                     Duration service_deadline,
                     TimePoint now);

// Whose share of `service` the request counts to: that of the customer whom
// the caller names, if it does.
std::string FlowOf(std::string_view service, const HttpRequest& request);

// Tells a target how long is left.
void SetTimeoutHeader(HttpRequest& request, TimePoint deadline, TimePoint now);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_REQUEST_HEADERS_H_
