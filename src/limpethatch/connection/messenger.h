// One-way messages between the system's own processes.
#ifndef LIMPETHATCH_CONNECTION_MESSENGER_H_
#define LIMPETHATCH_CONNECTION_MESSENGER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "limpethatch/connection/messenger_options.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

class InboundMessages;
class OutboundMessages;

// Datagrams over TCP: a message arrives whole, once at most, or not at all.
// There is no answer and no order promised across reconnects; callers put
// their own correlation and time-outs on top. Safe from any thread.
class Messenger {
 public:
  // Called on the messenger's thread, one message at a time.
  using Receiver = std::function<void(std::string_view message)>;

  // Runs on a thread of its own.
  Messenger(MessengerOptions options, Receiver receiver);
  // Runs on the one thread that runs `io`.
  Messenger(boost::asio::io_context& io,
            MessengerOptions options,
            Receiver receiver);
  ~Messenger();

  Messenger(const Messenger&) = delete;
  Messenger& operator=(const Messenger&) = delete;

  // Starts to receive at `endpoint`.
  std::error_code Listen(const Endpoint& endpoint);

  // Stops to receive for good: the receiver is not called once this has
  // returned. Not to be called by the receiver, and with an `io` of others only
  // on its thread or after that has ended.
  void StopReceiving();

  // Queues the message, or drops it if the peer's queue is full.
  void Send(const Endpoint& peer, std::string_view message);

  // Closes the connection to `peer`, so that the next Send opens a new one:
  // for a connection that went silent while new ones work.
  void Reset(const Endpoint& peer);

  // Bytes sent and received so far, for the cost figures.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;
  // Peers that a connection is kept to or tried.
  size_t open_peers() const;

 private:
  struct OwnThread;

  // Declared first, so that it outlives all sockets; null on an `io` of others.
  std::unique_ptr<OwnThread> own_;
  std::shared_ptr<OutboundMessages> outbound_;
  std::shared_ptr<InboundMessages> inbound_;
  bool stopped_receiving_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_MESSENGER_H_
