// Simulates replicas, their disks and the network between them under a manual
// clock. Each step checks the safety properties of the whole group.
#ifndef TESTS_PROCESS_CONSENSUS_SIMULATION_H_
#define TESTS_PROCESS_CONSENSUS_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "limpethatch/process/consensus.h"
#include "limpethatch/process/durable_log.h"
#include "process/memory_disk.h"

namespace limpethatch {

struct NetworkFaults {
  double loss = 0.0;
  double duplicate = 0.0;
  Duration max_delay = std::chrono::milliseconds(2);
};

class ConsensusSimulation {
 public:
  // Replicas beyond the first `founders` (0: all) run, but are not members
  // until they are added.
  ConsensusSimulation(size_t replicas, uint64_t seed, size_t founders = 0);

  // Advances time in steps of kStep.
  void Run(Duration time);
  // Runs until `condition` holds; returns false if it does not within `limit`.
  template <typename Condition>
  bool RunUntil(Duration limit, Condition condition) {
    const Duration end = elapsed_ + limit;
    while (elapsed_ < end) {
      if (condition()) {
        return true;
      }
      Run(kStep);
    }
    return condition();
  }

  void Start(size_t replica);
  void Crash(size_t replica);
  // Replaces the disk by an empty one. The replica must be down.
  void EraseDisk(size_t replica) { nodes_[replica].disk = MemoryDisk(); }
  MemoryDisk& disk(size_t replica) { return nodes_[replica].disk; }
  // An isolated replica neither sends nor receives; its messages are lost.
  void SetIsolated(size_t replica, bool isolated) {
    nodes_[replica].isolated = isolated;
  }
  // A frozen process does nothing; messages sent to it wait.
  void SetFrozen(size_t replica, bool frozen) {
    nodes_[replica].frozen = frozen;
  }
  void SetSyncDelay(size_t replica, Duration delay) {
    nodes_[replica].sync_delay = delay;
  }
  // Proposes a command at every replica; true if at least one accepted it.
  bool Propose();
  // Proposes a command at one replica and returns it; nullopt if the replica
  // did not accept it.
  std::optional<std::string> ProposeAt(size_t replica);
  void Compact(size_t replica);

  bool up(size_t replica) const { return nodes_[replica].consensus != nullptr; }
  Consensus& at(size_t replica) { return *nodes_[replica].consensus; }
  TimePoint now(size_t replica) const;
  std::optional<size_t> Leader() const;
  // True if every replica runs, is a voter and has applied all commands.
  bool HasRecovered() const;
  const std::string& id(size_t replica) const { return nodes_[replica].id; }
  size_t size() const { return nodes_.size(); }
  const std::vector<std::string>& applied(size_t replica) const {
    return nodes_[replica].applied;
  }
  const std::set<std::string>& acknowledged() const { return acknowledged_; }

  // The first violation of a safety property; empty if there was none.
  const std::string& violation() const { return violation_; }
  void CheckLogsMatch();
  void CheckNothingLost();

  NetworkFaults faults;

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(5);

  struct Node {
    std::string id;
    double clock_rate = 1.0;
    MemoryDisk disk;
    std::unique_ptr<DurableLog<MemoryDisk>> log;
    std::unique_ptr<Consensus> consensus;
    std::vector<std::string> applied;
    bool isolated = false;
    bool frozen = false;
    Duration sync_delay{};
    std::deque<std::pair<Duration, PersistAction>> writes;
    std::map<uint64_t, std::pair<uint64_t, std::string>> proposed;
  };
  struct Packet {
    Duration due;
    size_t from;
    size_t to;
    wire::ConsensusMessage message;
  };

  void Step();
  void Deliver();
  void FinishWrites(Node& node);
  void TakeActions(size_t replica);
  void Transmit(size_t from, const SendAction& send);
  void Apply(size_t replica, const wire::LogEntry& entry);
  void CheckLeaders();
  void CheckConfirmedStates();
  void RecordViolation(const std::string& what);
  size_t IndexOf(const std::string& id) const;
  bool RandomBool(double probability);

  std::mt19937_64 random_;
  std::vector<wire::Member> members_;
  std::vector<Node> nodes_;
  std::vector<Packet> network_;
  Duration elapsed_{};
  uint64_t commands_ = 0;
  std::map<uint64_t, std::string> leader_of_term_;
  std::map<uint64_t, std::string> history_;  // Term and command by index.
  std::vector<std::string> commands_in_order_;
  std::set<std::string> acknowledged_;
  // Number of commands up to the newest acknowledged one, by the time of that
  // acknowledgement.
  std::map<Duration, size_t> acknowledged_by_time_;
  std::string violation_;
};

}  // namespace limpethatch

#endif  // TESTS_PROCESS_CONSENSUS_SIMULATION_H_
