// Handles the requests of entry instances and operators, and, in a fleet,
// passes on those of gateways and other control instances.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SERVICE_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SERVICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/order_lease.h"
#include "limpethatch/process/session_table.h"
#include "programs/control/burn_reporter.h"
#include "programs/control/control_settings.h"
#include "programs/control/fleet_service.h"
#include "programs/control/pool_weight_manager.h"
#include "programs/control/replica_runner.h"

namespace limpethatch {

// Must be used on the thread of the replica's io_context only.
class ControlService {
 public:
  ControlService(boost::asio::io_context& io,
                 TimerService& timers,
                 Messenger& messenger,
                 const ControlSettings& settings);

  std::error_code Start();
  // Handles a serialised wire::Envelope received by the messenger.
  void Receive(std::string_view bytes);
  // Starts to transfer leadership to another replica, if there is one.
  void PrepareStop();
  // Null unless the settings enable a fleet.
  FleetService* fleet() { return fleet_ ? &*fleet_ : nullptr; }
  bool leading() const;
  const ReplicaRunner& replica() const { return replica_; }

 private:
  struct PendingCommand {
    uint64_t term = 0;
    std::string reply_to;
    uint64_t id = 0;
    // The fields that the burn report needs; empty if it ignores the command.
    wire::Command burn_command;
  };

  void HandleRequest(const wire::ControlRequest& request);
  void HandleCommand(const wire::ControlRequest& request);
  // The result of a command that would change no state, without a log entry.
  // nullopt if the command changes state, or if this replica is not a leader
  // with a valid lease, since its state may then be stale.
  std::optional<wire::CommandResult> AnswerLocally(
      const wire::Command& command) const;
  void HandleHello(const wire::ControlRequest& request,
                   wire::ControlReply* reply);
  void HandleManifest(const wire::ControlRequest& request,
                      wire::ControlReply* reply);
  void HandleMembers(const wire::ControlRequest& request,
                     wire::ControlReply* reply);
  void HandleStatus(wire::ControlReply* reply);
  void HandleHistory(wire::ControlReply* reply) const;
  void HandleBurn(wire::ControlReply* reply);
  void AddReplicas(wire::StatusReply* status);
  void AddInstances(wire::StatusReply* status);
  // The fencing token and deadline for an order; nullopt if this replica may
  // not issue one.
  std::optional<Order> IssueOrder(TimePoint now) const;
  void IssueWeightOrders(TimePoint now);
  void AddSteps(wire::StatusReply* status) const;
  void OnApplied(uint64_t index, uint64_t term, const std::string& result);
  void OnLeadershipChange(bool leading);
  // Proposes to declare entry instances gone whose session has expired.
  void ReportExpiredHolders(TimePoint now);
  void SetNotLeader(wire::ControlReply* reply) const;
  void SendReply(const std::string& to, const wire::ControlReply& reply);

  TimerService& timers_;
  Messenger& messenger_;
  ReplicaRunner replica_;
  std::optional<FleetService> fleet_;
  SessionTable sessions_;
  const OrderLease order_lease_;
  PoolWeightManager pool_weights_;
  BurnReporter burn_;
  // Commands proposed but not applied yet, by log index.
  std::map<uint64_t, PendingCommand> pending_commands_;
  // Holders proposed as gone, but not applied yet, by log index.
  std::map<uint64_t, std::string> proposed_expiries_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_CONTROL_SERVICE_H_
