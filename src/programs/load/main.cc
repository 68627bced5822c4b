// limpethatch-load: generates load from live callers and trainers, and checks
// every answer.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <deque>

#include "limpethatch/process/command_line.h"
#include "programs/load/callers.h"
#include "programs/load/options.h"
#include "programs/load/report.h"
#include "programs/load/trainer.h"

namespace limpethatch::load {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);

HttpClientOptions ClientOptions(const LoadOptions& options) {
  HttpClientOptions client;
  client.translation = options.translation;
  return client;
}

class LoadRun {
 public:
  LoadRun(boost::asio::io_context& io, const LoadOptions& options)
      : io_(io),
        options_(options),
        client_(io, ClientOptions(options)),
        balancer_(io, client_, options.entries, options.readiness),
        callers_(io, client_, balancer_, options) {
    for (const std::string& name : options.trainer.names) {
      trainers_.emplace_back(io, balancer_, options, name);
    }
  }

  void Start() {
    callers_.Start();
    for (Trainer& trainer : trainers_) {
      trainer.Start();
    }
    Spawn(io_, [this](Yield yield) { ReportWhenDone(yield); });
  }

 private:
  bool AllDone() const {
    bool done = callers_.done();
    for (const Trainer& trainer : trainers_) {
      done = done && trainer.done();
    }
    return done;
  }

  void ReportWhenDone(Yield yield) {
    while (!AllDone()) {
      SleepFor(yield, kPollInterval);
    }
    const bool runs_known = callers_.FetchOrderRuns(yield);
    std::vector<TrainerResult> results;
    for (const Trainer& trainer : trainers_) {
      results.push_back(trainer.result());
    }
    fmt::print("{}{}\n", ReportTable(callers_, results),
               ReportJson(options_.seed, callers_, runs_known, results));
    io_.stop();
  }

  boost::asio::io_context& io_;
  const LoadOptions& options_;
  HttpClient client_;
  EntryBalancer balancer_;
  Callers callers_;
  std::deque<Trainer> trainers_;
};

int Main(int argc, const char* const* argv) {
  LoadOptions options;
  Flags flags("limpethatch-load --entries IP:PORT,... [options]");
  options.RegisterFlags(flags);
  if (const auto done = flags.Parse(argc, argv)) {
    return *done;
  }
  if (const std::string error = options.Validate(); !error.empty()) {
    fmt::print(stderr, "limpethatch-load: {}; see --help\n", error);
    return kExitBadSettings;
  }
  boost::asio::io_context io(1);
  LoadRun run(io, options);
  run.Start();
  io.run();
  std::fflush(stdout);
  // Skips destructors: suspended coroutines refer to objects that would be
  // destroyed before `io`.
  std::_Exit(kExitOk);
}

}  // namespace
}  // namespace limpethatch::load

int main(int argc, char** argv) {
  return limpethatch::load::Main(argc, argv);
}
