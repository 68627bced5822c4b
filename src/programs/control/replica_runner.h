// Runs one replica: carries out what the consensus asks for, between the
// messenger, the disk's thread and the state machine. All of it but the disk
// happens on the thread of one io_context.
#ifndef LIMPETHATCH_PROGRAMS_CONTROL_REPLICA_RUNNER_H_
#define LIMPETHATCH_PROGRAMS_CONTROL_REPLICA_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "control.pb.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/consensus.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/request/ledgers.h"
#include "programs/control/control_settings.h"
#include "programs/control/disk_writer.h"

namespace limpethatch {

class ReplicaRunner {
 public:
  struct Listener {
    // A command took effect; `result` is a serialised wire::CommandResult.
    std::function<void(uint64_t index, uint64_t term, std::string result)>
        on_applied;
    std::function<void(bool leading)> on_leadership_change;
  };

  ReplicaRunner(boost::asio::io_context& io,
                TimerService& timers,
                Messenger& messenger,
                const ControlSettings& settings,
                Listener listener);
  ~ReplicaRunner();

  // Opens the disk and starts. An error here is one that time won't mend.
  std::error_code Start();

  void Receive(const wire::ConsensusMessage& message);
  Result<uint64_t> Propose(std::string command);
  // Starts to add or remove a replica; it counts once it has caught up.
  std::error_code ChangeMembers(const wire::MembersChange& change);
  void TransferLeadership();
  // A message of another kind came from the replica: it can be reached.
  void RecordContact(const std::string& id, TimePoint now) {
    last_contact_at_[id] = now;
  }
  // Where a replica can be reached, also one that is no member yet.
  void AddContact(const std::string& id, const Endpoint& endpoint);

  // Null while the disk is failing.
  const Consensus* consensus() const { return consensus_.get(); }
  const Ledgers& ledgers() const { return *ledgers_; }
  // IP:PORT of the leader's messenger; empty if none is known.
  std::string LeaderEndpoint() const;
  // When a peer was last heard from.
  TimePoint LastContactAt(const std::string& id) const;

 private:
  std::error_code OpenReplica();
  void OnSynced(uint64_t generation, uint64_t sequence, std::error_code error);
  void OnDiskFailure(std::error_code error);
  void ReopenDisk();
  void Tick(TimePoint now);
  void ResetSilentConnections(TimePoint now);
  // Carries out actions once all that is queued now has been taken in.
  void ScheduleActions();
  void ExecuteActions();
  void Execute(PersistAction& action);
  void Execute(SendAction& action);
  void Execute(ApplyAction& action);
  void Execute(RestoreAction& action);
  void Execute(LeadershipAction& action);
  void Execute(MembersAction& action);
  void Execute(RequestStateAction& action);
  void CompactIfDue();

  boost::asio::io_context& io_;
  TimerService& timers_;
  Messenger& messenger_;
  const ControlSettings& settings_;
  Listener listener_;
  std::mt19937_64 generator_;

  std::unique_ptr<Consensus> consensus_;
  std::unique_ptr<Ledgers> ledgers_;
  std::unique_ptr<DiskWriter> writer_;
  uint64_t writer_generation_ = 0;  // Of the writer.
  bool actions_scheduled_ = false;
  std::map<std::string, Endpoint> endpoints_;
  std::set<std::string> contacts_;
  std::map<std::string, TimePoint> last_contact_at_;
  std::map<std::string, TimePoint> last_reset_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_REPLICA_RUNNER_H_
