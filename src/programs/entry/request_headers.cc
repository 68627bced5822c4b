#include "programs/entry/request_headers.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>

namespace limpethatch {

TimePoint DeadlineOf(const HttpRequest& request,
                     Duration service_deadline,
                     TimePoint now) {
  const std::string_view text = request.headers.Get(kTimeoutHeader);
  uint32_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (text.empty() || error != std::errc()) {
    return now + service_deadline;
  }
  return now + std::min<Duration>(service_deadline,
                                  std::chrono::milliseconds(milliseconds));
}

std::string FlowOf(std::string_view service, const HttpRequest& request) {
  return fmt::format("{}/{}", service, request.headers.Get(kCustomerHeader));
}

void SetTimeoutHeader(HttpRequest& request, TimePoint deadline, TimePoint now) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  const auto remaining_ms = std::max<int64_t>(remaining.count(), 0);
  request.headers.Set(kTimeoutHeader, std::to_string(remaining_ms));
}

}  // namespace limpethatch
