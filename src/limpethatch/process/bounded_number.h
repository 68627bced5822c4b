// Conversion of numbers that come from outside the process: from callers,
// operators, targets, peers and files. A number that no time, size or count of
// a deployment reaches becomes the nearest bound, the same on every platform,
// and sums and small multiples of the results do not overflow.
#ifndef LIMPETHATCH_PROCESS_BOUNDED_NUMBER_H_
#define LIMPETHATCH_PROCESS_BOUNDED_NUMBER_H_

#include <charconv>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Ten years. A time point of any clock stays valid when this is added to it or
// subtracted from it, also several times over.
inline constexpr Duration kMaxBoundedTime = std::chrono::hours(24 * 365 * 10);
// Of bytes and tokens. The largest number that every JSON reader and writer
// keeps exactly.
inline constexpr uint64_t kMaxBoundedSize = (uint64_t{1} << 53U) - 1;

template <typename T>
concept Number = std::is_arithmetic_v<T> && !std::same_as<T, bool>;

// The number without its fraction, bounded by the range of `To`; 0 for NaN.
template <std::integral To, Number From>
constexpr To BoundedCast(From number) {
  using Limits = std::numeric_limits<To>;
  if constexpr (std::integral<From>) {
    return std::cmp_less(number, Limits::min())      ? Limits::min()
           : std::cmp_greater(number, Limits::max()) ? Limits::max()
                                                     : static_cast<To>(number);
  } else {
    // The largest value of `To` may be rounded up here, hence `>=`.
    return number >= static_cast<From>(Limits::max())   ? Limits::max()
           : number <= static_cast<From>(Limits::min()) ? Limits::min()
           : number == number ? static_cast<To>(number)
                              : To{0};
  }
}

// A size of at most kMaxBoundedSize.
template <Number From>
constexpr uint64_t BoundedSize(From number) {
  const auto size = BoundedCast<uint64_t>(number);
  return size < kMaxBoundedSize ? size : kMaxBoundedSize;
}

// `count` units of time, from 0 to kMaxBoundedTime; 0 for NaN.
template <typename Unit, Number Count>
constexpr Duration BoundedTime(Count count) {
  constexpr auto kUnit = std::chrono::duration_cast<Duration>(Unit(1));
  static_assert(kUnit > Duration::zero());
  if constexpr (std::integral<Count>) {
    return std::cmp_less(count, 0) ? Duration::zero()
           : std::cmp_greater(count, kMaxBoundedTime / kUnit)
               ? kMaxBoundedTime
               : kUnit * static_cast<Duration::rep>(count);
  } else {
    const Count time = count * static_cast<Count>(kUnit.count());
    return time >= static_cast<Count>(kMaxBoundedTime.count()) ? kMaxBoundedTime
           : time > 0 ? Duration(static_cast<Duration::rep>(time))
                      : Duration::zero();
  }
}

// The whole number with which the text begins, bounded by the range of `To`;
// nullopt if it begins with none. What follows the digits is left in `rest`.
template <std::unsigned_integral To>
std::optional<To> ParseBounded(std::string_view text,
                               std::string_view* rest = nullptr) {
  To number = 0;
  const char* const end_of_text = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), end_of_text, number);
  if (error == std::errc::invalid_argument) {
    return std::nullopt;
  }
  if (rest) {
    *rest = std::string_view(end, static_cast<size_t>(end_of_text - end));
  }
  return error == std::errc() ? number : std::numeric_limits<To>::max();
}

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROCESS_BOUNDED_NUMBER_H_
