#include "limpethatch/version/internal/attempt_table.h"

#include <algorithm>

namespace limpethatch::internal {

uint64_t Attempt::ExpectedTokens() const {
  if (static_cast<double>(reached) <=
      kOverdueFactor * static_cast<double>(charge)) {
    return std::max<uint64_t>(charge, reached);
  }
  return std::max(uint64_t{2} * reached, overdue_length);
}

void AttemptTable::Pull(const std::string& name,
                        const std::string& pool,
                        uint64_t version) {
  auto& engine = engines_[name];
  engine.version = version;
  if (engine.pool != pool || engine.last_pull == 0) {
    MoveToPool(name, engine, pool);
  }
  auto& pool_load = pool_loads_[pool];
  engine.last_pull = ++pool_load.pulls;
  ForgetIdleEngines(pool_load);
}

void AttemptTable::Add(Attempt attempt) {
  const auto epoch = attempt.epoch;
  by_holder_[attempt.holder].insert(epoch);
  UpdateLoad(attempt.engine, engines_.at(attempt.engine), attempt, true);
  attempts_.emplace(epoch, std::move(attempt));
}

std::optional<Attempt> AttemptTable::Remove(uint64_t epoch) {
  auto node = attempts_.extract(epoch);
  if (node.empty()) {
    return std::nullopt;
  }
  auto& attempt = node.mapped();
  const auto holder_epochs = by_holder_.find(attempt.holder);
  holder_epochs->second.erase(epoch);
  if (holder_epochs->second.empty()) {
    by_holder_.erase(holder_epochs);
  }
  UpdateLoad(attempt.engine, engines_.at(attempt.engine), attempt, false);
  return std::move(attempt);
}

void AttemptTable::Progress(uint64_t epoch, uint32_t tokens) {
  const auto found = attempts_.find(epoch);
  if (found == attempts_.end()) {
    return;
  }
  auto& attempt = found->second;
  EraseLength(attempt);
  attempt.reached = std::max(attempt.reached, tokens);
  AddLength(attempt);
}

const Attempt* AttemptTable::Find(uint64_t epoch) const {
  const auto found = attempts_.find(epoch);
  return found == attempts_.end() ? nullptr : &found->second;
}

std::vector<uint64_t> AttemptTable::EpochsOfHolder(
    const std::string& holder) const {
  const auto found = by_holder_.find(holder);
  if (found == by_holder_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

std::vector<LongAttempt> AttemptTable::LongOnEngine(const std::string& engine,
                                                    double mean_tokens) const {
  std::vector<LongAttempt> found;
  const auto& lengths = engines_.at(engine).lengths;
  for (auto at = lengths.rbegin(); at != lengths.rend(); ++at) {
    if (static_cast<double>(at->first) < kLongFactor * mean_tokens) {
      break;
    }
    const auto step = attempts_.at(at->second).step;
    const auto longest = step_lengths_.at(step).rbegin()->second;
    found.push_back(
        {step, RemainingTokens(at->second), RemainingTokens(longest)});
  }
  return found;
}

double AttemptTable::RemainingTokens(uint64_t epoch) const {
  const auto& attempt = attempts_.at(epoch);
  return static_cast<double>(attempt.ExpectedTokens() - attempt.reached);
}

void AttemptTable::AddLength(const Attempt& attempt) {
  auto& engine = engines_.at(attempt.engine);
  const std::pair key{attempt.ExpectedTokens(), attempt.epoch};
  engine.lengths.insert(key);
  pool_loads_[engine.pool].lengths.insert(key);
  step_lengths_[attempt.step].insert(key);
}

void AttemptTable::EraseLength(const Attempt& attempt) {
  auto& engine = engines_.at(attempt.engine);
  const std::pair key{attempt.ExpectedTokens(), attempt.epoch};
  engine.lengths.erase(key);
  pool_loads_[engine.pool].lengths.erase(key);
  const auto step = step_lengths_.find(attempt.step);
  step->second.erase(key);
  if (step->second.empty()) {
    step_lengths_.erase(step);
  }
}

uint32_t AttemptTable::CountLong(const std::string& pool,
                                 double mean_tokens,
                                 uint32_t limit) const {
  const auto found = pool_loads_.find(pool);
  if (found == pool_loads_.end()) {
    return 0;
  }
  const auto& lengths = found->second.lengths;
  uint32_t count = 0;
  for (auto at = lengths.rbegin(); at != lengths.rend() && count < limit;
       ++at) {
    if (static_cast<double>(at->first) < kLongFactor * mean_tokens) {
      break;
    }
    ++count;
  }
  return count;
}

uint32_t AttemptTable::MinEngineAttempts(const std::string& pool) const {
  const auto found = pool_loads_.find(pool);
  if (found == pool_loads_.end() || found->second.engines.empty()) {
    return 0;
  }
  return static_cast<uint32_t>(found->second.engines.begin()->first);
}

uint32_t AttemptTable::CountEngines(const std::string& pool) const {
  const auto found = pool_loads_.find(pool);
  return found == pool_loads_.end()
             ? 0
             : static_cast<uint32_t>(found->second.engines.size());
}

uint32_t AttemptTable::CountRunning(const std::string& pool) const {
  const auto found = pool_loads_.find(pool);
  return found == pool_loads_.end() ? 0 : found->second.running;
}

void AttemptTable::Save(wire::StepLedgerSnapshot& snapshot) const {
  for (const auto& [name, engine] : engines_) {
    auto& saved = *snapshot.add_engines();
    saved.set_engine(name);
    saved.set_pool(engine.pool);
    saved.set_version(engine.version);
    saved.set_last_pull(engine.last_pull);
  }
  for (auto& pool : *snapshot.mutable_pools()) {
    if (const auto found = pool_loads_.find(pool.pool());
        found != pool_loads_.end()) {
      pool.set_pulls(found->second.pulls);
    }
  }
  for (const auto& [epoch, attempt] : attempts_) {
    auto& saved = *snapshot.add_attempts();
    saved.set_epoch(epoch);
    saved.set_step_order(attempt.step);
    saved.set_sample(attempt.sample);
    saved.set_holder(attempt.holder);
    saved.set_engine(attempt.engine);
    saved.set_oldest_version(attempt.oldest_version);
    saved.set_charge(attempt.charge);
    saved.set_reached(attempt.reached);
    saved.set_overdue_length(attempt.overdue_length);
  }
}

void AttemptTable::Load(const wire::StepLedgerSnapshot& snapshot) {
  for (const auto& saved : snapshot.pools()) {
    pool_loads_[saved.pool()].pulls = saved.pulls();
  }
  for (const auto& saved : snapshot.engines()) {
    auto& engine = engines_[saved.engine()];
    engine.version = saved.version();
    engine.last_pull = saved.last_pull();
    MoveToPool(saved.engine(), engine, saved.pool());
  }
  for (const auto& saved : snapshot.attempts()) {
    Add({saved.epoch(), saved.step_order(), saved.sample(), saved.holder(),
         saved.engine(), saved.oldest_version(), saved.charge(),
         saved.reached(), saved.overdue_length()});
  }
}

void AttemptTable::MoveToPool(const std::string& name,
                              Engine& engine,
                              const std::string& pool) {
  const auto load = engine.live.size();
  if (const auto old = pool_loads_.find(engine.pool);
      old != pool_loads_.end()) {
    old->second.engines.erase({load, name});
    old->second.running -= static_cast<uint32_t>(load);
    for (const auto& length : engine.lengths) {
      old->second.lengths.erase(length);
    }
  }
  engine.pool = pool;
  auto& pool_load = pool_loads_[pool];
  pool_load.engines.emplace(load, name);
  pool_load.running += static_cast<uint32_t>(load);
  pool_load.lengths.insert(engine.lengths.begin(), engine.lengths.end());
}

void AttemptTable::ForgetIdleEngines(PoolLoad& pool_load) {
  while (!pool_load.engines.empty()) {
    const auto [load, name] = *pool_load.engines.begin();
    const auto age = pool_load.pulls - engines_.at(name).last_pull;
    if (load > 0 || age <= kIdleRoundsToForget * pool_load.engines.size()) {
      return;
    }
    pool_load.engines.erase(pool_load.engines.begin());
    engines_.erase(name);
  }
}

void AttemptTable::UpdateLoad(const std::string& name,
                              Engine& engine,
                              const Attempt& attempt,
                              bool added) {
  auto& pool_load = pool_loads_[engine.pool];
  pool_load.engines.erase({engine.live.size(), name});
  if (added) {
    engine.live.insert(attempt.epoch);
    AddLength(attempt);
    ++pool_load.running;
  } else {
    engine.live.erase(attempt.epoch);
    EraseLength(attempt);
    --pool_load.running;
  }
  pool_load.engines.emplace(engine.live.size(), name);
}

}  // namespace limpethatch::internal
