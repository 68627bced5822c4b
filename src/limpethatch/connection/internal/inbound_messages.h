// The receiving side of a messenger: accepts connections and splits the
// received bytes into messages.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_INBOUND_MESSAGES_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_INBOUND_MESSAGES_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "limpethatch/connection/messenger_options.h"

namespace limpethatch {

// Listen, StopDelivery and bytes_received are thread-safe; everything else runs
// on the thread of `io`.
class InboundMessages : public std::enable_shared_from_this<InboundMessages> {
 public:
  using Receiver = std::function<void(std::string_view message)>;

  InboundMessages(boost::asio::io_context& io,
                  MessengerOptions options,
                  Receiver receiver);

  std::error_code Listen(const Endpoint& endpoint);
  // Stops passing messages to the receiver. Thread-safe.
  void StopDelivery() { stopped_ = true; }
  // Closes the acceptor and all connections. Must be called on the thread of
  // `io`, or once nothing runs on `io` any more.
  void Close();

  uint64_t bytes_received() const { return bytes_received_; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  // Passes all complete messages in the buffer to the receiver. Returns false
  // if the connection is to be closed.
  bool DeliverMessages(Connection& connection);
  void CloseIdleConnections(TimePoint now);

  boost::asio::io_context& io_;
  const MessengerOptions options_;
  const Receiver receiver_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::atomic<bool> stopped_{false};
  std::atomic<uint64_t> bytes_received_{0};
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_INBOUND_MESSAGES_H_
