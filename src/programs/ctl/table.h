// Plain text tables.
#ifndef LIMPETHATCH_PROGRAMS_CTL_TABLE_H_
#define LIMPETHATCH_PROGRAMS_CTL_TABLE_H_

#include <string>
#include <vector>

namespace limpethatch {

class Table {
 public:
  explicit Table(std::vector<std::string> header);

  void AddRow(std::vector<std::string> row);
  // Columns padded to their widest cell, one row a line.
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// `share` from 0 to 1 as a bar of `width` characters.
std::string TextBar(double fraction, size_t width);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CTL_TABLE_H_
