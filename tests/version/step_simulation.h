// A random world around a step ledger, for property tests: holders that lose
// answers, trainers that lose deliveries, late records, deaths and restores.
// The world keeps its own book and asserts against it.
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
  // Everything works again: every step must come whole.
  void RunToCompletion();

 private:
  using SampleName = std::pair<size_t, uint32_t>;  // Step, index.

  // One attempt as the world handed it out.
  struct Run {
    std::string holder;
    std::string engine;
    size_t step = 0;
    wire::SampleAssignment assignment;
    uint64_t version = 0;  // Of the engine at its start.
    bool ended = false;
    wire::SampleRecord accepted;  // Set once DONE.
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

  // The result that the ledger foresees for a command that changes nothing.
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
  // Of the ledger, but for its count of pulls.
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
  // Of the first tokens of an attempt, its partial's included.
  uint64_t OldestStart(const Run& run) const;

  StepLedger ledger_;
  StepLedger replica_;  // Restored from a snapshot now and then.
  uint64_t version_ = 10;
  uint64_t pulls_ = 0;
  uint32_t incarnations_[3] = {};
  std::vector<Step> steps_;
  std::map<uint64_t, Run> runs_;  // By epoch.
  std::map<SampleName, uint64_t> newest_;
  std::map<uint64_t, uint64_t> sequences_;  // As sent, by epoch.
  wire::SampleTake last_take_;
};

}  // namespace limpethatch::testing

#endif  // LIMPETHATCH_TESTS_VERSION_STEP_SIMULATION_H_
