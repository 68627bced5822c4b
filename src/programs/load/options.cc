#include "programs/load/options.h"

namespace limpethatch::load {
namespace {

void AddCallers(LoadOptions& options, Flags& flags) {
  flags.Add("lookups", &options.lookups.rate, "lookups a second");
  flags.Add("lookup-service", &options.lookups.service, "their service");
  flags.Add("completions", &options.completions.rate,
            "live completions a second");
  flags.Add("completion-service", &options.completions.service,
            "their service");
  flags.Add("completion-max-tokens", &options.completion_max_tokens,
            "most tokens of a live completion");
  flags.Add("orders", &options.orders.caller.rate, "orders a second");
  flags.Add("order-service", &options.orders.caller.service, "their service");
  flags.Add("resend-share", &options.orders.resend_share,
            "share of answered orders that are sent again");
  flags.Add("order-patience", &options.orders.patience,
            "how long an order without an answer is sent again");
  flags.Add("order-targets", &options.orders.targets,
            "targets asked at the end how often each order ran");
  flags.Add("burst-factor", &options.burst.factor,
            "arrivals in the burst against those outside");
  flags.Add("burst-start", &options.burst.start, "from the beginning");
  flags.Add("burst-length", &options.burst.length, "zero for no burst");
}

void AddTrainers(TrainerOptions& trainer, Flags& flags) {
  flags.Add("trainer", &trainer.names, "name of a trainer, repeatable");
  flags.Add("pool", &trainer.pool, "engine pool of the trainers");
  flags.Add("steps", &trainer.steps, "steps of each trainer");
  flags.Add("samples", &trainer.samples, "samples of a step");
  flags.Add("group-size", &trainer.group_size, "samples that share a prompt");
  flags.Add("max-staleness", &trainer.max_staleness, "bound, in versions");
  flags.Add("at-version", &trainer.at_version, "version to begin with");
  flags.Add("max-tokens", &trainer.max_tokens, "most tokens of a sample");
  flags.Add("prompt-bytes", &trainer.prompt_bytes, "size of a prompt");
  flags.Add("publish-every-steps", &trainer.publish_every_steps,
            "steps between new versions, zero for none");
  flags.Add("publish-every", &trainer.publish_every,
            "time between new versions, zero for none");
  flags.Add("step-limit", &trainer.step_limit, "a step is given up after");
  flags.Add("run", &trainer.run, "prefix of the steps' names");
}

}  // namespace

void LoadOptions::RegisterFlags(Flags& flags) {
  flags.Add("entries", &entries, "callers' listeners of entry instances");
  flags.Add("readiness", &readiness,
            "listeners with /readyz, in the same order; --entries if absent");
  flags.Add("translate", &translation, "where connections really go, FROM=TO");
  flags.Add("duration", &duration, "how long live callers arrive");
  flags.Add("deadline", &deadline, "of a live request");
  flags.Add("seed", &seed, "of arrivals and contents");
  flags.Add("median-tokens", &lengths.median_tokens, "as the engines have it");
  flags.Add("long-share", &lengths.long_share, "as the engines have it");
  flags.Add("sigma", &lengths.sigma, "as the engines have it");
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
