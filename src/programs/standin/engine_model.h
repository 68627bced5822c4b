// Continuous batching as a pure state machine: limited slots, first-come
// admission, a prefix cache, and weight changes in mid-stream.
#ifndef PROGRAMS_STANDIN_ENGINE_MODEL_H_
#define PROGRAMS_STANDIN_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/request/generation.h"
#include "programs/standin/prefix_cache.h"

namespace limpethatch::standin {

struct EngineModelOptions {
  uint32_t slots = 16;
  // Time per token in a batch of one.
  Duration token_interval = std::chrono::milliseconds(2);
  // Relative increase of the token interval in a full batch.
  double slowdown = 0.3;
  Duration prefill_per_token = std::chrono::microseconds(20);
  size_t cached_prefixes = 256;
};

struct SequenceSpec {
  std::vector<uint64_t> prefix_blocks;
  uint32_t prompt_tokens = 0;
  uint32_t first_token = 0;  // Above 0 for a resumed stream.
  uint32_t end_token = 0;
  bool has_kv_cache = false;  // Skips the prefill.
};

struct Sequence {
  SequenceSpec spec;
  bool admitted = false;
  uint32_t tokens = 0;  // Index of the next token.
  std::vector<TokenRange> ranges;
  Duration remaining_prefill{};
  // Like `tokens`, including the fraction of the token being generated.
  double position = 0;

  bool finished() const { return admitted && tokens == spec.end_token; }
};

using SequenceId = uint64_t;

class EngineModel {
 public:
  EngineModel(const EngineModelOptions& options,
              uint64_t version,
              TimePoint now);

  void Submit(SequenceId id, SequenceSpec spec, TimePoint now);
  // Removes a sequence, finished or not.
  void Remove(SequenceId id, TimePoint now);
  void SetVersion(uint64_t version, TimePoint now);
  // While paused, nothing is prefilled or decoded.
  void SetPaused(bool paused, TimePoint now);
  void Advance(TimePoint now);

  // Time at which the next sequence finishes or completes its prefill;
  // TimePoint::max() if none will.
  TimePoint NextEvent() const;
  // Null if the id is unknown.
  const Sequence* Find(SequenceId id) const;
  uint64_t version() const { return version_; }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_.size(); }

 private:
  Duration TokenTime() const;
  void AdvanceBy(Duration elapsed);
  void AddTokens(Sequence& sequence, Duration elapsed);
  void AdmitWaiting();

  const EngineModelOptions options_;
  uint64_t version_;
  bool paused_ = false;
  TimePoint now_;
  PrefixCache cache_;
  std::map<SequenceId, Sequence> sequences_;
  std::vector<SequenceId> running_;
  std::deque<SequenceId> queue_;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_ENGINE_MODEL_H_
