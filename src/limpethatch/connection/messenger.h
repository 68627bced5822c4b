// One-way messages between the processes of the system.
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

// Datagrams over TCP: a message arrives complete and at most once, or not at
// all. There are no replies, and the order is not kept across reconnects.
// Callers add their own correlation ids and time-outs. Thread-safe.
class Messenger {
 public:
  // Called on the messenger's thread, one message at a time.
  using Receiver = std::function<void(std::string_view message)>;

  // Starts a thread that does the messenger's work.
  Messenger(MessengerOptions options, Receiver receiver);
  // Does the messenger's work on `io`, which must be run by one thread only.
  Messenger(boost::asio::io_context& io,
            MessengerOptions options,
            Receiver receiver);
  ~Messenger();

  Messenger(const Messenger&) = delete;
  Messenger& operator=(const Messenger&) = delete;

  // Starts to accept messages at `endpoint`.
  std::error_code Listen(const Endpoint& endpoint);

  // Stops receiving permanently. The receiver is not called any more once this
  // has returned. Must not be called by the receiver. With an external `io`,
  // call it only on the thread that runs `io`, or after that thread has ended.
  void StopReceiving();

  // Queues the message, or drops it if the peer's queue is full or the message
  // exceeds max_message_bytes.
  void Send(const Endpoint& peer, std::string_view message);

  // Closes the connection to `peer`, so that the next Send opens a new one. For
  // connections that carry no more data although new ones would. Does nothing
  // if messages wait on the connection and some of their bytes were written at
  // `stalled_since` or later: a large message takes its time, and would start
  // from its first byte again.
  void Reset(const Endpoint& peer, TimePoint stalled_since = TimePoint::max());

  // Bytes queued for sending and bytes received so far, with frame headers.
  // Used to measure network cost.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;
  // The number of peers with a connection that is open or being established.
  size_t open_peers() const;

 private:
  struct IoThread;

  // Declared first, so that it outlives all sockets. Null with an external
  // `io`.
  std::unique_ptr<IoThread> io_thread_;
  std::shared_ptr<OutboundMessages> outbound_;
  std::shared_ptr<InboundMessages> inbound_;
  bool stopped_receiving_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_MESSENGER_H_
