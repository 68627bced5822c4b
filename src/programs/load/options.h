// Command-line options of limpethatch-load.
#ifndef PROGRAMS_LOAD_OPTIONS_H_
#define PROGRAMS_LOAD_OPTIONS_H_

#include <string>
#include <vector>

#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/flags.h"
#include "limpethatch/request/synthetic.h"

namespace limpethatch::load {

// Arrivals of one kind of live request.
struct CallerOptions {
  std::string service;
  double rate = 0;  // Per second; 0 disables it.
};

struct OrderOptions {
  CallerOptions caller;
  // Share of answered orders that are resent with the same key.
  double resend_share = 0.2;
  // How long an unanswered order is retried.
  Duration patience = std::chrono::seconds(10);
  // Targets queried at the end for how often each order ran.
  std::vector<Endpoint> targets;
};

// A period in which all arrival rates are multiplied by `factor`.
struct BurstOptions {
  double factor = 1;
  Duration start{};
  Duration length{};
};

struct TrainerOptions {
  std::vector<std::string> names;
  std::string pool;
  uint64_t steps = 1;
  uint64_t samples = 512;      // Per step.
  uint64_t group_size = 8;     // Samples per prompt.
  uint64_t max_staleness = 1;  // In versions.
  uint64_t at_version = 1;     // Weight version at the start.
  uint64_t max_tokens = 4096;
  uint64_t prompt_bytes = 512;
  // The trainer publishes the next version after this many steps or this much
  // time; zero disables it.
  uint64_t publish_every_steps = 0;
  Duration publish_every{};
  Duration step_limit = std::chrono::seconds(120);
  std::string run;  // Prefix of step names that distinguishes runs.
};

struct LoadOptions {
  std::vector<Endpoint> entries;    // Caller listeners of entry instances.
  std::vector<Endpoint> readiness;  // Listeners with /readyz, in that order.
  AddressTranslation translation;
  Duration duration = std::chrono::seconds(10);
  Duration deadline = std::chrono::seconds(2);
  uint64_t seed = 1;
  CallerOptions lookups;
  CallerOptions completions;
  uint64_t completion_max_tokens = 64;
  SyntheticLengths lengths;
  OrderOptions orders;
  BurstOptions burst;
  TrainerOptions trainer;

  void RegisterFlags(Flags& flags);
  // Describes the first invalid option; empty if all are valid.
  std::string Validate() const;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_OPTIONS_H_
