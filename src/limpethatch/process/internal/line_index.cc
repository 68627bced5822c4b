#include "limpethatch/process/internal/line_index.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <cstdint>
#include <utility>

#include "limpethatch/process/json_document.h"

namespace limpethatch::internal {
namespace {

using boost::json::error_code;
using boost::json::string_view;

// Limit on the total size of all paths; a manifest of 1,000 services needs
// about 0.5 MB.
constexpr size_t kMaxPathBytes = 16UL * 1024 * 1024;

// Parse handler that records the current line at each key and element.
class LineHandler {
 public:
  static constexpr std::size_t max_object_size = SIZE_MAX;  // NOLINT
  static constexpr std::size_t max_array_size = SIZE_MAX;   // NOLINT
  static constexpr std::size_t max_key_size = SIZE_MAX;     // NOLINT
  static constexpr std::size_t max_string_size = SIZE_MAX;  // NOLINT

  int line = 1;
  LineIndex index;

  bool on_document_begin(error_code& /*error*/) { return true; }
  bool on_document_end(error_code& /*error*/) { return true; }
  bool on_object_begin(error_code& error) { return Open(false, error); }
  bool on_object_end(std::size_t /*size*/, error_code& /*error*/) {
    return Close();
  }
  bool on_array_begin(error_code& error) { return Open(true, error); }
  bool on_array_end(std::size_t /*size*/, error_code& /*error*/) {
    return Close();
  }
  bool on_key_part(string_view part, std::size_t /*size*/, error_code& /*e*/) {
    key_.append(part.data(), part.size());
    return true;
  }
  bool on_key(string_view part, std::size_t /*size*/, error_code& error) {
    key_.append(part.data(), part.size());
    stack_.back().member = std::exchange(key_, {});
    std::string path = MemberPath();
    if (!AddPathBytes(path, error)) {
      return false;
    }
    const auto [position, inserted] =
        index.lines.emplace(std::move(path), line);
    if (!inserted) {
      index.duplicate_keys.push_back(position->first);
    }
    return true;
  }
  bool on_string_part(string_view /*p*/, std::size_t /*n*/, error_code& /*e*/) {
    return true;
  }
  bool on_string(string_view /*part*/, std::size_t /*n*/, error_code& error) {
    return Scalar(error);
  }
  bool on_number_part(string_view /*part*/, error_code& /*error*/) {
    return true;
  }
  bool on_int64(int64_t /*i*/, string_view /*text*/, error_code& error) {
    return Scalar(error);
  }
  bool on_uint64(uint64_t /*u*/, string_view /*text*/, error_code& error) {
    return Scalar(error);
  }
  bool on_double(double /*d*/, string_view /*text*/, error_code& error) {
    return Scalar(error);
  }
  bool on_bool(bool /*flag*/, error_code& error) { return Scalar(error); }
  bool on_null(error_code& error) { return Scalar(error); }
  bool on_comment_part(string_view /*part*/, error_code& /*error*/) {
    return true;
  }
  bool on_comment(string_view /*part*/, error_code& /*error*/) { return true; }

 private:
  struct Level {
    std::string path;
    std::string member;
    bool array = false;
    int element = 0;
  };

  std::string MemberPath() const {
    if (stack_.empty()) {
      return {};
    }
    const Level& top = stack_.back();
    return JoinPath(top.path,
                    top.array ? std::to_string(top.element) : top.member);
  }

  // Long keys around many members would make the index far larger than the
  // text; such a text is rejected.
  bool AddPathBytes(const std::string& path, error_code& error) {
    path_bytes_ += path.size();
    if (path_bytes_ > kMaxPathBytes) {
      error = boost::json::error::object_too_large;
      return false;
    }
    return true;
  }

  bool Open(bool array, error_code& error) {
    std::string path = MemberPath();
    if (!AddPathBytes(path, error)) {
      return false;
    }
    index.lines.emplace(path, line);
    stack_.push_back(Level{std::move(path), {}, array, 0});
    return true;
  }

  bool Close() {
    stack_.pop_back();
    return AdvanceElement();
  }

  bool Scalar(error_code& error) {
    std::string path = MemberPath();
    if (!AddPathBytes(path, error)) {
      return false;
    }
    index.lines.emplace(std::move(path), line);
    return AdvanceElement();
  }

  bool AdvanceElement() {
    if (!stack_.empty() && stack_.back().array) {
      ++stack_.back().element;
    }
    return true;
  }

  size_t path_bytes_ = 0;
  std::string key_;
  std::vector<Level> stack_;
};

// Returns the end of the comment that begins at `start`: the position after a
// block comment, or the newline that ends a line comment.
size_t CommentEnd(std::string_view text, size_t start) {
  if (text[start + 1] == '/') {
    return std::min(text.find('\n', start), text.size());
  }
  const size_t end = text.find("*/", start + 2);
  return end == std::string_view::npos ? text.size() : end + 2;
}

// Replaces each comment with spaces and keeps the line breaks. Needed because
// the parser loses its position if a comment is split between two calls of
// write_some.
std::string BlankOutComments(std::string_view text) {
  std::string blanked(text);
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    if (in_string && text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      in_string = !in_string;
    } else if (!in_string &&
               (text.substr(i, 2) == "//" || text.substr(i, 2) == "/*")) {
      const size_t end = CommentEnd(text, i);
      std::replace_if(
          blanked.begin() + static_cast<std::ptrdiff_t>(i),
          blanked.begin() + static_cast<std::ptrdiff_t>(end),
          [](char c) { return c != '\n'; }, ' ');
      i = end - 1;
    }
  }
  return blanked;
}

std::string DescribeError(const error_code& error) {
  if (error == boost::json::error::incomplete) {
    return "a bracket or a quote is not closed";
  }
  if (error == boost::json::error::object_too_large) {
    return "too many members under long keys; shorten the keys";
  }
  return error.message();
}

}  // namespace

LineIndex IndexLines(std::string_view text) {
  boost::json::parse_options options;
  options.allow_trailing_commas = true;
  boost::json::basic_parser<LineHandler> parser(options);
  error_code error;
  LineHandler& handler = parser.handler();
  const std::string blanked = BlankOutComments(text);
  // Parses line by line because the parser does not report its position.
  for (size_t start = 0; start < blanked.size() && !error;) {
    const size_t newline = std::min(blanked.find('\n', start), blanked.size());
    const size_t end = std::min(newline + 1, blanked.size());
    parser.write_some(true, blanked.data() + start, end - start, error);
    start = end;
    handler.line += error || start == blanked.size() ? 0 : 1;
  }
  if (!error) {
    parser.write_some(false, "", 0, error);
  }
  if (error) {
    handler.index.fault_line = handler.line;
    handler.index.fault = DescribeError(error);
  }
  return std::move(handler.index);
}

}  // namespace limpethatch::internal
