// The text of one completion as it grows, and the weight versions that made
// each part of it.
#ifndef LIMPETHATCH_REQUEST_GENERATION_H_
#define LIMPETHATCH_REQUEST_GENERATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace limpethatch {

// Tokens first_token .. end_token - 1 were made by `version`.
struct TokenRange {
  uint64_t version = 0;
  uint32_t first_token = 0;
  uint32_t end_token = 0;

  bool operator==(const TokenRange&) const = default;
};

// A piece of a completion as an engine states it.
struct GenerationPiece {
  std::string text;
  uint32_t first_token = 0;
  uint32_t tokens = 0;
  uint64_t version = 0;
};

// What an engine states at the end of a completion.
struct GenerationEnd {
  std::string finish_reason;
  uint32_t tokens = 0;
  std::vector<TokenRange> ranges;
  uint64_t digest = 0;
};

enum class GenerationError {
  kGap = 1,          // A piece does not follow the one before it.
  kInconsistentEnd,  // The end does not fit the pieces.
};

std::error_code make_error_code(GenerationError error);

class Generation {
 public:
  // kGap if the piece does not begin where the text ends.
  std::error_code Append(const GenerationPiece& piece);

  // Takes over what an earlier attempt reached, before the first Append. The
  // ranges must be given in order and cover the text.
  void Resume(std::string_view text, std::vector<TokenRange> ranges);

  // kInconsistentEnd unless the count, which includes what was taken over, and
  // ranges and digest, which do not, fit what was appended.
  std::error_code Verify(const GenerationEnd& end) const;

  const std::string& text() const { return text_; }
  uint32_t tokens() const { return tokens_; }
  const std::vector<TokenRange>& ranges() const { return ranges_; }
  uint64_t Digest() const;
  // The oldest version that made a token; UINT64_MAX before the first.
  uint64_t OldestVersion() const;

 private:
  std::string text_;
  uint32_t tokens_ = 0;
  std::vector<TokenRange> ranges_;
  size_t resumed_bytes_ = 0;
  std::vector<TokenRange> appended_ranges_;
};

}  // namespace limpethatch

template <>
struct std::is_error_code_enum<limpethatch::GenerationError> : std::true_type {
};

#endif  // LIMPETHATCH_REQUEST_GENERATION_H_
