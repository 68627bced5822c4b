#include "limpethatch/connection/internal/inbound_messages.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "limpethatch/connection/internal/message_frame.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
namespace {

constexpr size_t kReadBytes = 4UL * 1024;
// A larger buffer is freed once it is empty.
constexpr size_t kMaxRetainedBytes = 16UL * 1024;
// Inbound connections are closed after this multiple of max_idle_time, so that
// normally the sender closes them first.
constexpr int kInboundIdleFactor = 2;

}  // namespace

struct InboundMessages::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}

  tcp::socket socket;
  std::string buffer;
  size_t buffered_bytes = 0;  // Received bytes at the front of `buffer`.
  // Free space to provide in `buffer` for the next read.
  size_t next_read_bytes = kReadBytes;
  TimePoint last_used;
};

InboundMessages::InboundMessages(asio::io_context& io,
                                 MessengerOptions options,
                                 Receiver receiver)
    : io_(io),
      options_(std::move(options)),
      receiver_(std::move(receiver)),
      acceptor_(io) {}

std::error_code InboundMessages::Listen(const Endpoint& endpoint) {
  error_code error;
  tcp::acceptor acceptor(io_);
  const auto address = asio::ip::make_address_v4(endpoint.host, error);
  if (!error) {
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind({address, endpoint.port}, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return error;
  }
  asio::post(io_,
             [self = shared_from_this(),
              socket = std::make_shared<tcp::acceptor>(std::move(acceptor))] {
               self->acceptor_ = std::move(*socket);
               self->Accept();
             });
  return {};
}

void InboundMessages::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : connections_) {
    connection->socket.close(ignored);
  }
  connections_.clear();
}

void InboundMessages::Accept() {
  auto connection = std::make_shared<Connection>(io_);
  acceptor_.async_accept(connection->socket, [self = shared_from_this(),
                                              connection](error_code failed) {
    if (failed == asio::error::operation_aborted || self->stopped_) {
      return;
    }
    if (failed) {
      Log(LogLevel::kWarning, "accept_failed", {{"error", failed.message()}});
    } else {
      const TimePoint now = Clock::now();
      self->CloseIdleConnections(now);
      connection->last_used = now;
      self->connections_.push_back(connection);
      self->Read(connection);
    }
    self->Accept();
  });
}

void InboundMessages::CloseIdleConnections(TimePoint now) {
  for (const auto& connection : connections_) {
    if (now - connection->last_used >
        kInboundIdleFactor * options_.max_idle_time) {
      error_code ignored;
      connection->socket.close(ignored);
    }
  }
}

void InboundMessages::Read(const std::shared_ptr<Connection>& connection) {
  if (connection->buffer.size() <
      connection->buffered_bytes + connection->next_read_bytes) {
    connection->buffer.resize(connection->buffered_bytes +
                              connection->next_read_bytes);
  }
  connection->socket.async_read_some(
      asio::buffer(connection->buffer.data() + connection->buffered_bytes,
                   connection->buffer.size() - connection->buffered_bytes),
      [self = shared_from_this(), connection](error_code failed, size_t size) {
        if (self->stopped_) {
          return;
        }
        connection->last_used = Clock::now();
        connection->buffered_bytes += size;
        if (failed || !self->DeliverMessages(*connection)) {
          error_code ignored;
          connection->socket.close(ignored);
          self->connections_.remove(connection);
          return;
        }
        self->Read(connection);
      });
}

bool InboundMessages::DeliverMessages(Connection& connection) {
  std::string_view remaining(connection.buffer.data(),
                             connection.buffered_bytes);
  connection.next_read_bytes = kReadBytes;
  while (remaining.size() >= kFrameHeaderBytes && !stopped_) {
    const uint64_t length = DecodeMessageLength(remaining);
    if (length > options_.max_message_bytes) {
      Log(LogLevel::kWarning, "messenger_message_too_large",
          {{"bytes", length}});
      return false;
    }
    if (remaining.size() - kFrameHeaderBytes < length) {
      connection.next_read_bytes = std::max<size_t>(
          kReadBytes, kFrameHeaderBytes + length - remaining.size());
      break;
    }
    bytes_received_ += length + kFrameHeaderBytes;
    receiver_(remaining.substr(kFrameHeaderBytes, length));
    remaining.remove_prefix(kFrameHeaderBytes + length);
  }
  // Moves the remaining bytes only after a read that completed a message, not
  // after each read.
  if (remaining.size() < connection.buffered_bytes) {
    connection.buffer.erase(0, connection.buffered_bytes - remaining.size());
    connection.buffered_bytes = remaining.size();
    if (connection.buffered_bytes == 0 &&
        connection.buffer.size() > kMaxRetainedBytes) {
      std::string().swap(connection.buffer);
    }
  }
  return true;
}

}  // namespace limpethatch
