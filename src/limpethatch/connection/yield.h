// The stackful coroutines that handle connections.
#ifndef LIMPETHATCH_CONNECTION_YIELD_H_
#define LIMPETHATCH_CONNECTION_YIELD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

#include "limpethatch/process/clock.h"

namespace limpethatch {

using Yield = boost::asio::yield_context;

// Runs `body` in a new coroutine on its own strand. It never starts within the
// call itself.
void Spawn(boost::asio::io_context& io, std::function<void(Yield)> body);

// Suspends the coroutine for `delay`.
void SleepFor(Yield yield, Duration delay);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_YIELD_H_
