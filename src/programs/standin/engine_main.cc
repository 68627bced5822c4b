#include <boost/asio/io_context.hpp>

#include "programs/standin/engine.h"
#include "programs/standin/subcommands.h"

namespace limpethatch::standin {
namespace {

void AddFlags(EngineOptions& options, Flags& flags) {
  options.target.RegisterFlags(flags);
  flags.Add("pool", &options.pool, "engine pool of this engine");
  flags.Add("slots", &options.model.slots, "maximum batch size");
  flags.Add("token-interval", &options.model.token_interval,
            "time per token in a batch of one");
  flags.Add("slowdown", &options.model.slowdown,
            "relative increase of the token interval in a full batch");
  flags.Add("prefill-per-token", &options.model.prefill_per_token,
            "prefill time per prompt token");
  flags.Add("cache-prefixes", &options.model.cached_prefixes,
            "capacity of the prefix cache in blocks");
  flags.Add("median-tokens", &options.lengths.median_tokens,
            "median length of answers");
  flags.Add("long-share", &options.lengths.long_share,
            "share of answers ten times longer");
  flags.Add("sigma", &options.lengths.sigma, "spread of answers' lengths");
  flags.Add("weights-version", &options.version, "initial weight version");
  flags.Add("checks-fencing", &options.checks_fencing,
            "refuse orders with an older term");
  flags.Add("weights-store", &options.weights_store,
            "address of the weight store");
  flags.Add("load-time", &options.load_time,
            "how long decoding pauses while weights are swapped");
  flags.Add("swap-failure-rate", &options.swap_failure_rate,
            "share of loads that fail partway");
  flags.Add("poison", &options.poison,
            "text in a prompt that crashes the engine");
  flags.Add("event-interval", &options.event_interval,
            "interval in which tokens are sent together");
  flags.Add("seed", &options.seed, "seed of failed loads");
}

}  // namespace

int EngineMain(int argc, const char* const* argv) {
  EngineOptions options;
  Flags flags("limpethatch-standin engine --listen IP:PORT [options]");
  AddFlags(options, flags);
  if (const auto done = flags.Parse(argc, argv)) {
    return *done;
  }
  boost::asio::io_context io(1);
  Engine engine(io, options);
  return RunUntilStopped(io, engine.Start());
}

}  // namespace limpethatch::standin
