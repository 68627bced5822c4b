#include "programs/gateway/usage_sender.h"

#include <random>
#include <utility>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Short against the time until a window is recorded; each check wakes up a
// small machine.
constexpr Duration kCheckPeriod = milliseconds(500);
// Timeout of one message, which is repeated later.
constexpr Duration kSendTimeout = milliseconds(900);

uint64_t RandomIncarnation() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

}  // namespace

UsageSender::UsageSender(boost::asio::io_context& io,
                         TimerService& timers,
                         ControlClient& control_client,
                         UsageCounter& counter,
                         const WallClock& wall_clock,
                         std::string instance)
    : io_(io),
      timers_(timers),
      control_client_(control_client),
      counter_(counter),
      wall_clock_(wall_clock),
      instance_(std::move(instance)),
      incarnation_(RandomIncarnation()) {}

void UsageSender::SetWindowLength(Duration length) {
  counter_.SetWindowLength(length);
  if (!std::exchange(started_, true)) {
    timers_.Every(kCheckPeriod, [this](TimePoint) { SendDueReports(); });
  }
}

void UsageSender::SendDueReports() {
  if (sending_) {
    return;
  }
  auto due = counter_.NextReport(wall_clock_.Now(), Clock::now());
  if (const uint64_t dropped = counter_.dropped(); dropped != dropped_) {
    Log(LogLevel::kWarning, "usage_counts_dropped",
        {{"requests", dropped - std::exchange(dropped_, dropped)}});
  }
  if (!due) {
    return;
  }
  sending_ = true;
  Spawn(io_, [this, window = std::move(*due)](Yield yield) mutable {
    std::optional<wire::UsageWindow> next = std::move(window);
    while (next) {
      const uint64_t number = next->number();
      if (!Send(yield, std::move(*next), Clock::now() + kSendTimeout)) {
        counter_.OnUnanswered(number, Clock::now());
        break;
      }
      next = counter_.NextReport(wall_clock_.Now(), Clock::now());
    }
    sending_ = false;
  });
}

void UsageSender::SendAll(Yield yield, TimePoint deadline) {
  for (wire::UsageWindow& window : counter_.AllCounts()) {
    Send(yield, std::move(window), deadline);
  }
}

bool UsageSender::Send(Yield yield,
                       wire::UsageWindow window,
                       TimePoint deadline) {
  wire::ControlRequest request;
  wire::UsageCounts& counts = *request.mutable_usage_counts();
  counts.set_instance(instance_);
  counts.set_incarnation(incarnation_);
  *counts.mutable_window() = std::move(window);
  const ControlClient::Answer answer =
      control_client_.SendRequest(yield, request, deadline);
  if (answer.certainty != ControlCertainty::kDone) {
    Log(LogLevel::kInfo, "usage_counts_unanswered",
        {{"window", counts.window().number()}});
    return false;
  }
  counter_.OnRecorded(answer.reply.usage_counts().next_window());
  return true;
}

}  // namespace limpethatch
