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
#include "programs/control/weight_orderer.h"

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
  bool Handle(const wire::ControlRequest& request);
  // A command took effect.
  void Applied();
  void Leadership(bool leading);
  // Records what was made so far; the next leader goes on from there.
  void PrepareStop();
  // Other control instances that the settings name.
  void UseSeeds(const std::vector<Endpoint>& seeds);

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
  static constexpr Duration kAliveWithin = std::chrono::milliseconds(1000);

  struct Peer {
    wire::ControlInstanceRecord record;
    TimePoint heard_at;
    bool alive = false;  // As last logged.
  };
  struct Watcher {
    Endpoint reply_to;
    uint64_t configuration_version = 0;
    uint64_t revision = 0;
    TimePoint heard_at;
  };
  struct JobReader {
    wire::ControlRequest request;
    TimePoint until;
  };
  struct ConfirmedRead {
    wire::ControlRequest request;
    TimePoint asked_at;
  };

  const FleetLedger& ledger() const { return replica_.ledgers().fleet(); }
  // Leads, holds its lease, and has applied all that came before.
  bool Active(TimePoint now) const;
  // Keeps track of whether this replica follows the leader closely.
  void NoteProgress(TimePoint now);
  // Leads, or hears a leader and has applied nearly all that it committed.
  bool HasQuorumContact(TimePoint now) const;

  // Control instances.
  void Receive(const wire::ControlDigest& digest);
  void HearOf(const wire::ControlInstanceRecord& record, TimePoint heard_at);
  void NoteSilentPeers(TimePoint now);
  void SendDigests(TimePoint now);
  void Broadcast(const wire::ControlDigest& digest);
  wire::ControlDigest NewDigest(TimePoint now) const;
  void PlanMembers(TimePoint now);
  const Peer* FindByName(const std::string& name) const;
  size_t StoresLeftWithout(const std::string& id, TimePoint now) const;

  // Targets and gateways.
  void LoadTargets();
  void SaveTargetsSoon();
  void SaveTargets();
  bool TakeIn(const wire::TargetRecord& target, TimePoint heard_at);
  void Receive(const wire::Watch& watch);
  void PushNewsSoon();
  void PushNews();
  void SendNews(Watcher& watcher, TimePoint now);

  // Reads.
  void Answer(const wire::ControlRequest& request, wire::ControlReply reply);
  void RefuseAsFollower(const wire::ControlRequest& request);
  void AnswerJob(const wire::ControlRequest& request, bool may_wait);
  void AnswerBody(const wire::ControlRequest& request);
  void AnswerReaders(TimePoint now);
  void AnswerConfirmed(TimePoint now);
  ChangeOutcome Write(Yield yield, wire::Command command);

  // The leader's work.
  void WorkSoon();
  void Work(TimePoint now);
  void Adopt();
  void AgeJobs(TimePoint now);
  uint64_t OrderTerm() const;
  bool Record(const wire::SamplesAdvance& advances);
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
  bool save_due_ = false;
  TargetRegistry targets_;
  const uint64_t epoch_;  // Of targets_' revisions: random for each start.
  std::set<std::string> refreshed_;    // Targets to tell other instances of.
  std::map<std::string, Peer> peers_;  // Control instances by id.
  std::map<std::string, Watcher> watchers_;  // Gateways by instance id.
  bool push_due_ = false;
  // When all that the leader had committed was applied here last.
  TimePoint last_level_ = TimePoint::min();
  uint64_t pushed_version_ = 0;

  std::vector<JobReader> job_readers_;
  std::vector<ConfirmedRead> confirmed_reads_;

  SampleScheduler scheduler_;
  WeightRollout rollout_;
  SampleRunner runner_;
  WeightOrderer orderer_;
  bool work_due_ = false;
  bool adopted_ = false;  // The leader's state was set up in this term.
  std::string last_leader_;
  std::string previous_leader_;  // Before this instance led.
  TimePoint led_from_;
  uint64_t declared_version_ = 0;
  std::map<std::string, TimePoint, std::less<>> job_seen_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_FLEET_SERVICE_H_
