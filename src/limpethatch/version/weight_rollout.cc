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

}  // namespace

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
    const std::vector<EngineState*>& may_load,
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
    const uint64_t held_version =
        std::max(found->second.version, found->second.loading_version);
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
  for (EngineState* engine : may_load) {
    const auto found = engine->models.find(model);
    if (found == engine->models.end()) {
      continue;
    }
    const uint64_t held_version =
        std::max(found->second.version, found->second.loading_version);
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
    if (!best.engine ||
        std::tuple(failing, !stale, in_zone, running_samples) <
            std::tuple(best.failing, !best.stale, best.in_zone, best.running)) {
      best = {failing, stale, in_zone, running_samples,
              engine,  model, newest,  0};
    }
  }
  if (!best.engine) {
    return std::nullopt;
  }
  best.usable = usable;
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

std::vector<EngineState*> WeightRollout::EnginesThatMayLoad(
    const LoadsByService& loads,
    EngineTable& engine_table,
    TimePoint now) const {
  std::vector<EngineState*> may_load;
  for (auto& [id, engine] : engine_table.engines()) {
    const ServiceLoads& service = loads.find(engine.service)->second;
    const auto max_loading = static_cast<size_t>(
        std::ceil(static_cast<double>(service.engines) * options_.load_share));
    const auto retry = retry_at_.find(id);
    if (service.loading < max_loading && !IsLoading(engine, now) &&
        engine.Usable(now) &&
        (retry == retry_at_.end() || now >= retry->second)) {
      may_load.push_back(&engine);
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
    const std::vector<EngineState*> may_load =
        EnginesThatMayLoad(CountLoads(engine_table, now), engine_table, now);
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
