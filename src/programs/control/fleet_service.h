// The part of a control instance that serves a fleet: takes in operators',
// trainers' and targets' calls, keeps control instances and gateways informed
// of each other and of targets, and, while it leads, runs batch jobs and
// brings engines to the weights that were named.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "envelope.pb.h"
#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/fleet_interface.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/disk.h"
#include "limpethatch/process/member_planner.h"
#include "limpethatch/process/target_registry.h"
#include "limpethatch/version/sample_scheduler.h"
#include "limpethatch/version/weight_rollout.h"
#include "programs/control/control_settings.h"
#include "programs/control/replica_runner.h"
#include "programs/control/sample_runner.h"
#include "programs/control/weight_order_client.h"

namespace limpethatch {

// Lives on the thread of the replica's io_context.
class FleetService : public ControlInterface {
 public:
  FleetService(boost::asio::io_context& io,
               TimerService& timers,
               Messenger& messenger,
               const ControlSettings& settings,
               ReplicaRunner& replica);

  std::error_code Start();

  // What came from the messenger; false if it is not for this part.
  bool Receive(const wire::Envelope& envelope);
  // True if the request is one of a fleet's; it is then answered.
  bool HandleRequest(const wire::ControlRequest& request);
  // A command took effect.
  void OnApplied();
  void OnLeadershipChange(bool leading);
  // Records what was made so far; the next leader goes on from there.
  void PrepareStop();
  // Other control instances that the settings name.
  void AddSeeds(const std::vector<Endpoint>& seeds);

  ChangeOutcome PutConfiguration(
      Yield yield,
      const wire::FleetConfiguration& configuration) override;
  std::optional<wire::ConfigurationReply> ReadConfiguration(
      Yield yield) override;
  bool KnowsService(std::string_view service) const override;
  bool Announce(const wire::TargetRecord& target) override;
  bool Leave(std::string_view id, std::optional<uint64_t> born_ms) override;
  ChangeOutcome SetWeightsVersion(Yield yield,
                                  const std::string& model,
                                  uint64_t version) override;
  std::optional<RetirementState> Retire(Yield yield,
                                        const std::string& name) override;
  std::optional<RetirementState> GetRetirementState(
      Yield yield,
      const std::string& name) override;

 private:
  // A control instance that was heard this long ago counts as there: several
  // digests.
  static constexpr Duration kAliveTimeout = std::chrono::milliseconds(1000);

  struct Peer {
    wire::ControlInstanceRecord record;
    TimePoint last_contact_at;
    bool alive = false;  // As last logged.
  };
  struct Watcher {
    Endpoint reply_to;
    uint64_t configuration_version = 0;
    uint64_t revision = 0;
    TimePoint last_contact_at;
  };
  struct PendingJobQuery {
    wire::ControlRequest request;
    TimePoint deadline;
  };
  struct PendingConfigurationRead {
    wire::ControlRequest request;
    TimePoint received_at;
  };

  const FleetLedger& ledger() const { return replica_.ledgers().fleet(); }
  // Leads, holds its lease, and has applied all that came before.
  bool IsActiveLeader(TimePoint now) const;
  // Keeps track of whether this replica follows the leader closely.
  void UpdateCaughtUpTime(TimePoint now);
  // Leads, or hears a leader and has applied nearly all that it committed.
  bool HasQuorumContact(TimePoint now) const;

  // Control instances.
  void Receive(const wire::ControlDigest& digest);
  void UpdatePeer(const wire::ControlInstanceRecord& record,
                  TimePoint last_contact_at);
  void MarkSilentPeers(TimePoint now);
  void SendDigests(TimePoint now);
  void Broadcast(const wire::ControlDigest& digest);
  wire::ControlDigest MakeDigest(TimePoint now) const;
  void ReconcileMembers(TimePoint now);
  const Peer* FindPeerByName(const std::string& name) const;
  size_t CountStoresWithout(const std::string& id, TimePoint now) const;

  // Targets and gateways.
  void LoadTargets();
  void ScheduleTargetSave();
  void SaveTargets();
  bool MergeTarget(const wire::TargetRecord& target, TimePoint last_contact_at);
  void Receive(const wire::Watch& watch);
  void ScheduleNewsPush();
  void PushNews();
  void SendNews(Watcher& watcher, TimePoint now);

  // Reads.
  void SendReply(const wire::ControlRequest& request, wire::ControlReply reply);
  void ReplyNotLeader(const wire::ControlRequest& request);
  void AnswerJobQuery(const wire::ControlRequest& request, bool may_wait);
  void AnswerJobBodyQuery(const wire::ControlRequest& request);
  void AnswerPendingJobQueries(TimePoint now);
  void AnswerConfirmedReads(TimePoint now);
  ChangeOutcome SubmitCommand(Yield yield, wire::Command command);

  // The leader's work.
  void ScheduleLeaderTasks();
  void RunLeaderTasks(TimePoint now);
  void InitialiseEngineTable();
  void ExpireJobs(TimePoint now);
  uint64_t OrderTerm() const;
  bool RecordAdvances(const wire::SamplesAdvance& advances);
  void ServeMetrics(HttpExchange& exchange);

  boost::asio::io_context& io_;
  TimerService& timers_;
  Messenger& messenger_;
  const ControlSettings& settings_;
  ReplicaRunner& replica_;
  ControlClient client_;
  HttpServer api_;
  HttpServer metrics_;

  // Keeps a copy of the targets, so that after a loss of power requests need
  // not wait until all have announced themselves again.
  FileSystemDisk disk_;
  bool save_scheduled_ = false;
  TargetRegistry targets_;
  const uint64_t epoch_;  // Of targets_' revisions: random for each start.
  std::set<std::string>
      pending_digest_targets_;         // Targets to tell other instances of.
  std::map<std::string, Peer> peers_;  // Control instances by id.
  std::map<std::string, Watcher> watchers_;  // Gateways by instance id.
  bool push_scheduled_ = false;
  // When all that the leader had committed was applied here last.
  TimePoint last_caught_up_at_ = TimePoint::min();
  uint64_t pushed_configuration_version_ = 0;

  std::vector<PendingJobQuery> pending_job_queries_;
  std::vector<PendingConfigurationRead> pending_configuration_reads_;

  SampleScheduler scheduler_;
  WeightRollout rollout_;
  SampleRunner sample_runner_;
  WeightOrderClient weight_order_client_;
  bool leader_tasks_scheduled_ = false;
  bool engine_table_initialised_ =
      false;  // The leader's state was set up in this term.
  std::string last_leader_;
  std::string previous_leader_;  // Before this instance led.
  TimePoint leading_since_;
  uint64_t scheduler_configuration_version_ = 0;
  std::map<std::string, TimePoint, std::less<>> job_first_seen_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_
