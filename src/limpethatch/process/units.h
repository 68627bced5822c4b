// Parsing and formatting of durations and sizes with units.
#ifndef LIMPETHATCH_PROCESS_UNITS_H_
#define LIMPETHATCH_PROCESS_UNITS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Parses a duration with a unit of us, ms, s, min or h, such as "1.5s". Returns
// false for any other text and for more than kMaxBoundedTime.
bool ParseDuration(std::string_view text, Duration* duration);

// Parses a size with a unit of B, KiB, MiB or GiB, such as "16KiB", bounded by
// kMaxBoundedSize. Returns false for any other text.
bool ParseByteSize(std::string_view text, uint64_t* bytes);

// Formats a duration for ParseDuration, in the largest unit in which it is at
// least 1.
std::string FormatDuration(Duration duration);

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_UNITS_H_
