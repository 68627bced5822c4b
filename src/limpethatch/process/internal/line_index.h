// Maps each member and element of a JSON text to its line.
#ifndef LIMPETHATCH_PROCESS_INTERNAL_LINE_INDEX_H_
#define LIMPETHATCH_PROCESS_INTERNAL_LINE_INDEX_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpethatch::internal {

// Lines by path. `fault_line` and `fault` are set if the text is not valid
// JSON. `duplicate_keys` has the paths of keys that occur twice in an object.
struct LineIndex {
  std::map<std::string, int, std::less<>> lines;
  std::vector<std::string> duplicate_keys;
  int fault_line = 0;
  std::string fault;
};

LineIndex IndexLines(std::string_view text);

}  // namespace limpethatch::internal

#endif  // LIMPETHATCH_PROCESS_INTERNAL_LINE_INDEX_H_
