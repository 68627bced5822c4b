#include "limpethatch/request/live_reserve.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

}  // namespace

Test(live_reserve, rises_at_once_when_requests_wait_and_once_for_each_report) {
  LiveReserve reserve;
  reserve.Observe(2, 0, kStart, kStart);
  cr_assert_eq(reserve.slots(2), 3);
  const TimePoint report = kStart + kMillisecond;
  reserve.Observe(2, 3, report, report);
  reserve.Observe(2, 3, report, report + kMillisecond);
  cr_assert_eq(reserve.slots(2), 6);
}

Test(live_reserve, leaves_one_slot_more_than_live_requests_use) {
  LiveReserve reserve;
  reserve.Observe(4, 0, kStart, kStart);
  cr_assert_eq(reserve.slots(1), 5);
  cr_assert_eq(reserve.slots(6), 6);
}

Test(live_reserve, ignores_a_single_request_as_report_lag) {
  LiveReserve reserve;
  reserve.Observe(1, 0, kStart, kStart);
  cr_assert_eq(reserve.slots(1), 1);
}

Test(live_reserve, decreases_slot_by_slot_to_the_declared_reserve) {
  LiveReserve reserve;
  reserve.Observe(3, 0, kStart, kStart);
  TimePoint now = kStart;
  for (uint32_t left = 4; left > 1; --left) {
    now += LiveReserve::kDecreaseInterval - kMillisecond;
    reserve.Observe(0, 0, now, now);
    cr_assert_eq(reserve.slots(1), left);
    now += kMillisecond;
    reserve.Observe(0, 0, now, now);
    cr_assert_eq(reserve.slots(1), left - 1);
  }
}

}  // namespace limpethatch
