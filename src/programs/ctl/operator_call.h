// HTTP calls to the operator interface of an instance.
#ifndef LIMPETHATCH_PROGRAMS_CTL_OPERATOR_CALL_H_
#define LIMPETHATCH_PROGRAMS_CTL_OPERATOR_CALL_H_

#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

// Exit codes; they are part of the command-line interface.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFault =
    1;  // A file is invalid, unreadable or not writable, or the id is unknown.
inline constexpr int kExitUsage = 2;     // Wrong options or arguments.
inline constexpr int kExitConflict = 3;  // Another version is in force.
inline constexpr int kExitUnreachable =
    4;  // No instance was reached; nothing was done.
inline constexpr int kExitRefused = 5;    // Refused by the instance.
inline constexpr int kExitUncertain = 6;  // It may have taken effect.

// Addresses, key and timeout for calls to instances.
struct OperatorAccess {
  std::vector<Endpoint> instances;  // Tried in order.
  std::string key;                  // Not sent if empty.
  Duration timeout = std::chrono::seconds(5);
};

struct OperatorResponse {
  bool reached = false;
  // The request was sent but not answered; it may have taken effect.
  bool uncertain = false;
  int status = 0;
  boost::json::value body;
  std::string text;  // The unparsed body.
};

// Calls the instances in order until one responds.
OperatorResponse CallOperator(const OperatorAccess& access,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body = "");

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_OPERATOR_CALL_H_
