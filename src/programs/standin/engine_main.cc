#include <boost/asio/io_context.hpp>

#include "programs/standin/engine.h"
#include "programs/standin/subcommands.h"

namespace limpethatch::standin {
namespace {

void AddFlags(EngineOptions& options, Flags& flags) {
  options.target.RegisterFlags(flags);
  flags.Add("pool", &options.pool, "engine pool that it belongs to");
  flags.Add("slots", &options.model.slots, "streams in a batch");
  flags.Add("token-interval", &options.model.token_interval,
            "time of a token in a batch of one");
  flags.Add("slowdown", &options.model.slowdown,
            "what a full batch adds to it, as a share");
  flags.Add("prefill-per-token", &options.model.prefill_per_token,
            "time to read one token of a prompt");
  flags.Add("cache-prefixes", &options.model.cached_prefixes,
            "prefix blocks that fit in its cache");
  flags.Add("median-tokens", &options.lengths.median_tokens,
            "median length of answers");
  flags.Add("long-share", &options.lengths.long_share,
            "share of answers ten times longer");
  flags.Add("sigma", &options.lengths.sigma, "spread of answers' lengths");
  flags.Add("weights-version", &options.version, "version it starts with");
  flags.Add("checks-fencing", &options.checks_fencing,
            "refuse orders of older terms");
  flags.Add("weights-store", &options.weights_store, "where weights come from");
  flags.Add("load-time", &options.load_time,
            "decoding stands still while weights change");
  flags.Add("swap-failure-rate", &options.swap_failure_rate,
            "share of loads that fail partway");
  flags.Add("poison", &options.poison, "text in a prompt that crashes it");
  flags.Add("event-interval", &options.event_interval,
            "tokens are sent together for so long");
  flags.Add("seed", &options.seed, "of its failures");
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
