// The manifest: the operators' declarations, one immutable value per version.
#ifndef LIMPETHATCH_VERSION_MANIFEST_H_
#define LIMPETHATCH_VERSION_MANIFEST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// The service-level objective of a service or a trainer.
struct Objective {
  // Share of requests that are answered completely within `latency`.
  double target = 0.99;
  Duration latency = std::chrono::seconds(1);
};

enum class ServiceKind {
  kPlain,   // Any HTTP service.
  kEngine,  // Live completions on an engine pool.
};

struct Service {
  ServiceKind kind = ServiceKind::kPlain;
  std::string pool;  // For kEngine.
  Duration deadline = std::chrono::seconds(2);
  // Retries allowed per first attempt, as a ratio.
  double retry_budget = 0.1;
  // Path prefixes whose requests must not be repeated, whatever their method.
  std::vector<std::string> non_idempotent_paths;
  // Relative weight of the service among all services under overload.
  double weight = 1.0;
  Objective objective;
};

struct EnginePool {
  // Version that every sampler has to run; trainers may publish a later one.
  uint64_t weights_version = 0;
  // Slots per engine that rollouts leave free for live requests.
  uint32_t live_slots = 1;
  // Number of engines that may load weights at the same time.
  uint32_t concurrent_loads = 2;
};

// What dispatch optimises for a trainer.
enum class Weighting { kIdleTime, kStaleness };

struct Trainer {
  std::string pool;
  double share = 1.0;
  uint64_t max_staleness = 1;  // In versions; a step may request less.
  Weighting weighting = Weighting::kIdleTime;
  Objective objective;
  std::string scorer;  // Name of a plain service; empty for none.
};

struct Manifest {
  std::map<std::string, Service> services;
  std::map<std::string, EnginePool> pools;
  std::map<std::string, Trainer> trainers;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_MANIFEST_H_
