// The gateways to which this one hands requests whose targets it cannot reach.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_RELAY_CHOICE_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_RELAY_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only.
class RelayChoice {
 public:
  explicit RelayChoice(std::string own_zone) : own_zone_(std::move(own_zone)) {}

  // Replaces the gateways that control names.
  void OnNews(const wire::RelayGateways& relays);
  // A gateway was unreachable, or could not reach the service itself.
  void OnFailure(const Endpoint& gateway, TimePoint now) {
    failed_at_[gateway] = now;
  }
  // A gateway that is not in `tried` and reaches the service as far as is
  // known. The first one of a call is of this zone, if there is any; the next
  // ones are of other zones.
  std::optional<Endpoint> Choose(const std::string& service,
                                 const std::vector<Endpoint>& tried,
                                 uint64_t random,
                                 TimePoint now) const;

 private:
  struct Gateway {
    Endpoint address;
    std::string zone;
    std::set<std::string> unreachable_services;
  };

  const std::string own_zone_;
  std::vector<Gateway> gateways_;
  std::map<Endpoint, TimePoint> failed_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_RELAY_CHOICE_H_
