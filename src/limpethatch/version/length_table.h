// Lengths of samples learned by prompt, for the steps to come.
#ifndef LIMPETHATCH_VERSION_LENGTH_TABLE_H_
#define LIMPETHATCH_VERSION_LENGTH_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "snapshot.pb.h"

namespace limpethatch {

// A mean of ln(tokens): one sample far longer than its like moves it little.
struct LengthEstimate {
  uint32_t samples = 0;
  double mean_log_tokens = 0;

  void Add(double tokens);
  void Merge(const LengthEstimate& other);
};

// Whether samples of one prompt are alike in length, judged by the variances
// of ln(tokens) among like samples and over all.
class LengthSpread {
 public:
  // Pairs of like samples before anything is concluded.
  static constexpr uint32_t kMinPairs = 48;
  // Share of the variance that prompts explain, from which on they count, and
  // below which they do so no more.
  static constexpr double kPredictiveAbove = 0.35;
  static constexpr double kUnpredictiveBelow = 0.2;

  LengthSpread() = default;
  explicit LengthSpread(const wire::LengthSpreadSnapshot& saved);

  // `like` is what was known of samples of the same prompt before.
  void Add(double tokens, const LengthEstimate& same_prompt);
  // False until enough is known.
  bool PromptPredictsLength() const { return tells_; }

  wire::LengthSpreadSnapshot Save() const;

 private:
  uint32_t samples_ = 0;
  double mean_ = 0;
  double squares_ = 0;  // Of distances to the mean, summed.
  uint32_t pairs_ = 0;
  double like_squares_ = 0;  // Of distances within a prompt, summed.
  bool tells_ = false;
};

// Bounded: the prompt first seen the longest ago goes first.
class LengthTable {
 public:
  static constexpr size_t kMaxPrompts = 65'536;

  // `prompt` is the digest of the prompt.
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
