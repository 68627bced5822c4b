// Tells which software version began a client's stream, also if that was
// through another gateway, or before all gateways were restarted: the control
// instances remember it.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_STREAM_DIRECTORY_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_STREAM_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fleet.pb.h"
#include "limpethatch/connection/control_client.h"
#include "limpethatch/request/stream_origins.h"

namespace limpethatch {

// Not synchronised; used on the gateway's thread only.
class StreamDirectory {
 public:
  // `has_current_targets` tells whether a new software version would have been
  // reported by OnTarget.
  StreamDirectory(boost::asio::io_context& io,
                  ControlClient& control_client,
                  std::function<bool()> has_current_targets)
      : io_(io),
        control_client_(control_client),
        has_current_targets_(std::move(has_current_targets)) {}

  // A target serves, or has served lately.
  void OnTarget(const wire::TargetRecord& target);
  // A target with this software version has begun to answer `attempt`. Tells
  // the leader.
  void OnBegun(const std::string& attempt, const std::string& version);
  // The software version that began the stream of `attempt` at a target of
  // `service`; nullopt if it is unknown. If the targets are current and the
  // service has had only one version, it must have been that. Otherwise may ask
  // the leader.
  std::optional<std::string> Find(Yield yield,
                                  const std::string& service,
                                  const std::string& attempt);

 private:
  boost::asio::io_context& io_;
  ControlClient& control_client_;
  const std::function<bool()> has_current_targets_;
  StreamOrigins origins_;
  // Software versions of the targets of each service.
  std::map<std::string, std::set<std::string>> versions_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_STREAM_DIRECTORY_H_
