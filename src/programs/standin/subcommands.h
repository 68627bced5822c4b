// The subcommands of limpethatch-standin and their shared run loop.
#ifndef PROGRAMS_STANDIN_SUBCOMMANDS_H_
#define PROGRAMS_STANDIN_SUBCOMMANDS_H_

#include <boost/asio/io_context.hpp>
#include <system_error>

namespace limpethatch::standin {

// Reports `start_error` if there is one, or runs `io` until it is stopped.
// Returns the exit code.
int RunUntilStopped(boost::asio::io_context& io, std::error_code start_error);

int EngineMain(int argc, const char* const* argv);
int ServiceMain(int argc, const char* const* argv);
int WeightsMain(int argc, const char* const* argv);
int LinkMain(int argc, const char* const* argv);

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_SUBCOMMANDS_H_
