// Reconstructs what happened to a request, batch job, sample or configuration
// from the logs of all processes.
#ifndef LIMPETHATCH_PROGRAMS_CTL_EXPLANATION_H_
#define LIMPETHATCH_PROGRAMS_CTL_EXPLANATION_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpethatch {

// A log line that refers to the explained object, or a weight order to one of
// its targets.
struct LoggedEvent {
  std::string time;  // As logged; the clocks of processes may differ.
  std::string instance;
  std::string event;
  boost::json::object fields;
  size_t line_index = 0;  // Among the parsed lines of its log file.
};

struct Explanation {
  std::vector<LoggedEvent> events;  // By time, instance and position.
  std::string cause;                // One sentence for the operator.
  size_t unparsed_lines = 0;        // Lines that are not JSON objects.
};

// `id` is the id of a request, batch job or sample, or "configuration/N".
// Each element of `logs` is the text of one file. Weight orders that a target
// received between the first and the last event are included.
Explanation Explain(std::string_view id, const std::vector<std::string>& logs);

// The events as a table, followed by the cause.
std::string ToText(const Explanation& explanation);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_EXPLANATION_H_
