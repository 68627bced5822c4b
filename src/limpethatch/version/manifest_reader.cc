#include "limpethatch/version/manifest_reader.h"

#include <fmt/format.h>

#include <utility>

#include "limpethatch/process/json_reader.h"

namespace limpethatch {
namespace {

using enum Presence;

constexpr uint64_t kMaxLiveSlots = 1024;
constexpr uint64_t kMaxConcurrentLoads = 10'000;
constexpr uint64_t kMaxStaleness = 1'000'000;
constexpr double kMaxWeight = 1e6;
constexpr Bounds<double> kPositiveWeight{1e-6, kMaxWeight};

void ReadCount(JsonReader& reader,
               std::string_view key,
               uint32_t* count,
               Bounds<uint64_t> bounds) {
  uint64_t read = *count;
  reader.Read(key, &read, kOptional, bounds);
  *count = static_cast<uint32_t>(read);
}

// Reads a string that must be one of two names.
template <typename T>
void ReadChoice(JsonReader& reader,
                std::string_view key,
                std::pair<std::string_view, T> first,
                std::pair<std::string_view, T> second,
                T* choice) {
  std::string text(*choice == first.second ? first.first : second.first);
  reader.Read(key, &text, kOptional);
  if (text == first.first || text == second.first) {
    *choice = text == first.first ? first.second : second.second;
    return;
  }
  reader.AddFault(
      key, fmt::format("expected \"{}\" or \"{}\"", first.first, second.first));
}

void ReadObjective(JsonReader& reader, Objective* objective) {
  std::optional<JsonReader> child = reader.Child("objective", kOptional);
  if (!child) {
    return;
  }
  child->Read("target", &objective->target, kOptional, {0.5, 0.99999});
  child->Read("latency", &objective->latency, kOptional);
  child->RejectUnknown();
}

Service ReadService(JsonReader& reader) {
  Service service;
  ReadChoice<ServiceKind>(reader, "kind", {"plain", ServiceKind::kPlain},
                          {"engine", ServiceKind::kEngine}, &service.kind);
  reader.Read("pool", &service.pool, kOptional);
  reader.Read("deadline", &service.deadline, kOptional);
  reader.Read("retry_budget", &service.retry_budget, kOptional, {0, 1});
  reader.Read("non_idempotent_paths", &service.non_idempotent_paths, kOptional);
  reader.Read("weight", &service.weight, kOptional, kPositiveWeight);
  ReadObjective(reader, &service.objective);
  if (service.deadline <= Duration::zero()) {
    reader.AddFault("deadline", "must be longer than zero");
  }
  reader.RejectUnknown();
  return service;
}

EnginePool ReadPool(JsonReader& reader) {
  EnginePool pool;
  reader.Read("weights_version", &pool.weights_version, kRequired);
  ReadCount(reader, "live_slots", &pool.live_slots, {0, kMaxLiveSlots});
  ReadCount(reader, "concurrent_loads", &pool.concurrent_loads,
            {1, kMaxConcurrentLoads});
  reader.RejectUnknown();
  return pool;
}

Trainer ReadTrainer(JsonReader& reader) {
  Trainer trainer;
  reader.Read("pool", &trainer.pool, kRequired);
  reader.Read("share", &trainer.share, kOptional, kPositiveWeight);
  reader.Read("max_staleness", &trainer.max_staleness, kOptional,
              {0, kMaxStaleness});
  ReadChoice<Weighting>(reader, "weighs", {"idle_time", Weighting::kIdleTime},
                        {"staleness", Weighting::kStaleness},
                        &trainer.weighting);
  reader.Read("scorer", &trainer.scorer, kOptional);
  ReadObjective(reader, &trainer.objective);
  reader.RejectUnknown();
  return trainer;
}

// Adds a fault if `pool` is not declared.
void CheckPool(const Manifest& manifest,
               JsonReader& reader,
               const std::string& pool) {
  if (!pool.empty() && !manifest.pools.contains(pool)) {
    reader.AddFault(
        "pool", fmt::format("\"{}\" is not declared under \"pools\"", pool));
  }
}

void CheckService(const Manifest& manifest,
                  const Service& service,
                  JsonReader& reader) {
  CheckPool(manifest, reader, service.pool);
  if (service.kind == ServiceKind::kEngine && service.pool.empty()) {
    reader.AddFault("pool", "a service of kind \"engine\" needs a pool");
  }
  if (service.kind == ServiceKind::kPlain && !service.pool.empty()) {
    reader.AddFault("pool",
                    "a service of kind \"plain\" has no pool; remove it");
  }
}

void CheckTrainer(const Manifest& manifest,
                  const Trainer& trainer,
                  JsonReader& reader) {
  CheckPool(manifest, reader, trainer.pool);
  if (trainer.scorer.empty()) {
    return;
  }
  const auto found = manifest.services.find(trainer.scorer);
  if (found == manifest.services.end() ||
      found->second.kind != ServiceKind::kPlain) {
    reader.AddFault("scorer", "expected a service of kind \"plain\"");
  }
}

}  // namespace

Manifest ReadManifest(std::string_view text, JsonFaults& faults) {
  Manifest manifest;
  const JsonDocument document(text, faults);
  if (!faults.empty() && document.root().is_null()) {
    return manifest;
  }
  JsonReader root(document, faults);
  for (auto& [name, reader] : root.Members("pools", kOptional)) {
    manifest.pools[name] = ReadPool(reader);
  }
  for (auto& [name, reader] : root.Members("services", kRequired)) {
    manifest.services[name] = ReadService(reader);
    CheckService(manifest, manifest.services[name], reader);
  }
  for (auto& [name, reader] : root.Members("trainers", kOptional)) {
    manifest.trainers[name] = ReadTrainer(reader);
    CheckTrainer(manifest, manifest.trainers[name], reader);
  }
  root.RejectUnknown();
  return manifest;
}

}  // namespace limpethatch
