#include "limpethatch/version/weight_rollout.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace limpethatch {
namespace {

// An order is on its way to the engine, or its load should still last.
bool Loading(const EngineState& engine, TimePoint now) {
  return std::any_of(engine.models.begin(), engine.models.end(),
                     [now](const auto& entry) {
                       return entry.second.loading_version != 0 &&
                              now < entry.second.closed_until;
                     });
}

}  // namespace

void WeightRollout::ExpireLoads(EngineBoard& board, TimePoint now) {
  for (auto& [id, engine] : board.engines()) {
    for (auto& [name, model] : engine.models) {
      if (model.loading_version != 0 &&
          now - model.loading_since > options_.load_timeout) {
        model.loading_version = 0;
        model.closed_until = {};
      }
    }
  }
}

std::vector<WeightRollout::Wish> WeightRollout::Wishes(
    const std::string& model,
    uint64_t newest,
    size_t models,
    EngineBoard& board,
    TimePoint now) const {
  std::vector<Wish> wishes;
  size_t engines = 0;
  size_t on_newest = 0;
  for (auto& [id, engine] : board.engines()) {
    const auto found = engine.models.find(model);
    if (found == engine.models.end()) {
      continue;
    }
    ++engines;
    const EngineModel& held = found->second;
    if (std::max(held.version, held.loading_version) >= newest) {
      ++on_newest;
      continue;
    }
    const auto retry = retry_at_.find(id);
    if (Loading(engine, now) || !engine.Usable(now) ||
        (retry != retry_at_.end() && now < retry->second)) {
      continue;
    }
    const auto running = engine.running_by_model.find(model);
    wishes.push_back({held.version + options_.usable_lag < newest,
                      running == engine.running_by_model.end()
                          ? 0
                          : running->second,
                      &engine, model, newest});
  }
  const double share =
      std::min(options_.newest_share, 1.0 / static_cast<double>(models));
  const auto wanted =
      static_cast<size_t>(std::ceil(static_cast<double>(engines) * share));
  std::stable_sort(wishes.begin(), wishes.end(),
                   [](const Wish& a, const Wish& b) {
                     return std::tuple(!a.stale, a.running) <
                            std::tuple(!b.stale, b.running);
                   });
  wishes.resize(
      std::min(wishes.size(), wanted > on_newest ? wanted - on_newest : 0));
  return wishes;
}

std::vector<WeightLoad> WeightRollout::Plan(
    const std::map<std::string, uint64_t>& newest,
    EngineBoard& board,
    TimePoint now) {
  ExpireLoads(board, now);
  std::vector<Wish> wishes;
  for (const auto& [model, version] : newest) {
    const std::vector<Wish> of_model = Wishes(model, version, newest.size(), board, now);
    wishes.insert(wishes.end(), of_model.begin(), of_model.end());
  }
  std::stable_sort(wishes.begin(), wishes.end(),
                   [](const Wish& a, const Wish& b) {
                     return std::tuple(!a.stale, a.running) <
                            std::tuple(!b.stale, b.running);
                   });
  std::map<std::string, size_t> engines;
  std::map<std::string, size_t> loading;
  for (const auto& [id, engine] : board.engines()) {
    ++engines[engine.service];
    loading[engine.service] += Loading(engine, now) ? 1 : 0;
  }
  std::vector<WeightLoad> loads;
  for (const Wish& wish : wishes) {
    EngineState& engine = *wish.engine;
    const auto most = static_cast<size_t>(std::ceil(
        static_cast<double>(engines[engine.service]) * options_.load_share));
    if (Loading(engine, now) || loading[engine.service] >= most) {
      continue;
    }
    ++loading[engine.service];
    EngineModel& model = engine.models[wish.model];
    model.loading_version = wish.version;
    model.loading_since = now;
    model.closed_until = now + options_.first_load_time;
    loads.push_back({engine.id, wish.model, wish.version});
  }
  return loads;
}

void WeightRollout::Accepted(const WeightLoad& load,
                             EngineBoard& board,
                             TimePoint now) {
  retry_at_.erase(load.engine);
  EngineState* engine = board.Find(load.engine);
  if (!engine) {
    return;
  }
  EngineModel& model = engine->models[load.model];
  if (model.loading_version == load.version) {
    model.closed_until = now + options_.first_load_time;
  }
}

void WeightRollout::NotAccepted(const WeightLoad& load,
                                EngineBoard& board,
                                TimePoint now) {
  retry_at_[load.engine] = now + options_.retry_pause;
  EngineState* engine = board.Find(load.engine);
  if (!engine) {
    return;
  }
  EngineModel& model = engine->models[load.model];
  if (model.loading_version == load.version) {
    model.loading_version = 0;
    model.closed_until = {};
  }
}

}  // namespace limpethatch
