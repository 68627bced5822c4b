#include "programs/ctl/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpethatch {

Table::Table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void Table::AddRow(std::vector<std::string> row) {
  rows_.push_back(std::move(row));
}

std::string Table::ToString() const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < std::min(row.size(), widths.size()); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < std::min(row.size(), widths.size()); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string TextBar(double fraction, size_t width) {
  const double filled =
      std::clamp(fraction, 0.0, 1.0) * static_cast<double>(width);
  std::string bar(static_cast<size_t>(std::lround(filled)), '#');
  bar.resize(width, '.');
  return bar;
}

}  // namespace limpethatch
