// A weight store with a limited number of concurrent transfers.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <string>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/flags.h"
#include "programs/standin/slot_queue.h"
#include "programs/standin/subcommands.h"
#include "programs/standin/target.h"

namespace limpethatch::standin {
namespace {

constexpr int kChunks = 16;
constexpr size_t kChunkBytes = 1024;

struct WeightsOptions {
  Endpoint listen;
  Duration transfer_time = std::chrono::milliseconds(200);
  uint32_t concurrent = 1;
};

class WeightStore {
 public:
  WeightStore(boost::asio::io_context& io, const WeightsOptions& options)
      : options_(options),
        queue_(io, options.concurrent),
        server_(io, {}, [this](HttpExchange& exchange) { Handle(exchange); }) {}

  std::error_code Start() { return server_.Listen(options_.listen); }

 private:
  void Handle(HttpExchange& exchange) {
    if (exchange.request().path == "/counts") {
      exchange.Respond(JsonResponse(
          200, {{"transfers", transfers_}, {"waiting", queue_.waiting()}}));
      return;
    }
    if (!exchange.request().path.starts_with("/weights/")) {
      exchange.Respond(ErrorResponse(404, "no_such_path",
                                     exchange.request().path, "not_run"));
      return;
    }
    Transfer(exchange);
  }

  void Transfer(HttpExchange& exchange) {
    const SlotQueue::Slot slot = queue_.Acquire(exchange.yield());
    if (exchange.PeerDisconnected() || exchange.StartStream(200, {})) {
      return;
    }
    const std::string chunk(kChunkBytes, 'w');
    for (int i = 0; i < kChunks; ++i) {
      SleepFor(exchange.yield(), options_.transfer_time / kChunks);
      if (exchange.WriteChunk(chunk)) {
        return;
      }
    }
    ++transfers_;
    exchange.FinishStream();
  }

  const WeightsOptions options_;
  SlotQueue queue_;
  HttpServer server_;
  uint64_t transfers_ = 0;
};

}  // namespace

int WeightsMain(int argc, const char* const* argv) {
  WeightsOptions options;
  Flags flags("limpethatch-standin weights --listen IP:PORT [options]");
  flags.Add("listen", &options.listen, "address to listen at");
  flags.Add("transfer-time", &options.transfer_time, "duration of a transfer");
  flags.Add("concurrent", &options.concurrent, "maximum concurrent transfers");
  if (const auto done = flags.Parse(argc, argv)) {
    return *done;
  }
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  WeightStore store(io, options);
  return RunUntilStopped(io, store.Start());
}

}  // namespace limpethatch::standin
