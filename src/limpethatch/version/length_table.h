// Estimates of sample lengths, learned per prompt for later steps.
#ifndef LIMPETHATCH_VERSION_LENGTH_TABLE_H_
#define LIMPETHATCH_VERSION_LENGTH_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "snapshot.pb.h"

namespace limpethatch {

// A running mean of ln(tokens). The logarithm limits the influence of a single
// sample that is much longer than the others.
struct LengthEstimate {
  uint32_t samples = 0;
  double mean_log_tokens = 0;

  void Add(double tokens);
  void Merge(const LengthEstimate& other);
};

// Decides whether samples of one prompt have similar lengths, by comparing the
// variance of ln(tokens) within prompts to that over all samples.
class LengthSpread {
 public:
  // Comparisons within a prompt that a conclusion requires.
  static constexpr uint32_t kMinPairs = 48;
  // Share of the variance that prompts have to explain to count as predictive,
  // and share below which they cease to. The two differ to avoid flapping.
  static constexpr double kPredictiveAbove = 0.35;
  static constexpr double kUnpredictiveBelow = 0.2;

  LengthSpread() = default;
  explicit LengthSpread(const wire::LengthSpreadSnapshot& saved);

  // `same_prompt` is the estimate from earlier samples of the same prompt.
  void Add(double tokens, const LengthEstimate& same_prompt);
  // False until kMinPairs comparisons were made.
  bool PromptPredictsLength() const { return tells_; }

  wire::LengthSpreadSnapshot Save() const;

 private:
  uint32_t samples_ = 0;
  double mean_ = 0;
  double squares_ = 0;  // Sum of squared distances to the mean.
  uint32_t pairs_ = 0;
  double like_squares_ = 0;  // Sum of squared distances within a prompt.
  bool tells_ = false;
};

// Length estimates by prompt. Bounded: the prompt added first is evicted first.
class LengthTable {
 public:
  static constexpr size_t kMaxPrompts = 65'536;

  // `prompt` is the prompt's digest.
  void Merge(uint64_t prompt, const LengthEstimate& length);
  LengthEstimate Find(uint64_t prompt) const;

  void Save(wire::StepLedgerSnapshot& snapshot) const;
  void Load(const wire::StepLedgerSnapshot& snapshot);

 private:
  std::unordered_map<uint64_t, LengthEstimate> lengths_;
  std::deque<uint64_t> order_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_LENGTH_TABLE_H_
