// What a trainer must get for one step, and the faults of what it got.
#ifndef PROGRAMS_LOAD_SAMPLE_CHECK_H_
#define PROGRAMS_LOAD_SAMPLE_CHECK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "programs/load/answer_check.h"

namespace limpethatch::load {

struct DeliveredSample {
  uint64_t sequence = 0;
  uint64_t sample = 0;
  uint64_t group = 0;
  ReportedCompletion completion;
};

struct SampleFaults {
  uint64_t delivered = 0;  // Distinct samples.
  uint64_t lost = 0;
  uint64_t doubled = 0;
  uint64_t stale = 0;
  uint64_t mislabelled = 0;
  uint64_t corrupt = 0;
  uint64_t out_of_order = 0;
  uint64_t mixed_versions = 0;  // Made by more than one version; no fault.
  uint64_t tokens = 0;
  uint64_t longest_sample = 0;  // Tokens of the longest sample.
  double staleness_total = 0;   // Over distinct samples.

  void Add(const SampleFaults& other);
};

struct StepPlan {
  std::vector<std::string> prompts;  // One for each group.
  uint64_t group_size = 1;
  uint64_t max_staleness = 0;
  uint32_t max_tokens = 0;
  SyntheticLengths lengths;
};

class SampleCheck {
 public:
  explicit SampleCheck(StepPlan plan);

  // A sample that came while the trainer was at `at_version`.
  void Receive(const DeliveredSample& delivered, uint64_t at_version);
  // At the step's end: what did not come is lost.
  void CountLost();

  uint64_t last_sequence() const { return last_sequence_; }
  size_t expected() const { return received_.size(); }
  const SampleFaults& faults() const { return faults_; }

 private:
  void CheckContent(const DeliveredSample& delivered);
  void CheckStaleness(const ReportedCompletion& completion,
                      uint64_t at_version);

  const StepPlan plan_;
  std::vector<bool> received_;
  uint64_t last_sequence_ = 0;
  SampleFaults faults_;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_SAMPLE_CHECK_H_
