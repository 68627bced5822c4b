// Subscribes to one control instance at a time and keeps the gateway's copy of
// the configuration, the targets and the list of control instances up to date.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_FLEET_SUBSCRIBER_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_FLEET_SUBSCRIBER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/request/configuration_freshness.h"
#include "limpethatch/request/route_table.h"
#include "limpethatch/request/target.h"
#include "programs/gateway/gateway_settings.h"

namespace limpethatch {

// Must be used on the thread of one io_context only.
class FleetSubscriber {
 public:
  struct Callbacks {
    // Called for each control instance that an update names, known or not.
    std::function<void(const Endpoint& control_instance)> on_control_instance;
    // Called with the rate limits of targets that the current control instance
    // knows.
    std::function<void(const wire::TargetRates& rates)> on_target_rates;
    // Called with the requests that the current control instance knows as
    // running at crashes of targets.
    std::function<void(const wire::SuspectRequests& suspects)> on_suspects;
    // Called with gateways to which requests may be handed.
    std::function<void(const wire::RelayGateways& relays)> on_relays;
    // Called for each new or changed target, also for those that are gone.
    std::function<void(const wire::TargetRecord& target)> on_target;
    // Called if the requests of organisations are to be counted, with the
    // length of the windows.
    std::function<void(Duration length)> on_usage_window = [](Duration) {};
  };

  FleetSubscriber(TimerService& timers,
                  Messenger& messenger,
                  const GatewaySettings& settings,
                  Callbacks callbacks);

  // Sends the first watch request and starts checking for replies.
  void Start();
  // Handles a reply to a watch request or a pushed change. Targets and quorum
  // contact are taken from the current control instance only, the rest from
  // any.
  void OnFleetNews(const wire::FleetNews& news);
  // Tells control what this gateway offers to others, now and from now on.
  void OfferRelay(const wire::RelayGateway& offer);
  // Adds a control instance to switch to; one that is known is ignored.
  void AddControlInstance(const Endpoint& control_instance);

  // Treats this incarnation of a target as leaving from now on. Returns true if
  // that changed something.
  bool MarkLeaving(const std::string& target, uint64_t incarnation);

  // Null before the first configuration.
  const RouteTablePtr& routes() const { return routes_; }
  const TargetTable& targets() const { return target_table_; }
  const ConfigurationFreshness& configuration_freshness() const {
    return freshness_;
  }
  // Whether the current control instance last reported contact with a quorum;
  // false after a missed reply.
  bool has_quorum_contact() const { return has_quorum_contact_; }
  // Time since the last reply from a control instance in contact with a quorum.
  Duration time_since_quorum_contact(TimePoint now) const {
    return now - last_quorum_contact_at_;
  }
  // Whether the targets are known as they were a moment ago. Not if this
  // machine was suspended since.
  bool HasCurrentTargets() const;

 private:
  struct ControlInstance {
    Endpoint endpoint;
    // Named by the last news of an instance in contact with a quorum.
    bool reachable = false;
    // Asked in vain since the last contact, or in this round of all instances.
    bool tried = false;
  };

  ControlInstance& current() { return control_instances_[current_index_]; }
  void SendWatch(TimePoint now);
  void CheckReply(TimePoint now);
  // Goes to the next instance: one that is reachable if possible, and none a
  // second time before all have been tried.
  void SwitchControlInstance(TimePoint now);
  // Returns its index.
  size_t NextControlInstance() const;
  // Keeps the configuration for the case that no instance has quorum contact.
  void OfferUnconfirmed(const wire::FleetNews& news,
                        const wire::FleetConfiguration& configuration);
  void PutInForce(const wire::FleetNews& news,
                  wire::FleetConfiguration configuration);
  void ReportFreshness(const wire::FleetNews& news, TimePoint now);
  void ApplyTargets(const wire::FleetNews& news);
  // As MarkLeaving, without a new target table.
  bool MarkLeavingRecord(const std::string& target, uint64_t incarnation);
  void RebuildTargetTable();

  TimerService& timers_;
  Messenger& messenger_;
  const GatewaySettings& settings_;
  Callbacks callbacks_;
  // Differs between gateways: spreads them over the control instances at the
  // start, and again when they leave one.
  const size_t spread_;
  wire::RelayGateway relay_offer_;
  bool started_ = false;
  std::vector<ControlInstance> control_instances_;
  size_t current_index_ = 0;
  TimePoint watch_sent_at_;
  bool reply_received_ = false;
  bool reply_missed_ = false;
  bool has_quorum_contact_ = false;
  TimePoint last_quorum_contact_at_;
  Duration last_quorum_contact_boot_time_{};  // As TimeSinceBoot.
  // Of the last target update applied. The sender counts revisions within an
  // epoch, which is random for each start of a control instance.
  uint64_t epoch_ = 0;
  uint64_t revision_ = 0;
  std::map<std::string, wire::TargetRecord> target_records_;
  // Incarnations of targets that are leaving, which is final.
  std::map<std::string, uint64_t> leaving_;
  TargetTable target_table_;
  RouteTablePtr routes_;
  ConfigurationFreshness freshness_;
  struct UnconfirmedConfiguration {
    wire::FleetNews news;
    wire::FleetConfiguration configuration;
  };
  // The newest configuration from instances without quorum contact; null once
  // one is in force.
  std::optional<UnconfirmedConfiguration> unconfirmed_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_FLEET_SUBSCRIBER_H_
