#include "limpethatch/connection/yield.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

namespace limpethatch {

void Spawn(boost::asio::io_context& io, std::function<void(Yield)> body) {
  // Posted, because boost::asio::spawn may run the body up to its first
  // suspension at once, while the caller holds a lock.
  boost::asio::post(io, [&io, body = std::move(body)]() mutable {
    boost::asio::spawn(
        boost::asio::any_io_executor(boost::asio::make_strand(io)),
        [body = std::move(body)](Yield yield) { body(yield); },
        boost::asio::detached);
  });
}

void SleepFor(Yield yield, Duration delay) {
  boost::asio::steady_timer timer(yield.get_executor(), delay);
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

}  // namespace limpethatch
