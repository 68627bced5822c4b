#include "limpethatch/version/output_limit.h"

#include <algorithm>

namespace limpethatch {
namespace {

constexpr uint64_t kMaxEvents = 100'000;
// Twice as many tokens as stated are accepted, each of at most this length.
constexpr uint64_t kMargin = 2;
constexpr uint64_t kMaxBytesPerToken = 128;

}  // namespace

OutputLimit OutputLimitOf(const wire::JobSample& sample) {
  if (sample.tokens() <= sample.prompt_tokens()) {
    return {kMaxEvents, kMaxTextBytes};
  }
  // The stated number comes from a caller and may be of any size.
  const uint64_t tokens =
      std::min(sample.tokens() - sample.prompt_tokens(), kMaxEvents) * kMargin;
  return {static_cast<uint32_t>(std::min(tokens, kMaxEvents)),
          static_cast<size_t>(
              std::min<uint64_t>(tokens * kMaxBytesPerToken, kMaxTextBytes))};
}

}  // namespace limpethatch
