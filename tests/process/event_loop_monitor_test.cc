#include "limpethatch/process/event_loop_monitor.h"

#include <chrono>

#include <criterion/criterion.h>

namespace limpethatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

Test(event_loop_monitor, a_pause_of_seconds_is_reported) {
  cr_assert(EventLoopMonitor::ReportableDelay(seconds(7), milliseconds(500)) ==
            milliseconds(6500));
}

Test(event_loop_monitor, delays_up_to_the_threshold_are_not_reported) {
  const Duration period = milliseconds(100);
  cr_assert(EventLoopMonitor::ReportableDelay(period, period) ==
            Duration::zero());
  cr_assert(EventLoopMonitor::ReportableDelay(
                period + EventLoopMonitor::kReportThreshold, period) ==
            Duration::zero());
  cr_assert(EventLoopMonitor::ReportableDelay(
                period + 2 * EventLoopMonitor::kReportThreshold, period) ==
            2 * EventLoopMonitor::kReportThreshold);
}

}  // namespace limpethatch
