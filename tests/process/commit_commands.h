#ifndef TESTS_PROCESS_COMMIT_COMMANDS_H_
#define TESTS_PROCESS_COMMIT_COMMANDS_H_

#include <chrono>

#include "process/consensus_simulation.h"

#include <criterion/criterion.h>

namespace limpethatch {

// Commits `commands` commands and waits until all replicas have applied them.
inline void CommitCommands(ConsensusSimulation& world, int commands = 3) {
  cr_assert(world.RunUntil(std::chrono::seconds(10),
                           [&] { return world.HasRecovered(); }));
  for (int i = 0; i < commands; ++i) {
    cr_assert(world.Propose());
  }
  cr_assert(world.RunUntil(std::chrono::seconds(10),
                           [&] { return world.HasRecovered(); }));
}

}  // namespace limpethatch

#endif  // TESTS_PROCESS_COMMIT_COMMANDS_H_
