#include "limpethatch/process/json_document.h"

#include <fmt/format.h>

#include <boost/json/parse.hpp>

#include "limpethatch/process/internal/line_index.h"

namespace limpethatch {

std::string JsonFault::ToString() const {
  std::string where = line > 0 ? fmt::format("line {}: ", line) : "";
  if (!path.empty()) {
    where += path + ": ";
  }
  return where + problem;
}

std::string JoinPath(std::string_view path, std::string_view key) {
  return path.empty() ? std::string(key) : fmt::format("{}.{}", path, key);
}

JsonDocument::JsonDocument(std::string_view text, JsonFaults& faults) {
  internal::LineIndex index = internal::IndexLines(text);
  lines_ = std::move(index.lines);
  if (!index.fault.empty()) {
    faults.push_back(
        {"", index.fault_line, fmt::format("not valid JSON: {}", index.fault)});
    return;
  }
  for (const std::string& path : index.duplicate_keys) {
    faults.push_back({path, LineOf(path), "this key stands twice; remove one"});
  }
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::json::error_code error;
  root_ =
      boost::json::parse(boost::json::string_view(text), error, {}, options);
  if (error) {
    faults.push_back(
        {"", 0, fmt::format("not valid JSON: {}", error.message())});
  }
}

int JsonDocument::LineOf(std::string_view path) const {
  const auto found = lines_.find(path);
  return found == lines_.end() ? 0 : found->second;
}

}  // namespace limpethatch
