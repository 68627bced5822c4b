// The sending side of a messenger, with a queue and a connection for each peer.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_OUTBOUND_MESSAGES_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_OUTBOUND_MESSAGES_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/connection/messenger_options.h"

namespace limpethatch {

// Send, Reset and the counters are thread-safe; everything else runs on the
// thread of `io`.
class OutboundMessages : public std::enable_shared_from_this<OutboundMessages> {
 public:
  OutboundMessages(boost::asio::io_context& io, MessengerOptions options);

  void Send(const Endpoint& endpoint, std::string_view message);
  // Like Messenger::Reset.
  void Reset(const Endpoint& endpoint, TimePoint stalled_since);
  // Must be called on the thread of `io`, or once nothing runs on `io` any
  // more.
  void CloseAll();

  uint64_t bytes_sent() const { return bytes_sent_; }
  size_t open_peers() const;

 private:
  struct QueuedMessage {
    std::string frame;
    TimePoint queued_at;
  };
  // The queue, `queued_bytes`, `in_flight`, the times and what concerns drops
  // are guarded by `mutex_`; all other members are used only on the thread of
  // `io_`.
  struct Peer {
    explicit Peer(boost::asio::io_context& context)
        : socket(context), timer(context) {}

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    bool connecting = false;
    bool connected = false;
    bool writing = false;
    bool closed = false;
    std::string write_buffer;
    char read_buffer = 0;  // Read into only to detect that the peer closed.
    std::deque<QueuedMessage> queue;
    size_t queued_bytes = 0;
    size_t in_flight = 0;  // Messages in `write_buffer`.
    TimePoint last_used;
    TimePoint progressed_at;  // When bytes of `write_buffer` were last written.
    uint64_t dropped = 0;     // Messages for which the queue had no room.
    TimePoint drop_logged_at;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  PeerPtr FindOrAddPeer(const Endpoint& endpoint, TimePoint now);
  void RemoveIdlePeers(TimePoint now, std::vector<PeerPtr>* idle);
  void Enqueue(Peer& peer,
               const Endpoint& endpoint,
               std::string_view message,
               TimePoint now);
  static std::string PopFront(Peer& peer);
  void Close(const PeerPtr& peer);
  void Flush(const PeerPtr& peer, const Endpoint& endpoint);
  void Connect(const PeerPtr& peer, const Endpoint& endpoint);
  void OnConnected(const PeerPtr& peer, const Endpoint& endpoint);
  void WatchForClose(const PeerPtr& peer, const Endpoint& endpoint);
  void OnFailed(const PeerPtr& peer, const Endpoint& endpoint);
  void WriteNext(const PeerPtr& peer, const Endpoint& endpoint);

  boost::asio::io_context& io_;
  const MessengerOptions options_;
  std::atomic<uint64_t> bytes_sent_{0};

  mutable std::mutex mutex_;  // Guards the members below.
  std::map<Endpoint, PeerPtr> peers_;
  TimePoint last_sweep_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_OUTBOUND_MESSAGES_H_
