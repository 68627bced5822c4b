// A randomised simulation around a step ledger, for property tests: holders
// lose answers, trainers lose deliveries, records arrive late, holders die, and
// a replica is restored from snapshots. The simulation keeps its own model of
// the state and checks the ledger's results against it.
#ifndef LIMPETHATCH_TESTS_VERSION_STEP_SIMULATION_H_
#define LIMPETHATCH_TESTS_VERSION_STEP_SIMULATION_H_

#include <rapidcheck.h>

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/process/digest.h"
#include "limpethatch/version/sample_label.h"
#include "limpethatch/version/step_ledger.h"

namespace limpethatch::testing {

struct StepEvent {
  uint8_t kind = 0;
  uint16_t choice = 0;
};

class StepSimulation {
 public:
  StepSimulation();

  void Handle(const StepEvent& event);
  // Lets all parts work without faults until every step has completed.
  void RunToCompletion();

 private:
  using SampleName = std::pair<size_t, uint32_t>;  // Step, index.

  // One attempt as it was assigned.
  struct Run {
    std::string holder;
    std::string engine;
    size_t step = 0;
    wire::SampleAssignment assignment;
    uint64_t version = 0;  // Version of the engine at the start.
    bool ended = false;
    wire::SampleRecord accepted;  // Set once a record was answered with DONE.
  };
  struct Step {
    wire::StepOpen open;
    uint64_t after = 0;
    uint64_t session = 1;
    std::map<uint32_t, std::string> received;
  };

  template <typename Command>
  auto Apply(const Command& command) {
    const auto no_op_result = NoOpResult(command);
    const auto before = no_op_result ? State() : std::string();
    auto result = ledger_.Apply(command);
    if (no_op_result) {
      RC_ASSERT(*no_op_result == result.SerializeAsString());
      RC_ASSERT(before == State());
    }
    RC_ASSERT(replica_.Apply(command).SerializeAsString() ==
              result.SerializeAsString());
    return result;
  }

  // The result that the ledger predicts for a command that changes nothing;
  // nullopt if it predicts none.
  template <typename Command>
  std::optional<std::string> NoOpResult(const Command& command) const {
    if constexpr (std::same_as<Command, wire::SampleTake>) {
      if (ledger_.IsNoOp(command)) {
        return wire::SampleTaken().SerializeAsString();
      }
    } else if constexpr (std::same_as<Command, wire::StepFetch>) {
      if (const auto delivery = ledger_.Peek(command)) {
        return delivery->SerializeAsString();
      }
    }
    return std::nullopt;
  }
  // The ledger's serialised state without its records of pulls and engines,
  // which a pull that has no other effect may change.
  std::string State() const;

  void Open(uint16_t choice);
  void Take(uint16_t choice);
  void Record(uint16_t choice);
  void Return(uint16_t choice);
  void RemoveHolder(uint16_t choice);
  void Fetch(size_t step, bool lost, bool old_session);
  void Receive(Step& step, const wire::DeliveredSample& sample);
  wire::SampleRecord MakeRecord(const Run& run, uint16_t choice) const;
  VersionRanges MakeRanges(const Run& run, uint32_t tokens, bool swap) const;
  uint64_t EngineVersion(uint16_t choice) const;
  std::string Holder(uint16_t choice) const;
  // Oldest version of the first tokens of an attempt, including resumed ones.
  uint64_t OldestStart(const Run& run) const;

  StepLedger ledger_;
  StepLedger replica_;  // Applies the same commands; restored at random times.
  uint64_t version_ = 10;
  uint64_t pulls_ = 0;
  uint32_t incarnations_[3] = {};
  std::vector<Step> steps_;
  std::map<uint64_t, Run> runs_;  // By epoch.
  std::map<SampleName, uint64_t> newest_;
  std::map<uint64_t, uint64_t> sequences_;  // As delivered, by epoch.
  wire::SampleTake last_take_;
};

}  // namespace limpethatch::testing

#endif  // LIMPETHATCH_TESTS_VERSION_STEP_SIMULATION_H_
