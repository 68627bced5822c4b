// Measures how many proposals per second a single replica commits to a real
// file. With one proposal in flight each needs its own sync; with more in
// flight, group commit lets one sync cover all that arrived during the previous
// one.
//
//   bench-group_commit FOLDER [PROPOSALS]
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "limpethatch/process/consensus.h"
#include "limpethatch/process/disk.h"
#include "limpethatch/process/durable_log.h"

namespace limpethatch {
namespace {

constexpr size_t kCommandBytes = 300;
constexpr uint64_t kDisk = 1;
constexpr uint64_t kSession = 1;

// Commits `proposals` commands, keeping up to `max_in_flight` of them in
// flight.
int Measure(const std::string& folder,
            uint64_t proposals,
            uint64_t max_in_flight) {
  FileSystemDisk disk(fmt::format("{}/window-{}", folder, max_in_flight));
  if (disk.Open()) {
    return EXIT_FAILURE;
  }
  DurableLog<FileSystemDisk> log(disk);
  ConsensusOptions options;
  options.id = "control-1";
  options.replicas.emplace_back().set_id(options.id);
  Consensus consensus(options, std::move(log.Open(kDisk, kSession).value()),
                      std::mt19937_64(1), Clock::now());
  uint64_t proposed = 0;
  uint64_t applied = 0;
  uint64_t syncs = 0;
  TimePoint start;
  while (applied < proposals) {
    consensus.Tick(Clock::now());
    while (proposed < proposals && proposed - applied < max_in_flight &&
           consensus.Propose(std::string(kCommandBytes, 'x'), Clock::now())) {
      start = proposed++ == 0 ? Clock::now() : start;
    }
    std::vector<PersistAction> batch;
    for (ConsensusAction& action : consensus.TakeActions(Clock::now())) {
      if (auto* persist = std::get_if<PersistAction>(&action)) {
        batch.push_back(std::move(*persist));
      } else if (const auto* apply = std::get_if<ApplyAction>(&action)) {
        applied += apply->entry.has_command();
      }
    }
    if (!batch.empty()) {
      if (log.Write(batch)) {
        return EXIT_FAILURE;
      }
      syncs += proposed > 0;
      consensus.OnPersisted(batch.back().sequence, Clock::now());
    }
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  fmt::print("under way {:4}: {:8.0f} proposals/s, {:7.0f} syncs/s, {} syncs\n",
             max_in_flight, static_cast<double>(proposals) / elapsed.count(),
             static_cast<double>(syncs) / elapsed.count(), syncs);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace limpethatch

int main(int argc, char** argv) {
  if (argc < 2) {
    fmt::print(stderr, "usage: bench-group_commit FOLDER [PROPOSALS]\n");
    return EXIT_FAILURE;
  }
  const uint64_t proposals =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 2000;
  for (const uint64_t max_in_flight : {1, 8, 64, 512}) {
    if (limpethatch::Measure(argv[1], proposals, max_in_flight) !=
        EXIT_SUCCESS) {
      return EXIT_FAILURE;
    }
  }
  return EXIT_SUCCESS;
}
