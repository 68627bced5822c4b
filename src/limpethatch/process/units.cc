#include "limpethatch/process/units.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>

#include "limpethatch/process/bounded_number.h"

namespace limpethatch {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};

// In nanoseconds.
constexpr std::array<Unit, 5> kTimeUnits{
    {{"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"min", 60e9}, {"h", 3600e9}}};
// In bytes.
constexpr std::array<Unit, 4> kSizeUnits{
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1073741824.0}}};

constexpr double kMaxValue = 9e18;

// Parses a number and a unit, such as "1.5s", and multiplies the number by the
// factor of the unit.
template <size_t N>
bool ParseWithUnit(std::string_view text,
                   const std::array<Unit, N>& units,
                   double* value) {
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || !std::isfinite(number) || number < 0) {
    return false;
  }
  const std::string_view unit(end, text.data() + text.size() - end);
  for (const Unit& candidate : units) {
    if (candidate.name == unit) {
      *value = number * candidate.factor;
      return *value < kMaxValue;
    }
  }
  return false;
}

}  // namespace

bool ParseDuration(std::string_view text, Duration* duration) {
  double nanoseconds = 0;
  if (!ParseWithUnit(text, kTimeUnits, &nanoseconds) ||
      nanoseconds > static_cast<double>(kMaxBoundedTime.count())) {
    return false;
  }
  *duration = std::chrono::nanoseconds(std::llround(nanoseconds));
  return true;
}

bool ParseByteSize(std::string_view text, uint64_t* bytes) {
  double value = 0;
  if (!ParseWithUnit(text, kSizeUnits, &value)) {
    return false;
  }
  *bytes = BoundedSize(value);
  return true;
}

std::string FormatDuration(Duration duration) {
  const double nanoseconds =
      std::chrono::duration<double, std::nano>(duration).count();
  const Unit* best = &kTimeUnits[0];
  for (const Unit& unit : kTimeUnits) {
    if (nanoseconds >= unit.factor) {
      best = &unit;
    }
  }
  return fmt::format("{:.6g}{}", nanoseconds / best->factor, best->name);
}

}  // namespace limpethatch
