// Explains afterwards what became of a request, batch job, sample or
// configuration, from the logs of all processes.
#ifndef LIMPETHATCH_PROGRAMS_CTL_EXPLANATION_H_
#define LIMPETHATCH_PROGRAMS_CTL_EXPLANATION_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpethatch {

// One line of a log that has to do with the matter.
struct LoggedEvent {
  std::string time;  // As logged; wall clocks of processes may differ.
  std::string instance;
  std::string event;
  boost::json::object fields;
  size_t line_index = 0;  // Within its process.
};

struct Explanation {
  std::vector<LoggedEvent> events;  // By time; in order within a process.
  std::string cause;                // One sentence.
  size_t unparsed_lines = 0;        // Lines that are not JSON objects.
};

// `id` is the id of a request, batch job or sample, or "configuration/N".
// Each element of `logs` is the text of one file. Orders that an engine was
// given while it ran the sample belong to the matter as well.
Explanation Explain(std::string_view id, const std::vector<std::string>& logs);

// A table of the events and the cause below it.
std::string ToText(const Explanation& explanation);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_EXPLANATION_H_
