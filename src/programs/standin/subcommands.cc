#include "programs/standin/subcommands.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

#include "limpethatch/process/command_line.h"

namespace limpethatch::standin {

int RunUntilStopped(boost::asio::io_context& io, std::error_code start_error) {
  if (start_error) {
    fmt::print(stderr, "cannot listen: {}\n", start_error.message());
    return kExitFailure;
  }
  io.run();
  // Coroutines that still wait refer to objects that die before `io` does.
  std::_Exit(kExitOk);
}

}  // namespace limpethatch::standin
