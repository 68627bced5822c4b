#include "programs/load/options.h"

namespace limpethatch::load {
namespace {

void AddCallers(LoadOptions& options, Flags& flags) {
  flags.Add("lookups", &options.lookups.rate, "lookups per second");
  flags.Add("lookup-service", &options.lookups.service, "their service");
  flags.Add("completions", &options.completions.rate,
            "live completions per second");
  flags.Add("completion-service", &options.completions.service,
            "their service");
  flags.Add("completion-max-tokens", &options.completion_max_tokens,
            "maximum tokens of a live completion");
  flags.Add("orders", &options.orders.caller.rate, "orders per second");
  flags.Add("order-service", &options.orders.caller.service, "their service");
  flags.Add("resend-share", &options.orders.resend_share,
            "share of answered orders that are resent");
  flags.Add("order-patience", &options.orders.patience,
            "how long an unanswered order is retried");
  flags.Add("order-targets", &options.orders.targets,
            "targets queried at the end for how often each order ran");
  flags.Add("burst-factor", &options.burst.factor,
            "arrival rate in the burst, relative to the normal rate");
  flags.Add("burst-start", &options.burst.start,
            "burst start, from the start of the run");
  flags.Add("burst-length", &options.burst.length,
            "burst length; zero for no burst");
}

void AddTrainers(TrainerOptions& trainer, Flags& flags) {
  flags.Add("trainer", &trainer.names, "name of a trainer, repeatable");
  flags.Add("pool", &trainer.pool, "engine pool of the trainers");
  flags.Add("steps", &trainer.steps, "steps of each trainer");
  flags.Add("samples", &trainer.samples, "samples per step");
  flags.Add("group-size", &trainer.group_size, "samples that share a prompt");
  flags.Add("max-staleness", &trainer.max_staleness,
            "staleness bound, in versions");
  flags.Add("at-version", &trainer.at_version, "initial version");
  flags.Add("max-tokens", &trainer.max_tokens, "maximum tokens of a sample");
  flags.Add("prompt-bytes", &trainer.prompt_bytes, "size of a prompt in bytes");
  flags.Add("publish-every-steps", &trainer.publish_every_steps,
            "steps between new versions, zero for none");
  flags.Add("publish-every", &trainer.publish_every,
            "time between new versions, zero for none");
  flags.Add("step-limit", &trainer.step_limit,
            "time after which a step is abandoned");
  flags.Add("run", &trainer.run, "prefix of step names");
}

}  // namespace

void LoadOptions::RegisterFlags(Flags& flags) {
  flags.Add("entries", &entries, "caller listeners of entry instances");
  flags.Add("readiness", &readiness,
            "listeners with /readyz, in the same order; --entries if absent");
  flags.Add("translate", &translation,
            "address translation for connections, FROM=TO");
  flags.Add("duration", &duration, "duration of live arrivals");
  flags.Add("deadline", &deadline, "deadline of a live request");
  flags.Add("seed", &seed, "seed of arrivals and contents");
  flags.Add("median-tokens", &lengths.median_tokens,
            "as configured on the engines");
  flags.Add("long-share", &lengths.long_share, "as configured on the engines");
  flags.Add("sigma", &lengths.sigma, "as configured on the engines");
  AddCallers(*this, flags);
  AddTrainers(trainer, flags);
}

std::string LoadOptions::Validate() const {
  if (entries.empty()) {
    return "--entries is missing";
  }
  if (!readiness.empty() && readiness.size() != entries.size()) {
    return "--readiness must name as many addresses as --entries";
  }
  if (trainer.group_size == 0 || trainer.samples % trainer.group_size != 0) {
    return "--samples must be a multiple of --group-size";
  }
  return {};
}

}  // namespace limpethatch::load
