// The live attempts, indexed by epoch, holder and engine.
#ifndef LIMPETHATCH_VERSION_INTERNAL_ATTEMPT_TABLE_H_
#define LIMPETHATCH_VERSION_INTERNAL_ATTEMPT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "snapshot.pb.h"

namespace limpethatch::internal {

// A length is long from this multiple of the pool's mean on.
inline constexpr double kLongFactor = 3;

// An attempt is overdue beyond this multiple of its expected length.
inline constexpr double kOverdueFactor = 2;

struct Attempt {
  uint64_t epoch = 0;
  uint64_t step = 0;  // Order of the step.
  uint32_t sample = 0;
  std::string holder;
  std::string engine;
  // Oldest version of its first tokens, including resumed ones.
  uint64_t oldest_version = 0;
  uint64_t charge = 0;   // Expected tokens, charged to the trainer in advance.
  uint32_t reached = 0;  // Tokens generated, as last reported.

  uint64_t overdue_length = 0;  // Expected tokens once it is overdue.

  // Current estimate of the length of the whole sample, in tokens.
  uint64_t ExpectedTokens() const;
};

// Live attempts, ordered by expected length and epoch.
using LengthIndex = std::set<std::pair<uint64_t, uint64_t>>;

// Tokens still expected of a long attempt and of the longest of its step.
struct LongAttempt {
  uint64_t step = 0;
  double remaining = 0;
  double step_longest_remaining = 0;
};

struct Engine {
  std::string pool;
  uint64_t version = 0;    // As reported with its last pull.
  uint64_t last_pull = 0;  // Number of that pull among those of its pool.
  std::set<uint64_t> live;
  LengthIndex lengths;
};

class AttemptTable {
 public:
  static constexpr uint64_t kIdleRoundsToForget = 8;

  // Records a pull of the engine with its pool and version. Removes engines
  // without attempts that have not pulled for kIdleRoundsToForget rounds of
  // their pool.
  void Pull(const std::string& engine,
            const std::string& pool,
            uint64_t version);
  void Add(Attempt attempt);
  // Removes and returns the attempt; nullopt if it is not live.
  std::optional<Attempt> Remove(uint64_t epoch);
  // Updates the number of tokens that an attempt has generated.
  void Progress(uint64_t epoch, uint32_t tokens);
  const Attempt* Find(uint64_t epoch) const;

  std::vector<uint64_t> EpochsOfHolder(const std::string& holder) const;

  // The long attempts of an engine, longest first.
  std::vector<LongAttempt> LongOnEngine(const std::string& engine,
                                        double mean_tokens) const;
  // Number of long attempts in the pool, counted up to `limit`.
  uint32_t CountLong(const std::string& pool,
                     double mean_tokens,
                     uint32_t limit) const;
  uint32_t MinEngineAttempts(const std::string& pool) const;
  uint32_t CountEngines(const std::string& pool) const;
  uint32_t CountRunning(const std::string& pool) const;
  const std::map<std::string, Engine>& engines() const { return engines_; }
  const std::map<uint64_t, Attempt>& attempts() const { return attempts_; }

  void Save(wire::StepLedgerSnapshot& snapshot) const;
  // The table must be empty.
  void Load(const wire::StepLedgerSnapshot& snapshot);

 private:
  // The engines of one pool, ordered by their number of attempts.
  struct PoolLoad {
    std::set<std::pair<size_t, std::string>> engines;
    uint32_t running = 0;
    uint64_t pulls = 0;
    LengthIndex lengths;
  };

  double RemainingTokens(uint64_t epoch) const;
  void AddLength(const Attempt& attempt);
  void EraseLength(const Attempt& attempt);

  void MoveToPool(const std::string& name,
                  Engine& engine,
                  const std::string& pool);
  void ForgetIdleEngines(PoolLoad& pool_load);

  void UpdateLoad(const std::string& name,
                  Engine& engine,
                  const Attempt& attempt,
                  bool added);

  std::map<uint64_t, Attempt> attempts_;
  std::map<std::string, std::set<uint64_t>> by_holder_;
  std::map<std::string, Engine> engines_;
  std::map<std::string, PoolLoad> pool_loads_;  // By pool.
  std::map<uint64_t, LengthIndex> step_lengths_;
};

}  // namespace limpethatch::internal

#endif  // LIMPETHATCH_VERSION_INTERNAL_ATTEMPT_TABLE_H_
