#include "limpethatch/process/bounded_number.h"

#include <rapidcheck.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
constexpr uint64_t kMax64 = std::numeric_limits<uint64_t>::max();
constexpr uint32_t kMax32 = std::numeric_limits<uint32_t>::max();

}  // namespace

Test(bounded_number, a_cast_out_of_range_yields_the_nearest_bound) {
  cr_assert_eq(BoundedCast<uint32_t>(uint64_t{1} << 32U), kMax32);
  cr_assert_eq(BoundedCast<uint32_t>(-1), 0);
  cr_assert_eq(BoundedCast<uint32_t>(7.9), 7);
  for (const double large : {4294967296.0, 1e19, 1e300, kInfinity}) {
    cr_assert_eq(BoundedCast<uint32_t>(large), kMax32);
  }
  cr_assert_eq(BoundedCast<uint64_t>(18446744073709551616.0), kMax64);
  cr_assert_eq(BoundedCast<int64_t>(-1e300),
               std::numeric_limits<int64_t>::min());
  for (const double nothing : {kNan, -0.5, -1e300, -kInfinity}) {
    cr_assert_eq(BoundedCast<uint64_t>(nothing), 0);
  }
  cr_assert_eq(BoundedSize(kMax64), kMaxBoundedSize);
  cr_assert_eq(BoundedSize(uint64_t{33'554'432}), 33'554'432);
}

Test(bounded_number, times_beyond_the_bound_yield_the_bound) {
  cr_assert(BoundedTime<milliseconds>(uint64_t{1500}) == milliseconds(1500));
  cr_assert(BoundedTime<seconds>(0.25) == milliseconds(250));
  for (const uint64_t large :
       {uint64_t{9'223'372'036'855}, uint64_t{9'999'999'999'000},
        uint64_t{1} << 63U, kMax64}) {
    cr_assert(BoundedTime<milliseconds>(large) == kMaxBoundedTime);
    cr_assert(BoundedTime<seconds>(large) == kMaxBoundedTime);
  }
  for (const double large : {9999999999.0, 1e19, 1e300, kInfinity}) {
    cr_assert(BoundedTime<seconds>(large) == kMaxBoundedTime);
  }
  for (const double nothing : {kNan, -1.0, -1e300, -kInfinity}) {
    cr_assert(BoundedTime<seconds>(nothing) == Duration::zero());
  }
  cr_assert(BoundedTime<milliseconds>(-5) == Duration::zero());
}

Test(bounded_number, a_longer_time_never_becomes_a_shorter_one) {
  cr_assert(rc::check("times are monotonic", [](uint64_t a, uint64_t b) {
    const auto [less, more] = std::minmax(a, b);
    const Duration shorter = BoundedTime<milliseconds>(less);
    const Duration longer = BoundedTime<milliseconds>(more);
    RC_ASSERT(shorter >= Duration::zero());
    RC_ASSERT(shorter <= longer);
    // Deadlines and ages can be worked out with them.
    const TimePoint now = Clock::now();
    RC_ASSERT(now + longer >= now);
    RC_ASSERT(now - longer <= now);
    RC_ASSERT(2 * longer + shorter >= longer);
  }));
}

Test(bounded_number, a_text_with_too_many_digits_is_the_largest_number) {
  cr_assert_eq(ParseBounded<uint64_t>("18446744073709551616"), kMax64);
  cr_assert_eq(ParseBounded<uint32_t>("4294967296"), kMax32);
  cr_assert_eq(ParseBounded<uint64_t>("12"), 12);
  for (const char* nothing : {"", "-1", "x", " 1", "+1"}) {
    cr_assert_not(ParseBounded<uint64_t>(nothing).has_value());
  }
  std::string_view rest;
  cr_assert_eq(ParseBounded<uint32_t>("99999999999,3", &rest), kMax32);
  cr_assert(rest == ",3");
}

}  // namespace limpethatch
