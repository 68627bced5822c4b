#include "limpethatch/version/weight_planner.h"

#include <algorithm>
#include <tuple>

namespace limpethatch {
namespace {

// The mean load time is an exponential moving average over about this many
// loads.
constexpr int kMeanSamples = 16;

}  // namespace

WeightPlanner::WeightPlanner(WeightPlannerOptions options)
    : options_(options) {}

void WeightPlanner::Declare(const std::string& name,
                            uint64_t version,
                            uint32_t concurrent_loads) {
  auto& pool = pools_[name];
  pool.version = std::max(pool.version, version);
  pool.concurrent_loads = std::max(concurrent_loads, 1U);
}

void WeightPlanner::Report(const std::string& name,
                           const EngineReport& report,
                           TimePoint now) {
  const auto [found, added] = engines_.try_emplace(name);
  auto& engine = found->second;
  if (!added && report.incarnation < engine.report.incarnation) {
    return;
  }
  if (added || report.incarnation > engine.report.incarnation) {
    engine = Engine{};
    engine.reported_since = now;
  } else if (report.version != engine.report.version) {
    engine.reported_since = now;
    engine.contradicted = false;
  }
  engine.report = report;
  // A contradicted engine already reported the ordered version before the load,
  // so only its answers or the time-out can settle such a load.
  if (engine.loading == report.version && !engine.contradicted) {
    CompleteLoad(engine, now);
  }
}

// Tokens generated before the engine first reported its version say nothing
// about that report and are ignored.
void WeightPlanner::ObserveVersion(const std::string& name,
                                   uint64_t version,
                                   TimePoint generated_at,
                                   TimePoint now) {
  const auto found = engines_.find(name);
  if (found == engines_.end()) {
    return;
  }
  auto& engine = found->second;
  if (engine.loading != 0 && generated_at < engine.ordered_at) {
    return;
  }
  if (version == engine.report.version) {
    engine.contradicted = false;
    if (engine.loading == version) {
      CompleteLoad(engine, now);
    }
  } else if (generated_at >= engine.reported_since && engine.loading == 0) {
    engine.contradicted = true;
  }
}

void WeightPlanner::LoadFailed(const std::string& name, TimePoint now) {
  if (const auto found = engines_.find(name);
      found != engines_.end() && found->second.loading != 0) {
    FailLoad(found->second, now);
  }
}

void WeightPlanner::Remove(const std::string& name) {
  engines_.erase(name);
}

std::vector<LoadOrder> WeightPlanner::Plan(TimePoint now) {
  ExpireLoads(now);
  uint32_t in_flight = 0;
  for (const auto& [name, engine] : engines_) {
    in_flight += engine.loading != 0 ? 1 : 0;
  }
  auto available_loads =
      options_.store_loads - std::min(options_.store_loads, in_flight);
  std::vector<LoadOrder> orders;
  for (const auto& [name, pool] : pools_) {
    PlanPool(name, now, available_loads, orders);
  }
  return orders;
}

std::vector<std::string> WeightPlanner::OutdatedEngines(
    const std::string& pool) const {
  std::vector<std::string> names;
  for (const auto& [name, engine] : engines_) {
    if (engine.report.pool == pool && IsOutdated(engine)) {
      names.push_back(name);
    }
  }
  return names;
}

uint32_t WeightPlanner::CountLoading(const std::string& pool) const {
  return static_cast<uint32_t>(
      std::count_if(engines_.begin(), engines_.end(), [&](const auto& entry) {
        return entry.second.report.pool == pool && entry.second.loading != 0;
      }));
}

bool WeightPlanner::IsOutdated(const Engine& engine) const {
  const auto pool = pools_.find(engine.report.pool);
  return pool != pools_.end() &&
         (engine.contradicted || engine.report.version != pool->second.version);
}

void WeightPlanner::FailLoad(Engine& engine, TimePoint now) {
  engine.loading = 0;
  auto delay = options_.min_retry_delay;
  for (uint32_t failure = 0;
       failure < engine.failures && delay < options_.max_retry_delay;
       ++failure) {
    delay *= 2;
  }
  ++engine.failures;
  engine.retry_at = now + std::min(delay, options_.max_retry_delay);
}

void WeightPlanner::CompleteLoad(Engine& engine, TimePoint now) {
  const auto load_time = now - engine.ordered_at;
  mean_load_ = mean_load_ == Duration{}
                   ? load_time
                   : mean_load_ + (load_time - mean_load_) / kMeanSamples;
  engine.loading = 0;
  engine.failures = 0;
}

void WeightPlanner::ExpireLoads(TimePoint now) {
  auto timeout = options_.load_timeout;
  if (mean_load_ > Duration{}) {
    timeout = std::min(timeout, kTimeoutFactor * mean_load_);
  }
  for (auto& [name, engine] : engines_) {
    if (engine.loading != 0 && now - engine.ordered_at >= timeout) {
      FailLoad(engine, now);
    }
  }
}

uint32_t WeightPlanner::MaxLoads(const std::string& pool) const {
  const auto engines = static_cast<uint32_t>(std::count_if(
      engines_.begin(), engines_.end(),
      [&](const auto& entry) { return entry.second.report.pool == pool; }));
  const auto half = std::max(engines / 2, 1U);
  return std::min(pools_.at(pool).concurrent_loads, half);
}

// Engines whose load failed come first, since they determine when the pool is
// done, except those that failed too often, which come last. Within these
// groups, engines with the least live load come first.
void WeightPlanner::PlanPool(const std::string& pool,
                             TimePoint now,
                             uint32_t& available_loads,
                             std::vector<LoadOrder>& orders) {
  std::vector<std::map<std::string, Engine>::iterator> ready;
  for (auto at = engines_.begin(); at != engines_.end(); ++at) {
    const auto& engine = at->second;
    if (engine.report.pool == pool && engine.loading == 0 &&
        IsOutdated(engine) && now >= engine.retry_at) {
      ready.push_back(at);
    }
  }
  std::stable_sort(
      ready.begin(), ready.end(), [](const auto& left, const auto& right) {
        const auto key = [](const Engine& engine) {
          const bool deprioritised = engine.failures > kDeprioritisingFailures;
          return std::tuple(deprioritised, engine.failures == 0,
                            engine.report.live_load);
        };
        return key(left->second) < key(right->second);
      });
  const auto max_loads = MaxLoads(pool);
  const auto loading = CountLoading(pool);
  auto free_loads =
      std::min(available_loads, max_loads - std::min(max_loads, loading));
  const auto version = pools_.at(pool).version;
  for (const auto& at : ready) {
    if (free_loads == 0) {
      return;
    }
    --free_loads;
    --available_loads;
    at->second.loading = version;
    at->second.ordered_at = now;
    orders.push_back({at->first, version});
  }
}

}  // namespace limpethatch
