#include "limpethatch/connection/connection_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace limpethatch {
namespace asio = boost::asio;

ProbeResult ProbeConnection(Yield yield,
                            const Endpoint& endpoint,
                            Duration timeout) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address_v4(endpoint.host, error);
  if (error) {
    return ProbeResult::kNoAnswer;
  }
  const auto socket =
      std::make_shared<asio::ip::tcp::socket>(yield.get_executor());
  asio::steady_timer timer(yield.get_executor(), timeout);
  timer.async_wait([socket](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect({address, endpoint.port}, yield[error]);
  if (!error) {
    return ProbeResult::kAccepted;
  }
  return error == asio::error::connection_refused ? ProbeResult::kRefused
                                                  : ProbeResult::kNoAnswer;
}

}  // namespace limpethatch
