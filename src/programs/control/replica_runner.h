// Runs one replica: executes the actions of the consensus by means of the
// messenger, the disk thread and the state machine. Everything but the disk
// writes runs on the thread of one io_context.
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
    // A command was applied; `result` is a serialised wire::CommandResult.
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

  // Opens the disk and starts. Errors are permanent: the caller should not
  // retry.
  std::error_code Start();

  void Receive(const wire::ConsensusMessage& message);
  // Errors: those of Consensus::Propose, and kNoLease while consensus() is
  // null.
  Result<uint64_t> Propose(std::string command);
  // Starts to add or remove a replica. An added one votes once it has caught
  // up. Errors: those of Consensus, and kNoLease while consensus() is null.
  std::error_code ChangeMembers(const wire::MembersChange& change);
  // Starts to transfer leadership to a caught-up voter.
  void TransferLeadership();
  // Records a message from the replica that did not pass through Receive, so
  // that its connection is not reset.
  void RecordContact(const std::string& id, TimePoint now) {
    last_contact_at_[id] = now;
  }
  // Sets the messenger endpoint of a replica, which need not be a member yet.
  void AddContact(const std::string& id, const Endpoint& endpoint);

  // Null after a disk error, until the disk has been reopened.
  const Consensus* consensus() const { return consensus_.get(); }
  // Whether the last attempt to use the disk failed. This replica then takes no
  // part in the group.
  bool disk_failed() const { return disk_failed_; }
  const Ledgers& ledgers() const { return *ledgers_; }
  // IP:PORT of the leader's messenger; empty if no leader is known.
  std::string LeaderEndpoint() const;
  // When the last message from a peer arrived; TimePoint() if none has.
  TimePoint LastContactAt(const std::string& id) const;

 private:
  std::error_code OpenReplica();
  void OnSynced(uint64_t generation, uint64_t sequence, std::error_code error);
  void OnDiskFailure(std::error_code error);
  void ReopenDisk();
  void Tick(TimePoint now);
  void ResetSilentConnections(TimePoint now);
  // Executes the pending actions after the handlers that are queued now, so
  // that they are batched.
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
  // Identifies the present writer; callbacks of earlier ones are ignored.
  uint64_t writer_generation_ = 0;
  bool actions_scheduled_ = false;
  bool disk_failed_ = false;
  uint64_t disk_failures_ = 0;  // Since it was last usable.
  std::map<std::string, Endpoint> endpoints_;
  std::set<std::string> contacts_;
  std::map<std::string, TimePoint> last_contact_at_;
  std::map<std::string, TimePoint> last_reset_at_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_CONTROL_REPLICA_RUNNER_H_
