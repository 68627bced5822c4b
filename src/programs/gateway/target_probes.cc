#include "programs/gateway/target_probes.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "limpethatch/request/targets/estimate_choice.h"
#include "platform/call_codec.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// Younger figures are as good as a probe's for a request of about 25 ms.
constexpr Duration kMaxKnownAge = milliseconds(50);
// A late answer still updates the estimate.
constexpr Duration kProbeTimeout = milliseconds(100);
constexpr size_t kDraws = 2;
constexpr size_t kMaxAnswerBytes = 64UL * 1024;

}  // namespace

// The probes of one request.
struct TargetProbes::Round {
  explicit Round(const boost::asio::any_io_executor& executor)
      : timer(executor) {}

  boost::asio::steady_timer timer;  // Ends the wait of the request.
  size_t open = 0;
  std::vector<std::string> answered;
};

std::vector<std::string> TargetProbes::Probe(Yield yield,
                                             const ServiceTargets* service,
                                             uint64_t random) {
  if (!options_.enabled || service == nullptr || service->all.size() < 2 ||
      !ReportsLoad(*service)) {
    return {};
  }
  const std::string path = health_path_(service->all[0]->target.service);
  if (path.empty()) {
    return {};
  }
  // Copied, as the table may change during the wait.
  std::vector<RoutedTargetPtr> drawn = service->all;
  for (size_t draw = 0; draw < kDraws; ++draw) {
    const size_t left = drawn.size() - draw;
    std::swap(drawn[draw], drawn[draw + random % left]);
    random /= left;
  }
  const auto round = std::make_shared<Round>(yield.get_executor());
  const TimePoint now = Clock::now();
  for (size_t draw = 0; draw < kDraws; ++draw) {
    if (drawn[draw]->estimate->ReportAge(now) > kMaxKnownAge) {
      ++round->open;
      Send(drawn[draw], path, round);
    } else {
      round->answered.push_back(drawn[draw]->target.id);
    }
  }
  if (round->open == 0) {
    return {};
  }
  boost::system::error_code ignored;
  round->timer.expires_at(now + options_.max_wait);
  round->timer.async_wait(yield[ignored]);
  std::vector<std::string> avoided;
  for (const RoutedTargetPtr& routed : drawn) {
    const std::string& id = routed->target.id;
    if (std::find(round->answered.begin(), round->answered.end(), id) ==
        round->answered.end()) {
      avoided.push_back(id);
    }
  }
  return round->answered.empty() ? std::vector<std::string>() : avoided;
}

void TargetProbes::Send(const RoutedTargetPtr& routed,
                        const std::string& path,
                        const std::shared_ptr<Round>& round) {
  metrics_.CountTargetProbe();
  Spawn(io_, [this, routed, path, round](Yield yield) {
    HttpCallOptions options;
    options.deadline = Clock::now() + kProbeTimeout;
    options.connect_timeout = kProbeTimeout;
    options.max_body_bytes = kMaxAnswerBytes;
    const Target& target = routed->target;
    const HttpOutcome outcome =
        client_.Call(yield, target.address,
                     platform::MakeTargetProbe(path, target.id), options);
    if (outcome.progress == CallProgress::kAnswered) {
      const platform::TargetAnswerHeaders headers =
          platform::DecodeTargetAnswerHeaders(outcome.response.status,
                                              outcome.response.headers, "");
      if (headers.load && !headers.misdirected) {
        if (!routed->estimate->OnLoad(*headers.load, Clock::now())) {
          metrics_.CountImplausibleLoad();
        }
        round->answered.push_back(target.id);
      }
    }
    if (--round->open == 0) {
      round->timer.cancel();
    }
  });
}

}  // namespace limpethatch
