// HTTP responses with a JSON body.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_JSON_RESPONSE_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_JSON_RESPONSE_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string_view>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/request/refusal.h"

namespace limpethatch {

HttpResponse JsonResponse(int status, const boost::json::value& body);

// Returns {"error": {"code", "message", "ran"}}.
boost::json::object RefusalJson(const Refusal& refusal);

// Set in every refusal by this program and never in a target's answer. The
// value is "not_run", "may_have_run" or "ran".
inline constexpr std::string_view kRanHeader = "Limpethatch-Ran";

// Returns RefusalJson as a response, with Retry-After if the refusal has it.
HttpResponse RefusalResponse(const Refusal& refusal);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_JSON_RESPONSE_H_
