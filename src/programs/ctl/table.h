// Plain-text tables and bars.
#ifndef LIMPETHATCH_PROGRAMS_CTL_TABLE_H_
#define LIMPETHATCH_PROGRAMS_CTL_TABLE_H_

#include <string>
#include <vector>

namespace limpethatch {

class Table {
 public:
  explicit Table(std::vector<std::string> header);

  void AddRow(std::vector<std::string> row);
  // One line per row; each column is padded to its widest cell.
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// A bar of `width` characters, filled by `fraction`, which is clamped to
// [0, 1].
std::string TextBar(double fraction, size_t width);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_TABLE_H_
