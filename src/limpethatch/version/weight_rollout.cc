#include "limpethatch/version/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace limpethatch {
namespace {

// Whether an order is in transit to the engine or its load is expected to be in
// progress.
bool IsLoading(const EngineState& engine, TimePoint now) {
  return std::any_of(engine.models.begin(), engine.models.end(),
                     [now](const auto& entry) {
                       return entry.second.loading_version != 0 &&
                              now < entry.second.paused_until;
                     });
}

// The version that the engine has or loads.
uint64_t HeldVersion(const EngineModel& model) {
  return std::max(model.version, model.loading_version);
}

}  // namespace

auto WeightRollout::Rank(const LoadCandidate& candidate) {
  return std::tuple(candidate.failing, !candidate.stale, candidate.slow,
                    candidate.in_zone, candidate.usable_models,
                    candidate.running);
}

void WeightRollout::ExpireLoads(EngineTable& engine_table, TimePoint now) {
  for (auto& [id, engine] : engine_table.engines()) {
    for (auto& [name, model] : engine.models) {
      if (model.loading_version != 0 &&
          now - model.loading_since > options_.load_timeout) {
        model.loading_version = 0;
        model.paused_until = {};
      }
    }
  }
}

std::optional<WeightRollout::LoadCandidate> WeightRollout::FindBestLoad(
    const std::string& model,
    uint64_t newest,
    size_t models,
    const std::vector<IdleEngine>& may_load,
    const EngineTable& engine_table,
    TimePoint now) const {
  std::map<std::string_view, size_t> newest_by_zone;
  size_t engines = 0;
  size_t on_newest = 0;
  size_t usable = 0;
  for (const auto& [id, engine] : engine_table.engines()) {
    const auto found = engine.models.find(model);
    if (found == engine.models.end() || engine.IsFailing(now)) {
      continue;
    }
    const uint64_t held_version = HeldVersion(found->second);
    ++engines;
    usable += held_version + options_.usable_lag < newest ? 0 : 1;
    if (held_version >= newest) {
      ++on_newest;
      ++newest_by_zone[engine.zone];
    }
  }
  const double share =
      std::min(options_.max_newest_share, 1.0 / static_cast<double>(models));
  const auto max_on_newest =
      static_cast<size_t>(std::ceil(static_cast<double>(engines) * share));
  LoadCandidate best;
  for (const auto& [engine, slow, usable_models] : may_load) {
    const auto found = engine->models.find(model);
    if (found == engine->models.end()) {
      continue;
    }
    const uint64_t held_version = HeldVersion(found->second);
    if (held_version >= newest) {
      continue;
    }
    const bool stale = held_version + options_.usable_lag < newest;
    const bool failing = engine->IsFailing(now);
    // No sample would show that a stale engine works again.
    const bool needs_contact = failing && stale;
    if (on_newest >= max_on_newest && !needs_contact) {
      continue;
    }
    const auto running_count = engine->running_by_model.find(model);
    const uint32_t running_samples =
        running_count == engine->running_by_model.end() ? 0
                                                        : running_count->second;
    const size_t in_zone = newest_by_zone[engine->zone];
    const LoadCandidate candidate = {
        failing,         stale,  slow,  in_zone, usable_models,
        running_samples, engine, model, newest,  usable};
    if (!best.engine || Rank(candidate) < Rank(best)) {
      best = candidate;
    }
  }
  if (!best.engine) {
    return std::nullopt;
  }
  return best;
}

WeightRollout::LoadsByService WeightRollout::CountLoads(
    const EngineTable& engine_table,
    TimePoint now) {
  LoadsByService loads;
  for (const auto& [id, engine] : engine_table.engines()) {
    ServiceLoads& service = loads[engine.service];
    ++service.engines;
    service.loading += IsLoading(engine, now) ? 1 : 0;
  }
  return loads;
}

size_t WeightRollout::CountUsableModels(const EngineState& engine,
                                        const Versions& newest) const {
  return static_cast<size_t>(
      std::count_if(newest.begin(), newest.end(), [&](const auto& entry) {
        const auto found = engine.models.find(entry.first);
        return found != engine.models.end() &&
               HeldVersion(found->second) + options_.usable_lag >= entry.second;
      }));
}

std::vector<WeightRollout::IdleEngine> WeightRollout::EnginesThatMayLoad(
    const Versions& newest,
    const LoadsByService& loads,
    EngineTable& engine_table,
    TimePoint now) const {
  std::vector<IdleEngine> may_load;
  std::map<std::string_view, Duration> fast_gaps;
  for (const auto& [service, count] : loads) {
    fast_gaps[service] = engine_table.FastEventGap(service);
  }
  for (auto& [id, engine] : engine_table.engines()) {
    const ServiceLoads& service = loads.find(engine.service)->second;
    const auto max_loading = static_cast<size_t>(
        std::ceil(static_cast<double>(service.engines) * options_.load_share));
    const auto retry = retry_at_.find(id);
    if (service.loading < max_loading && !IsLoading(engine, now) &&
        engine.Usable(now) &&
        (retry == retry_at_.end() || now >= retry->second)) {
      const double slowness =
          EngineTable::Slowness(engine, fast_gaps[engine.service]);
      may_load.push_back(
          {&engine, slowness > 1.0, CountUsableModels(engine, newest)});
    }
  }
  return may_load;
}

std::vector<WeightLoad> WeightRollout::Plan(
    const std::map<std::string, uint64_t>& newest,
    EngineTable& engine_table,
    TimePoint now) {
  ExpireLoads(engine_table, now);
  std::vector<WeightLoad> loads;
  while (true) {
    const std::vector<IdleEngine> may_load = EnginesThatMayLoad(
        newest, CountLoads(engine_table, now), engine_table, now);
    if (may_load.empty()) {
      return loads;
    }
    std::optional<LoadCandidate> next;
    for (const auto& [model, version] : newest) {
      const auto candidate = FindBestLoad(model, version, newest.size(),
                                          may_load, engine_table, now);
      if (candidate &&
          (!next || std::pair(candidate->failing, candidate->usable) <
                        std::pair(next->failing, next->usable))) {
        next = candidate;
      }
    }
    if (!next) {
      return loads;
    }
    EngineModel& model = next->engine->models[next->model];
    model.loading_version = next->version;
    model.loading_since = now;
    model.paused_until = now + options_.expected_load_time;
    loads.push_back({next->engine->id, next->model, next->version});
  }
}

void WeightRollout::OnAccepted(const WeightLoad& load,
                               EngineTable& engine_table,
                               TimePoint now) {
  retry_at_.erase(load.engine);
  EngineState* engine = engine_table.Find(load.engine);
  if (!engine) {
    return;
  }
  engine_table.RecordContact(load.engine);
  EngineModel& model = engine->models[load.model];
  if (model.loading_version == load.version) {
    model.paused_until = now + options_.expected_load_time;
  }
}

void WeightRollout::OnNotAccepted(const WeightLoad& load,
                                  EngineTable& engine_table,
                                  TimePoint now) {
  retry_at_[load.engine] = now + options_.retry_delay;
  EngineState* engine = engine_table.Find(load.engine);
  if (!engine) {
    return;
  }
  if (engine->IsFailing(now)) {
    retry_at_[load.engine] = now + EngineTable::kMaxBackoff;
  }
  EngineModel& model = engine->models[load.model];
  if (model.loading_version == load.version) {
    model.loading_version = 0;
    model.paused_until = {};
  }
}

}  // namespace limpethatch
