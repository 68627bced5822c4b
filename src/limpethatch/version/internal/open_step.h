// One open step: which samples wait, run, are recorded, sent, acknowledged.
#ifndef LIMPETHATCH_VERSION_INTERNAL_OPEN_STEP_H_
#define LIMPETHATCH_VERSION_INTERNAL_OPEN_STEP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "ledger.pb.h"
#include "limpethatch/version/length_table.h"
#include "snapshot.pb.h"

namespace limpethatch::internal {

// Text that an earlier attempt reached, with its label.
struct Partial {
  std::string text;
  uint32_t tokens = 0;
  google::protobuf::RepeatedPtrField<wire::VersionRange> ranges;
};

struct Sample {
  uint32_t group = 0;
  uint32_t remakes = 0;
  uint64_t live_epoch = 0;      // 0: none runs.
  uint64_t recorded_epoch = 0;  // 0: not recorded.
  bool waiting = false;
  bool acknowledged = false;
  double rank = 0;  // While waiting.
  std::unique_ptr<wire::DeliveredSample> content;
  std::unique_ptr<Partial> partial;
};

struct Group {
  uint64_t prompt_digest = 0;
  uint32_t first_sample = 0;
  uint32_t samples = 0;
  uint32_t started = 0;
  LengthEstimate finished;
};

class OpenStep {
 public:
  OpenStep(uint64_t order, wire::StepOpen open);
  explicit OpenStep(const wire::StepSnapshot& snapshot);

  const wire::StepOpen& open() const { return open_; }
  uint64_t order() const { return order_; }
  uint32_t total() const { return static_cast<uint32_t>(samples_.size()); }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  uint32_t unrecorded() const { return unrecorded_; }
  uint32_t acknowledged() const { return acknowledged_; }
  uint32_t remade() const { return remade_; }
  uint32_t declines() const { return declines_; }
  uint32_t MostRemakes() const;
  uint64_t session() const { return session_; }
  // Whether anything waits for delivery or for its acknowledgement.
  bool HasContent() const { return !ready_.empty() || !sent_.empty(); }
  const std::vector<Group>& groups() const { return groups_; }

  Sample& sample(uint32_t index) { return samples_[index]; }
  const Sample& sample(uint32_t index) const { return samples_[index]; }
  Group& group(uint32_t index) { return groups_[index]; }
  const Group& group(uint32_t index) const { return groups_[index]; }

  void Enqueue(uint32_t index, double rank);
  void Rerank(uint32_t index, double rank);
  // The first in rank among those of `ceiling` and below.
  std::optional<uint32_t> FirstWaiting(double ceiling) const;
  void Start(uint32_t index, uint64_t epoch);
  void Decline() { ++declines_; }
  void CountRemake(uint32_t index);

  // The sample is whole and stands in line for delivery.
  void Record(uint32_t index, const wire::SampleRecord& record);

  // False if an earlier session asks.
  bool Resume(uint64_t session);
  void Acknowledge(uint64_t after);
  // Up to `limit` samples: first again those sent and not acknowledged, then
  // new ones. Those older than `oldest_version` are not delivered but dropped
  // and returned, to be made again.
  std::vector<uint32_t> Deliver(uint64_t oldest_version,
                                uint32_t limit,
                                wire::StepDelivery& delivery);

  wire::StepSnapshot Snapshot() const;

 private:
  void AddGroups();
  bool DropIfOlder(uint32_t index, uint64_t oldest_version);

  wire::StepOpen open_;
  uint64_t order_;
  uint64_t session_ = 0;
  uint64_t last_sequence_ = 0;
  uint32_t unrecorded_ = 0;
  uint32_t acknowledged_ = 0;
  uint32_t remade_ = 0;
  uint32_t declines_ = 0;
  std::vector<Sample> samples_;
  std::vector<Group> groups_;
  std::set<std::pair<double, uint32_t>> waiting_;  // Greatest rank first.
  std::deque<uint32_t> ready_;
  std::map<uint64_t, uint32_t> sent_;  // By sequence.
};

}  // namespace limpethatch::internal

#endif  // LIMPETHATCH_VERSION_INTERNAL_OPEN_STEP_H_
