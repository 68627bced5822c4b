// Answers in JSON.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_JSON_RESPONSE_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_JSON_RESPONSE_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string_view>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/request/refusal.h"

namespace limpethatch {

HttpResponse JsonResponse(int status, const boost::json::value& body);

// {"error": {"code", "message", "ran"}}.
boost::json::object RefusalJson(const Refusal& refusal);

// Stands in every refusal of the system's own, and in no target's answer:
// "not_run", "may_have_run" or "ran".
inline constexpr std::string_view kRanHeader = "Limpethatch-Ran";

// The same as a response, with Retry-After if it is stated.
HttpResponse RefusalResponse(const Refusal& refusal);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_JSON_RESPONSE_H_
