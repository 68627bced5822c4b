// Keeps a gateway's view of configuration, targets and control instances up to
// date, from one control instance at a time.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_NEWS_FOLLOWER_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_NEWS_FOLLOWER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/request/route_table.h"
#include "limpethatch/request/target.h"
#include "programs/gateway/gateway_settings.h"

namespace limpethatch {

// Lives on the thread of one io_context.
class NewsFollower {
 public:
  struct Listener {
    std::function<void(const Endpoint& control)> control_instance;
  };

  NewsFollower(TimerService& timers,
               Messenger& messenger,
               const GatewaySettings& settings,
               Listener listener);

  void Start();
  void Receive(const wire::FleetNews& news);
  // More control instances that may be asked.
  void AddControl(const Endpoint& control);

  // Null before the first configuration.
  const RouteTablePtr& routes() const { return routes_; }
  const TargetTable& targets() const { return table_; }
  // The control instance that was heard last is in touch with the others.
  bool in_touch() const { return in_touch_; }
  // How long no control instance with a quorum was heard.
  Duration out_of_touch(TimePoint now) const { return now - touched_at_; }

 private:
  void Ask(TimePoint now);
  void Check(TimePoint now);
  void MoveOn(std::string_view reason, TimePoint now);
  void TakeTargets(const wire::FleetNews& news);
  void RebuildTable();

  TimerService& timers_;
  Messenger& messenger_;
  const GatewaySettings& settings_;
  Listener listener_;
  std::vector<Endpoint> controls_;
  size_t current_ = 0;
  TimePoint asked_at_;
  bool answered_ = false;
  bool answer_missed_ = false;
  bool in_touch_ = false;
  TimePoint touched_at_;
  uint64_t epoch_ = 0;
  uint64_t revision_ = 0;
  std::map<std::string, wire::TargetRecord> records_;
  TargetTable table_;
  RouteTablePtr routes_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_NEWS_FOLLOWER_H_
