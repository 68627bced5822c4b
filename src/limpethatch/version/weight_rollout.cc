#include "limpethatch/version/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <map>
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
    EngineTable& engine_table,
    TimePoint now) const {
  std::map<std::string, size_t> newest_by_zone;
  for (const auto& [id, engine] : engine_table.engines()) {
    const auto found = engine.models.find(model);
    newest_by_zone[engine.zone] +=
        found != engine.models.end() &&
                std::max(found->second.version,
                         found->second.loading_version) >= newest
            ? 1
            : 0;
  }
  LoadCandidate best;
  size_t engines = 0;
  size_t on_newest = 0;
  size_t usable = 0;
  for (auto& [id, engine] : engine_table.engines()) {
    const auto found = engine.models.find(model);
    if (found == engine.models.end()) {
      continue;
    }
    ++engines;
    const uint64_t held_version =
        std::max(found->second.version, found->second.loading_version);
    const bool stale = held_version + options_.usable_lag < newest;
    usable += stale ? 0 : 1;
    on_newest += held_version >= newest ? 1 : 0;
    const auto retry = retry_at_.find(id);
    if (held_version >= newest || !MayLoad(engine, engine_table, now) ||
        (retry != retry_at_.end() && now < retry->second)) {
      continue;
    }
    const auto running_count = engine.running_by_model.find(model);
    const uint32_t running_samples =
        running_count == engine.running_by_model.end() ? 0
                                                       : running_count->second;
    const size_t in_zone = newest_by_zone[engine.zone];
    if (!best.engine ||
        std::tuple(!stale, in_zone, running_samples) <
            std::tuple(!best.stale, best.in_zone, best.running)) {
      best = {stale, in_zone, running_samples, &engine, model, newest, 0};
    }
  }
  const double share =
      std::min(options_.max_newest_share, 1.0 / static_cast<double>(models));
  const auto max_on_newest =
      static_cast<size_t>(std::ceil(static_cast<double>(engines) * share));
  if (!best.engine || on_newest >= max_on_newest) {
    return std::nullopt;
  }
  best.usable = usable;
  return best;
}

bool WeightRollout::MayLoad(const EngineState& engine,
                            const EngineTable& engine_table,
                            TimePoint now) const {
  size_t engines = 0;
  size_t loading = 0;
  for (const auto& [id, other] : engine_table.engines()) {
    if (other.service == engine.service) {
      ++engines;
      loading += IsLoading(other, now) ? 1 : 0;
    }
  }
  const auto max_loading = static_cast<size_t>(
      std::ceil(static_cast<double>(engines) * options_.load_share));
  return loading < max_loading && !IsLoading(engine, now) && engine.Usable(now);
}

std::vector<WeightLoad> WeightRollout::Plan(
    const std::map<std::string, uint64_t>& newest,
    EngineTable& engine_table,
    TimePoint now) {
  ExpireLoads(engine_table, now);
  std::vector<WeightLoad> loads;
  while (true) {
    std::optional<LoadCandidate> next;
    for (const auto& [model, version] : newest) {
      const auto candidate =
          FindBestLoad(model, version, newest.size(), engine_table, now);
      if (candidate && (!next || candidate->usable < next->usable)) {
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
  EngineModel& model = engine->models[load.model];
  if (model.loading_version == load.version) {
    model.loading_version = 0;
    model.paused_until = {};
  }
}

}  // namespace limpethatch
