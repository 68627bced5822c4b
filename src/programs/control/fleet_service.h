// The part of a control instance that serves a fleet. It handles calls of
// operators, trainers and targets, and distributes the state of control
// instances and targets to control instances and gateways. While it leads, it
// runs batch jobs and makes engines load the weights that were set.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "envelope.pb.h"
#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/crash_detector.h"
#include "limpethatch/connection/fleet_interface.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/disk.h"
#include "limpethatch/process/member_planner.h"
#include "limpethatch/process/target_registry.h"
#include "limpethatch/process/transfer_queue.h"
#include "limpethatch/process/wall_clock.h"
#include "limpethatch/process/work_pacer.h"
#include "limpethatch/request/hedging/hedge_budget.h"
#include "limpethatch/request/stream_origins.h"
#include "limpethatch/version/sample_scheduler.h"
#include "limpethatch/version/weight_rollout.h"
#include "programs/control/control_settings.h"
#include "programs/control/replica_runner.h"
#include "programs/control/reward_runner.h"
#include "programs/control/run_listener.h"
#include "programs/control/sample_runner.h"
#include "programs/control/usage_reporter.h"
#include "programs/control/weight_order_client.h"

namespace limpethatch {

// Must be used on the thread of the replica's io_context only.
class FleetService : public ControlInterface {
 public:
  FleetService(boost::asio::io_context& io,
               TimerService& timers,
               Messenger& messenger,
               const ControlSettings& settings,
               ReplicaRunner& replica);

  std::error_code Start();

  // Handles an envelope received by the messenger. Returns false if the
  // envelope is not for this class.
  bool Receive(const wire::Envelope& envelope);
  // Returns true if the request is one of a fleet's. It is then answered, now
  // or later.
  bool HandleRequest(const wire::ControlRequest& request);
  // Called after each applied command.
  void OnApplied();
  void OnLeadershipChange(bool leading);
  // Records the progress of running samples, from which the next leader
  // resumes, and drains the HTTP API.
  void PrepareStop();
  const SampleRunner::Counters& run_counters() const {
    return sample_runner_.counters();
  }
  // Of the configuration in force here; 0: none is.
  uint64_t configuration_version() const {
    return ledger().configuration().version();
  }
  // Batch jobs as applied here.
  const JobLedger& jobs() const { return ledger().jobs(); }
  // Adds the control instances that the settings name.
  void AddSeeds(const std::vector<Endpoint>& seeds);

  ChangeOutcome PutConfiguration(
      Yield yield,
      const wire::FleetConfiguration& configuration) override;
  std::optional<wire::ConfigurationReply> ReadConfiguration(
      Yield yield) override;
  Endpoint CallAddress() const override { return settings_.api; }
  std::optional<Endpoint> BetterInstance() const override;
  std::optional<Endpoint> InstanceBeyondPartition() const override;
  bool KnowsService(std::string_view service) const override;
  bool HasModels(std::string_view service) const override;
  bool Announce(const wire::TargetRecord& target) override;
  void OnAnnouncementRefused(std::string_view id,
                             std::string_view problem) override;
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
  // A control instance counts as alive for this time after its last digest,
  // which covers several lost digests.
  static constexpr Duration kAliveTimeout = std::chrono::milliseconds(1000);
  // Maximum share of the event loop for planning the leader's work.
  static constexpr double kMaxLeaderTaskShare = 0.25;

  struct Peer {
    wire::ControlInstanceRecord record;
    // Some of the gateways that it serves.
    wire::RelayGateways relays;
    TimePoint last_contact_at;
    bool alive = false;  // As of the last log line.
  };
  struct Watcher {
    Endpoint reply_to;
    uint64_t revision = 0;
    TimePoint last_contact_at;
    wire::RelayGateway relay;  // Without an address if it offers nothing.
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
  // True if this replica leads, holds its lease and has applied all committed
  // entries.
  bool IsActiveLeader(TimePoint now) const;
  // True if this replica holds the leader's lease, or if its state is known to
  // be recent.
  bool HasQuorumContact(TimePoint now) const;
  // The longest time for which the applied state may have been out of date;
  // nullopt if that is unknown.
  std::optional<std::chrono::milliseconds> StateAge(TimePoint now) const;
  // Logs when quorum contact was gained or lost since the last call, and tells
  // gateways when it was lost.
  void TrackQuorumContact(TimePoint now);

  // Control instances.
  void Receive(const wire::ControlDigest& digest);
  // Adds a peer or updates its record. `last_contact_at` is min() if the record
  // came from another peer.
  void UpdatePeer(const wire::ControlInstanceRecord& record,
                  TimePoint last_contact_at);
  void MarkSilentPeers(TimePoint now);
  void SendDigests(TimePoint now);
  // Sends the digest to the instances that serve gateways and targets; the
  // others need nothing but signs of life.
  void Broadcast(const wire::ControlDigest& digest);
  void SendTo(const Peer& peer, const std::string& bytes);
  // Whether gateways and targets may use the instance, as far as known.
  static bool MayServe(const Peer& peer);
  // Whether an instance other than this one is alive and serving.
  bool KnowsServingPeer(TimePoint now) const;
  wire::ControlDigest MakeDigest(TimePoint now) const;
  void ReconcileMembers(TimePoint now);
  // Proposes that commands may have the newest format, once all members apply
  // it.
  void RaiseLogFormat();
  // Whether the instance applies all commands that may be in the log.
  bool Applies(const wire::ControlInstanceRecord& record) const;
  const Peer* FindPeerByName(const std::string& name) const;
  // When the instance was last heard from, by whatever message.
  TimePoint LastContactAt(const std::string& id) const;
  // Number of responsive, unretired control instances other than `id`.
  size_t CountRemainingInstances(const std::string& id, TimePoint now) const;

  // Targets and gateways.
  void LoadTargets();
  void ScheduleTargetSave();
  void SaveTargets();
  // Applies an announcement that was made at `last_contact_at`. Returns true if
  // it changed the target.
  bool MergeTarget(const wire::TargetRecord& target, TimePoint last_contact_at);
  // A target said in an answer, here or at a gateway, that it is leaving.
  void OnTargetLeaving(const std::string& id, uint64_t incarnation);
  // Applies the records that changed after `revision` of targets_.
  void OnTargetsChanged(uint64_t revision, TimePoint now);
  void Receive(const wire::Watch& watch);
  void ScheduleNewsPush();
  void PushNews();
  // Sends what changed. The configuration follows later, in SendConfigurations.
  // `relays` may be null.
  void SendNews(Watcher& watcher,
                TimePoint now,
                const wire::RelayGateways* relays = nullptr);
  wire::FleetNews MakeNews(TimePoint now) const;
  // All targets, as a serialised wire::FleetNews. Kept for a while, as many
  // gateways need it at the same time when a control instance fails.
  const std::string& PackedTargets(TimePoint now);
  // Sends the configuration to the gateways that lack it, in slices so that the
  // event loop stays free for the consensus.
  void ScheduleConfigurationTransfers(Duration delay);
  void SendConfigurations(TimePoint now);
  // The configuration in force, serialised and compressed.
  const std::string& PackedConfiguration();

  // Gateways that relay requests of others.
  // Some of them for the gateway that offers `own`, of its zone and of others.
  wire::RelayGateways ChooseRelays(const wire::RelayGateway& own) const;
  // Some of those that this instance serves, for its peers.
  wire::RelayGateways RelaysForPeers() const;

  // Rate limits of targets.
  // Records what an answer of the target stated, and distributes a change.
  void ObserveRateLimit(const std::string& target,
                        uint64_t incarnation,
                        std::optional<double> requests_per_second);
  void AnswerRateReport(const wire::ControlRequest& request);
  void AnswerPermitQuery(const wire::ControlRequest& request);
  void AnswerHedgePermitQuery(const wire::ControlRequest& request);
  // Takes over the limits that the leader knows.
  void Receive(const wire::TargetRates& rates);
  wire::TargetRates EncodeRateLimits() const;
  void DropRateLimitsOfGoneTargets();

  // Requests that crash targets.
  // Proposes to record the runs during which targets crashed.
  void RecordCrashes(const std::vector<wire::CrashedRun>& runs);
  // Proposes to forget crashes of targets that have been heard from since, and
  // those of long ago.
  void ForgetCrashes(TimePoint now);
  // Addresses of a few targets other than `target`.
  std::vector<Endpoint> OtherTargets(const std::string& target) const;

  // Streams of clients.
  // Records what a gateway told, and tells the other control instances, one of
  // which may lead next.
  void RecordStreamOrigin(const wire::ControlRequest& request);
  void AnswerStreamOriginQuery(const wire::ControlRequest& request);

  // Reads.
  void SendReply(const wire::ControlRequest& request, wire::ControlReply reply);
  void ReplyNotLeader(const wire::ControlRequest& request);
  // Answers the submission of a batch job whose gateway used a route that is
  // not in force any more. Returns false for any other.
  bool RefuseChangedRoute(const wire::ControlRequest& request);
  // Answers the submission of a batch job with reward calls, and that or the
  // end of one of an organisation, while not all members apply them. Returns
  // false for any other.
  bool RefuseUnsupportedJob(const wire::ControlRequest& request);
  void AnswerJobQuery(const wire::ControlRequest& request, bool may_wait);
  void AnswerJobBodyQuery(const wire::ControlRequest& request);
  void AnswerPendingJobQueries(TimePoint now);
  // Answers the configuration reads for which a quorum has confirmed that this
  // replica still led when they arrived.
  void AnswerConfirmedReads(TimePoint now);
  // Sends a command to the leader and waits for its outcome.
  ChangeOutcome SubmitCommand(Yield yield, wire::Command command);

  // Tasks of the leader.
  void ScheduleLeaderTasks();
  void RunLeaderTasks(TimePoint now);
  // Starts some of the planned samples and schedules the rest, so that the
  // event loop stays free for the consensus.
  void StartSamples(TimePoint now);
  // Stops the sample, or drops it if it was not started yet.
  void StopSample(const SampleStop& stop, TimePoint now);
  void InitialiseEngineTable();
  RunListener MakeRunListener();
  void ExpireJobs(TimePoint now);
  // The term if this replica may issue orders now, else 0.
  uint64_t OrderTerm() const;

  // Duties.
  // Creates the parts for the duties that the settings name.
  void StartDuties();
  DutyLeadership Leadership(TimePoint now) const;
  void AnswerUsageCounts(const wire::ControlRequest& request);

  // Proposes progress of samples; false if that is not possible now.
  bool RecordAdvances(const wire::SamplesAdvance& advances);
  void ServeMetrics(HttpExchange& exchange);

  // Calls that score samples.
  void ScheduleRewardTasks();
  void RunRewardTasks(TimePoint now);
  // Brings the routes and targets of reward calls up to date.
  void UpdateRewardTargets();
  void OnTargetLoad(const std::string& target,
                    uint32_t running,
                    uint32_t waiting);

  boost::asio::io_context& io_;
  TimerService& timers_;
  Messenger& messenger_;
  const ControlSettings& settings_;
  ReplicaRunner& replica_;
  ControlClient client_;
  const std::shared_ptr<ClientMemory> client_memory_;
  HttpServer api_;
  HttpServer metrics_;

  // Stores a copy of the targets, so that after a power failure requests can be
  // served before all targets have announced themselves again.
  FileSystemDisk disk_;
  bool save_scheduled_ = false;
  uint64_t digests_ = 0;  // Periods in which digests were sent.
  TargetRegistry targets_;
  // Random for each start: revisions of targets_ are comparable only within one
  // epoch.
  const uint64_t epoch_;
  mutable uint64_t redirects_ = 0;  // Calls sent to other instances.
  uint64_t announcements_refused_ = 0;
  TimePoint refusal_logged_at_;
  // Ids of the targets to include in the next digest.
  std::set<std::string> pending_digest_targets_;
  std::map<std::string, Peer> peers_;        // Other control instances by id.
  std::map<std::string, Watcher> watchers_;  // Gateways by instance id.
  bool push_scheduled_ = false;
  uint64_t pushed_configuration_version_ = 0;
  uint64_t pushed_crash_revision_ = 0;
  std::string packed_targets_;
  uint64_t packed_targets_revision_ = 0;  // 0: nothing is packed.
  TimePoint packed_targets_at_;
  TransferQueue configuration_transfers_;
  bool transfers_scheduled_ = false;
  std::string packed_configuration_;
  uint64_t packed_version_ = 0;       // 0: nothing is packed.
  uint64_t configurations_sent_ = 0;  // Copies sent to gateways.
  // Of the distribution that goes on now; 0: none does.
  uint64_t distribution_gateways_ = 0;
  TimePoint distribution_started_at_;
  bool had_quorum_contact_ = false;  // As of the last log line.
  const TimePoint started_at_ = Clock::now();

  StreamOrigins stream_origins_;
  // To be included in the next digest.
  std::vector<wire::StreamOrigin> pending_digest_origins_;

  CrashDetector crash_detector_;
  // When this instance first saw each crash on record.
  std::map<CrashedProcess, TimePoint> crash_first_seen_at_;

  std::vector<PendingJobQuery> pending_job_queries_;
  std::vector<PendingConfigurationRead> pending_configuration_reads_;

  SampleScheduler scheduler_;
  WeightRollout rollout_;
  SampleRunner sample_runner_;
  WeightOrderClient weight_order_client_;

  const SystemWallClock wall_clock_;
  std::optional<UsageReporter> usage_reporter_;

  std::mt19937_64 random_;
  RewardScheduler reward_scheduler_;
  RewardRunner reward_runner_;
  bool reward_tasks_scheduled_ = false;
  // Of the configuration in force; set once a sample awaits its score.
  std::optional<RouteTable> reward_routes_;
  TargetTable reward_targets_;  // The plain services only.
  bool reward_targets_outdated_ = true;
  uint64_t reward_targets_revision_ = 0;  // Of targets_.
  std::map<std::string, TargetLoad, std::less<>> reward_target_loads_;
  // This leader has proposed the newest log format.
  bool log_format_proposed_ = false;
  WorkPacer leader_tasks_pacer_{kMaxLeaderTaskShare};

  std::deque<SampleStart> planned_starts_;
  bool starts_scheduled_ = false;
  bool leader_tasks_scheduled_ = false;
  bool engine_table_initialised_ = false;  // In this term.
  std::string last_leader_;  // The latest leader other than this instance.
  // `last_leader_` when this instance last became leader.
  std::string previous_leader_;
  TimePoint leading_since_;
  HedgeBudget hedge_budget_;  // Of this term.
  uint64_t scheduler_configuration_version_ = 0;
  std::map<std::string, TimePoint, std::less<>> job_first_seen_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_
