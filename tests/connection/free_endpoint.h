// Selects loopback endpoints for tests. Include before Criterion.
#ifndef LIMPETHATCH_TESTS_CONNECTION_FREE_ENDPOINT_H_
#define LIMPETHATCH_TESTS_CONNECTION_FREE_ENDPOINT_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "limpethatch/process/endpoint.h"

// Returns an endpoint that nothing listens on. Its port is below the ephemeral
// range that the system assigns to clients, and test processes start at
// different ports, so that it stays free while a test closes and reopens it.
inline limpethatch::Endpoint FreeEndpoint() {
  using boost::asio::ip::tcp;
  constexpr int kFirstPort = 10000;
  constexpr int kPorts = 20000;
  static int next = getpid() * 61;
  boost::asio::io_context io;
  for (;;) {
    const auto port = static_cast<unsigned short>(kFirstPort + next++ % kPorts);
    tcp::acceptor acceptor(io);
    acceptor.open(tcp::v4());
    boost::system::error_code error;
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    if (!error) {
      return {"127.0.0.1", port};
    }
  }
}

#endif  // LIMPETHATCH_TESTS_CONNECTION_FREE_ENDPOINT_H_
