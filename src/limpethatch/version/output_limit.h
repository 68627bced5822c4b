// Limits of the text that an engine may generate for a sample.
//
// An engine that exceeds them is faulty: it sends events without an end, each
// of which is valid by itself.
#ifndef LIMPETHATCH_VERSION_OUTPUT_LIMIT_H_
#define LIMPETHATCH_VERSION_OUTPUT_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "fleet.pb.h"

namespace limpethatch {

struct OutputLimit {
  // Each event but a few has a token.
  uint32_t events = 0;
  size_t bytes = 0;
};

// Longest text of a sample that does not state its tokens, in bytes. A result
// has to fit into a page.
inline constexpr size_t kMaxTextBytes = 900UL * 1024;
// Consecutive events without text.
inline constexpr uint32_t kMaxEmptyEvents = 16;

// From the most output tokens that the sample states, with a margin for engines
// that count differently.
OutputLimit OutputLimitOf(const wire::JobSample& sample);

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_OUTPUT_LIMIT_H_
