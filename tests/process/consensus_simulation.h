// Replicas, their disks and the network among them, under one manual clock.
// Every step checks what must hold of all replicas together.
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
  // Replicas beyond the founders run, but are no members until added.
  ConsensusSimulation(size_t replicas, uint64_t seed, size_t founders = 0);

  // Lets time pass in small steps.
  void Run(Duration time);
  // Runs until `condition` holds; false if it does not within `limit`.
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
  // The disk is empty from here on; the replica must be down.
  void EraseDisk(size_t replica) { nodes_[replica].disk = MemoryDisk(); }
  MemoryDisk& disk(size_t replica) { return nodes_[replica].disk; }
  // Cut replicas hear and reach nobody; their messages are lost silently.
  void SetIsolated(size_t replica, bool isolated) {
    nodes_[replica].isolated = isolated;
  }
  // A frozen process does nothing; what is sent to it waits.
  void SetFrozen(size_t replica, bool frozen) {
    nodes_[replica].frozen = frozen;
  }
  void SetSyncDelay(size_t replica, Duration delay) {
    nodes_[replica].sync_delay = delay;
  }
  // Proposes at every replica that takes it; true if one did.
  bool Propose();
  void Compact(size_t replica);

  bool up(size_t replica) const { return nodes_[replica].consensus != nullptr; }
  Consensus& at(size_t replica) { return *nodes_[replica].consensus; }
  TimePoint now(size_t replica) const;
  std::optional<size_t> Leader() const;
  // Every replica is up, counts with its present disk, and has applied all.
  bool HasRecovered() const;
  const std::string& id(size_t replica) const { return nodes_[replica].id; }
  size_t size() const { return nodes_.size(); }
  const std::vector<std::string>& applied(size_t replica) const {
    return nodes_[replica].applied;
  }
  const std::set<std::string>& acknowledged() const { return acknowledged_; }

  // The first thing that went wrong; empty if nothing did.
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
  std::map<uint64_t, std::string> history_;  // By index: term and command.
  std::vector<std::string> commands_in_order_;
  std::set<std::string> acknowledged_;
  std::string violation_;
};

}  // namespace limpethatch

#endif  // TESTS_PROCESS_CONSENSUS_SIMULATION_H_
