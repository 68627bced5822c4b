#include "limpethatch/request/synthetic.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace limpethatch {
namespace {

constexpr int kLettersPerToken = 4;
constexpr uint64_t kAlphabet = 26;

// Random draws for one key; independent of each other and of its tokens.
enum class Draw : uint64_t { kRadius = 1ULL << 40, kAngle, kLong };

uint64_t SeededHash(uint64_t key, uint64_t index) {
  return XXH3_64bits_withSeed(&index, sizeof(index), key);
}

// Uniformly distributed in (0, 1].
double Uniform(uint64_t key, Draw draw) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return (static_cast<double>(SeededHash(key, static_cast<uint64_t>(draw)) >>
                              11) +
          1) *
         kScale;
}

double Normal(uint64_t key) {
  return std::sqrt(-2 * std::log(Uniform(key, Draw::kRadius))) *
         std::cos(2 * std::numbers::pi * Uniform(key, Draw::kAngle));
}

}  // namespace

uint64_t SyntheticKey(std::string_view prompt, uint64_t seed) {
  return XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed);
}

uint32_t SyntheticLength(uint64_t key,
                         const SyntheticLengths& lengths,
                         uint32_t max_tokens) {
  double tokens = lengths.median_tokens * std::exp(lengths.sigma * Normal(key));
  if (Uniform(key, Draw::kLong) <= lengths.long_share) {
    tokens *= lengths.long_factor;
  }
  const double most = std::max<uint32_t>(max_tokens, 1);
  return static_cast<uint32_t>(std::clamp(std::round(tokens), 1.0, most));
}

void AppendSyntheticToken(uint64_t key,
                          uint32_t index,
                          uint64_t version,
                          std::string* text) {
  uint64_t letters = SeededHash(key, index);
  for (int i = 0; i < kLettersPerToken; ++i) {
    text->push_back(static_cast<char>('a' + letters % kAlphabet));
    letters /= kAlphabet;
  }
  text->push_back(static_cast<char>('a' + version % kAlphabet));
  text->push_back(' ');
}

std::string SyntheticText(uint64_t key,
                          const std::vector<TokenRange>& ranges,
                          uint32_t first,
                          uint32_t end) {
  std::string text;
  for (const TokenRange& range : ranges) {
    const uint32_t last = std::min(end, range.end_token);
    for (uint32_t i = std::max(first, range.first_token); i < last; ++i) {
      AppendSyntheticToken(key, i, range.version, &text);
    }
  }
  return text;
}

std::string SyntheticStock(std::string_view path) {
  constexpr uint64_t kMaxItems = 1000;
  const uint64_t digest = XXH3_64bits(path.data(), path.size());
  return fmt::format(R"({{"path":"{}","in_stock":{},"check":"{:016x}"}})", path,
                     digest % kMaxItems, digest);
}

}  // namespace limpethatch
