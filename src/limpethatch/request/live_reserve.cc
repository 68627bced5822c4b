#include "limpethatch/request/live_reserve.h"

#include <algorithm>
#include <cmath>

namespace limpethatch {
namespace {

// A live count up to this may be an effect of report lag.
constexpr double kReportLagRequests = 1;

}  // namespace

void LiveReserve::Observe(double live,
                          uint32_t waiting,
                          TimePoint reported,
                          TimePoint now) {
  uint32_t needed = 0;
  if (live > kReportLagRequests) {
    needed = static_cast<uint32_t>(std::ceil(live)) + 1;
  }
  if (waiting > 0 && reported > last_report_) {
    needed = std::max(needed, reserve_ + waiting);
  }
  last_report_ = std::max(last_report_, reported);
  if (needed >= reserve_) {
    reserve_ = needed;
    last_change_ = now;
  } else if (now - last_change_ >= kDecreaseInterval) {
    --reserve_;
    last_change_ = now;
  }
}

uint32_t LiveReserve::slots(uint32_t declared) const {
  return std::max(declared, reserve_);
}

}  // namespace limpethatch
