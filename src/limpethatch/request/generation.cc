#include "limpethatch/request/generation.h"

#include <algorithm>
#include <utility>

#include "limpethatch/request/digest.h"

namespace limpethatch {
namespace {

class GenerationCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "generation"; }
  std::string message(int code) const override {
    return code == static_cast<int>(GenerationError::kGap)
               ? "a piece of the completion is missing"
               : "the end of the completion contradicts its pieces";
  }
};

// Appends the range, or extends the last one if the version is the same.
void AppendRange(std::vector<TokenRange>& ranges, const TokenRange& range) {
  if (!ranges.empty() && ranges.back().version == range.version) {
    ranges.back().end_token = range.end_token;
    return;
  }
  ranges.push_back(range);
}

}  // namespace

std::error_code make_error_code(GenerationError error) {
  static const GenerationCategory category;
  return {static_cast<int>(error), category};
}

std::error_code Generation::Append(const GenerationPiece& piece) {
  if (piece.first_token != tokens_) {
    return GenerationError::kGap;
  }
  if (piece.tokens == 0) {
    return piece.text.empty() ? std::error_code()
                              : make_error_code(GenerationError::kGap);
  }
  text_ += piece.text;
  tokens_ += piece.tokens;
  const TokenRange range{piece.version, piece.first_token, tokens_};
  AppendRange(ranges_, range);
  AppendRange(appended_ranges_, range);
  return {};
}

void Generation::Resume(std::string_view text, std::vector<TokenRange> ranges) {
  text_ = text;
  tokens_ = ranges.empty() ? 0 : ranges.back().end_token;
  ranges_ = std::move(ranges);
  resumed_bytes_ = text_.size();
}

std::error_code Generation::Verify(const GenerationEnd& end) const {
  const std::string_view appended =
      std::string_view(text_).substr(resumed_bytes_);
  const bool fits = end.tokens == tokens_ && end.ranges == appended_ranges_ &&
                    end.digest == ContentDigest(appended);
  return fits ? std::error_code()
              : make_error_code(GenerationError::kInconsistentEnd);
}

uint64_t Generation::Digest() const {
  return ContentDigest(text_);
}

uint64_t Generation::OldestVersion() const {
  uint64_t oldest = UINT64_MAX;
  for (const TokenRange& range : ranges_) {
    oldest = std::min(oldest, range.version);
  }
  return oldest;
}

}  // namespace limpethatch
