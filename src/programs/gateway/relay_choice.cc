#include "programs/gateway/relay_choice.h"

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// A gateway that failed is not used for this long, by when control knows that
// it is gone or reaches no target.
constexpr Duration kFailurePause = std::chrono::seconds(2);

}  // namespace

void RelayChoice::OnNews(const wire::RelayGateways& relays) {
  gateways_.clear();
  for (const wire::RelayGateway& relay : relays.gateways()) {
    Gateway gateway;
    if (ParseEndpoint(relay.address(), &gateway.address)) {
      gateway.zone = relay.zone();
      gateway.unreachable_services = {relay.unreachable_services().begin(),
                                      relay.unreachable_services().end()};
      gateways_.push_back(std::move(gateway));
    }
  }
  std::erase_if(failed_at_, [now = Clock::now()](const auto& entry) {
    return now - entry.second > kFailurePause;
  });
}

std::optional<Endpoint> RelayChoice::Choose(const std::string& service,
                                            const std::vector<Endpoint>& tried,
                                            uint64_t random,
                                            TimePoint now) const {
  std::vector<Endpoint> same_zone;
  std::vector<Endpoint> other_zones;
  for (const Gateway& gateway : gateways_) {
    const auto failed = failed_at_.find(gateway.address);
    if (gateway.unreachable_services.contains(service) ||
        std::find(tried.begin(), tried.end(), gateway.address) != tried.end() ||
        (failed != failed_at_.end() && now - failed->second < kFailurePause)) {
      continue;
    }
    (gateway.zone == own_zone_ ? same_zone : other_zones)
        .push_back(gateway.address);
  }
  const bool wants_same_zone = tried.empty() || other_zones.empty();
  const std::vector<Endpoint>& choices =
      wants_same_zone && !same_zone.empty() ? same_zone : other_zones;
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[random % choices.size()];
}

}  // namespace limpethatch
