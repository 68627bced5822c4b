// Request headers for deadlines and customers.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_REQUEST_HEADERS_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_REQUEST_HEADERS_H_

#include <string>
#include <string_view>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/process/clock.h"

namespace limpethatch {

// Milliseconds for which the sender still waits. Used in requests from callers
// and to targets.
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";

// The customer on whose behalf the caller sends the request, for services that
// several customers share.
inline constexpr std::string_view kCustomerHeader = "X-Customer-Id";

// Returns the earlier of the caller's deadline and the service's.
TimePoint DeadlineOf(const HttpRequest& request,
                     Duration service_deadline,
                     TimePoint now);

// Returns the admission flow of the request. There is one for each service and
// customer, and one for requests that name no customer.
std::string FlowOf(std::string_view service, const HttpRequest& request);

// Sets kTimeoutHeader to the time left until `deadline`, at least 0.
void SetTimeoutHeader(HttpRequest& request, TimePoint deadline, TimePoint now);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_REQUEST_HEADERS_H_
