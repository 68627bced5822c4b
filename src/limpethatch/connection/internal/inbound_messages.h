// The receiving side of a messenger: takes connections and cuts what comes in
// into messages.
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

// All but Listen and the counter happens on the thread of `io`.
class InboundMessages : public std::enable_shared_from_this<InboundMessages> {
 public:
  using Receiver = std::function<void(std::string_view message)>;

  InboundMessages(boost::asio::io_context& io,
                  MessengerOptions options,
                  Receiver receiver);

  std::error_code Listen(const Endpoint& endpoint);
  // From any thread: no further message is handed on.
  void StopDelivery() { stopped_ = true; }
  // Closes everything; only once nothing runs on `io`, or on its thread.
  void Close();

  uint64_t bytes_received() const { return bytes_received_; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  // False if the connection is to be closed.
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
