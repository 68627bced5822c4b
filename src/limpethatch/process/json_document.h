// A parsed JSON document (comments allowed) that records the line of each
// value, so that faults can be reported with their position.
#ifndef LIMPETHATCH_PROCESS_JSON_DOCUMENT_H_
#define LIMPETHATCH_PROCESS_JSON_DOCUMENT_H_

#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpethatch {

// An error in a document.
struct JsonFault {
  // Such as "services.order-desk.deadline"; empty for the whole document.
  std::string path;
  int line = 0;  // From 1; 0 if unknown.
  std::string problem;

  std::string ToString() const;
};

using JsonFaults = std::vector<JsonFault>;

class JsonDocument {
 public:
  // Parses `text`. On a syntax error, adds it to `faults` and leaves the root
  // null. Duplicate keys are added to `faults` as well.
  JsonDocument(std::string_view text, JsonFaults& faults);

  const boost::json::value& root() const { return root_; }
  // Returns the line of the key or the start of the value at `path`; 0 if
  // unknown.
  int LineOf(std::string_view path) const;

 private:
  boost::json::value root_;
  std::map<std::string, int, std::less<>> lines_;
};

// Returns the path of member `key` of the value at `path`.
std::string JoinPath(std::string_view path, std::string_view key);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_JSON_DOCUMENT_H_
