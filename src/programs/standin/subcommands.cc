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
  // Skips destructors: suspended coroutines refer to objects that would be
  // destroyed before `io`.
  std::_Exit(kExitOk);
}

}  // namespace limpethatch::standin
