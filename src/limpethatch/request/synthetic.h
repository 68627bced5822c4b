// Answers that stand-in targets give and checkers recompute: each is a
// function of the request alone, so that any loss, mix-up or false label
// shows.
#ifndef LIMPETHATCH_REQUEST_SYNTHETIC_H_
#define LIMPETHATCH_REQUEST_SYNTHETIC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/request/generation.h"

namespace limpethatch {

// How many tokens answers have: lognormal, and a share is longer still.
struct SyntheticLengths {
  double median_tokens = 120;
  double sigma = 0.5;
  double long_share = 0.02;
  double long_factor = 10;
};

// Each token is as many bytes: four letters that follow from key and index,
// one that names the weight version, and a space.
inline constexpr size_t kSyntheticTokenBytes = 6;

// What a prompt and a sample's seed determine.
uint64_t SyntheticKey(std::string_view prompt, uint64_t seed);

// At least 1 and at most `max_tokens`.
uint32_t SyntheticLength(uint64_t key,
                         const SyntheticLengths& lengths,
                         uint32_t max_tokens);

// Appends the token at `index` as weights of `version` make it.
void AppendSyntheticToken(uint64_t key,
                          uint32_t index,
                          uint64_t version,
                          std::string* text);

// The text of tokens [first, end) as the versions of `ranges` make it.
std::string SyntheticText(uint64_t key,
                          const std::vector<TokenRange>& ranges,
                          uint32_t first,
                          uint32_t end);

// The body that answers a stock lookup at `path`.
std::string SyntheticStock(std::string_view path);

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_SYNTHETIC_H_
