#include "programs/standin/link.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace limpethatch::standin {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
namespace {

constexpr size_t kBufferBytes = 16UL * 1024;

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address_v4(endpoint.host), endpoint.port};
}

}  // namespace

bool ParseForward(std::string_view text, ForwardSpec* spec) {
  const size_t equals = text.find('=');
  const size_t at = text.find('@');
  if (equals == std::string_view::npos || at == std::string_view::npos ||
      at < equals) {
    return false;
  }
  spec->name = text.substr(at + 1);
  return ParseEndpoint(text.substr(0, equals), &spec->listen) &&
         ParseEndpoint(text.substr(equals + 1, at - equals - 1), &spec->target);
}

// Both sockets of a forwarded connection.
struct Forwarder::ConnectionPair {
  explicit ConnectionPair(asio::io_context& io)
      : downstream(io), upstream(io) {}

  void Close() {
    error_code ignored;
    downstream.close(ignored);
    upstream.close(ignored);
  }

  tcp::socket downstream;
  tcp::socket upstream;
  bool silent = false;
};

Forwarder::Forwarder(asio::io_context& io, ForwardSpec spec)
    : io_(io), spec_(std::move(spec)), acceptor_(io) {}

std::error_code Forwarder::Start() {
  return OpenAcceptor();
}

std::error_code Forwarder::OpenAcceptor() {
  error_code error;
  acceptor_.open(tcp::v4(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(ToAsio(spec_.listen), error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    Spawn(io_, [self = shared_from_this()](Yield yield) {
      self->AcceptLoop(yield);
    });
  }
  return error;
}

void Forwarder::SetMode(LinkMode mode) {
  if (mode == LinkMode::kCut) {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->Close();
      }
    }
  } else if (!acceptor_.is_open()) {
    OpenAcceptor();
  }
  mode_ = mode;
}

size_t Forwarder::SilenceExisting(double share, std::mt19937_64& random) {
  std::bernoulli_distribution chosen(share);
  size_t count = 0;
  RemoveClosed();
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock(); connection && chosen(random)) {
      connection->silent = true;
      ++count;
    }
  }
  return count;
}

size_t Forwarder::open_connections() {
  RemoveClosed();
  return connections_.size();
}

void Forwarder::RemoveClosed() {
  std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
}

void Forwarder::AcceptLoop(Yield yield) {
  while (acceptor_.is_open()) {
    auto connection = std::make_shared<ConnectionPair>(io_);
    error_code error;
    acceptor_.async_accept(connection->downstream, yield[error]);
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      RemoveClosed();
      connections_.push_back(connection);
      Spawn(io_, [self = shared_from_this(), connection](Yield child_yield) {
        self->Connect(child_yield, connection);
      });
    }
  }
}

void Forwarder::Connect(Yield yield,
                        const std::shared_ptr<ConnectionPair>& connection) {
  error_code error;
  connection->silent = mode_ == LinkMode::kSilent;
  if (!connection->silent) {
    SleepFor(yield, delay_);
    connection->upstream.async_connect(ToAsio(spec_.target), yield[error]);
    if (!error) {
      connection->upstream.set_option(tcp::no_delay(true), error);
    }
  }
  connection->downstream.set_option(tcp::no_delay(true), error);
  if (error || mode_ == LinkMode::kCut) {
    connection->Close();
    return;
  }
  if (!connection->silent) {
    Spawn(io_, [self = shared_from_this(), connection](Yield child_yield) {
      self->CopyBytes(child_yield, connection, connection->upstream,
                      connection->downstream);
    });
  }
  CopyBytes(yield, connection, connection->downstream, connection->upstream);
}

void Forwarder::CopyBytes(Yield yield,
                          const std::shared_ptr<ConnectionPair>& connection,
                          tcp::socket& from,
                          tcp::socket& to) {
  std::vector<char> buffer(kBufferBytes);
  error_code error;
  while (true) {
    const size_t size =
        from.async_read_some(asio::buffer(buffer), yield[error]);
    if (error) {
      break;
    }
    if (delay_ > Duration::zero()) {
      SleepFor(yield, delay_);
    }
    // A stream with dropped bytes cannot be resumed, so it stays silent.
    connection->silent = connection->silent || mode_ == LinkMode::kSilent;
    if (!connection->silent) {
      asio::async_write(to, asio::buffer(buffer.data(), size), yield[error]);
    }
    if (error) {
      break;
    }
  }
  // Closing one side of a silent connection is not propagated to the other.
  if (connection->silent || mode_ == LinkMode::kSilent) {
    connection->silent = true;
    from.close(error);
    return;
  }
  connection->Close();
}

}  // namespace limpethatch::standin
