#include "limpethatch/connection/internal/outbound_messages.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "limpethatch/connection/internal/message_frame.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
namespace {

// Queued messages are combined into one write up to about this size.
constexpr size_t kMaxWriteBytes = 64UL * 1024;
// The delay between two attempts to connect to a peer.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);
// The minimum interval between two log lines on messages dropped for one peer.
constexpr Duration kDropLogPeriod = std::chrono::seconds(1);
// The minimum interval between two searches for idle connections.
constexpr Duration kSweepPeriod = std::chrono::seconds(1);

void SetTcpOptions(tcp::socket& socket, Duration timeout) {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
              .count())),
      ignored);
  socket.set_option(tcp::no_delay(true), ignored);
}

}  // namespace

OutboundMessages::OutboundMessages(asio::io_context& io,
                                   MessengerOptions options)
    : io_(io), options_(std::move(options)) {}

void OutboundMessages::Send(const Endpoint& endpoint,
                            std::string_view message) {
  if (message.size() > options_.max_message_bytes) {
    Log(LogLevel::kError, "messenger_message_too_large",
        {{"peer", endpoint.ToString()}, {"bytes", message.size()}});
    return;
  }
  PeerPtr peer;
  std::vector<PeerPtr> idle;
  {
    const TimePoint now = Clock::now();
    std::scoped_lock lock(mutex_);
    RemoveIdlePeers(now, &idle);
    peer = FindOrAddPeer(endpoint, now);
    Enqueue(*peer, endpoint, message, now);
  }
  for (const PeerPtr& closing : idle) {
    Close(closing);
  }
  asio::post(io_, [self = shared_from_this(), peer, endpoint] {
    self->Flush(peer, endpoint);
  });
}

void OutboundMessages::Enqueue(Peer& peer,
                               const Endpoint& endpoint,
                               std::string_view message,
                               TimePoint now) {
  const auto max_messages = static_cast<size_t>(options_.max_queued_per_peer);
  const bool too_many = peer.queue.size() + peer.in_flight >= max_messages;
  const bool too_large =
      !peer.queue.empty() &&
      peer.queued_bytes + message.size() > options_.max_queued_bytes_per_peer;
  if (too_many || too_large) {
    ++peer.dropped;
    if (now - peer.drop_logged_at >= kDropLogPeriod) {
      peer.drop_logged_at = now;
      Log(LogLevel::kInfo, "messages_dropped",
          {{"peer", endpoint.ToString()},
           {"total", peer.dropped},
           {"queued", peer.queue.size()},
           {"queued_bytes", peer.queued_bytes}});
    }
    return;
  }
  QueuedMessage queued{EncodeMessageFrame(message), now};
  bytes_sent_ += queued.frame.size();
  peer.queued_bytes += queued.frame.size();
  peer.queue.push_back(std::move(queued));
}

std::string OutboundMessages::PopFront(Peer& peer) {
  std::string frame = std::move(peer.queue.front().frame);
  peer.queue.pop_front();
  peer.queued_bytes -= frame.size();
  return frame;
}

void OutboundMessages::Reset(const Endpoint& endpoint,
                             TimePoint stalled_since) {
  PeerPtr peer;
  {
    std::scoped_lock lock(mutex_);
    const auto found = peers_.find(endpoint);
    if (found == peers_.end()) {
      return;
    }
    const bool transfers =
        found->second->in_flight > 0 || !found->second->queue.empty();
    if (transfers && found->second->progressed_at >= stalled_since) {
      return;
    }
    peer = found->second;
    peers_.erase(found);
  }
  Close(peer);
}

void OutboundMessages::CloseAll() {
  error_code ignored;
  std::scoped_lock lock(mutex_);
  for (const auto& [endpoint, peer] : peers_) {
    peer->closed = true;
    peer->timer.cancel();
    peer->socket.close(ignored);
  }
  peers_.clear();
}

size_t OutboundMessages::open_peers() const {
  std::scoped_lock lock(mutex_);
  return peers_.size();
}

OutboundMessages::PeerPtr OutboundMessages::FindOrAddPeer(
    const Endpoint& endpoint,
    TimePoint now) {
  PeerPtr& peer = peers_[endpoint];
  if (!peer) {
    peer = std::make_shared<Peer>(io_);
  }
  peer->last_used = now;
  return peer;
}

void OutboundMessages::RemoveIdlePeers(TimePoint now,
                                       std::vector<PeerPtr>* idle) {
  if (now - last_sweep_ < std::min(kSweepPeriod, options_.max_idle_time)) {
    return;
  }
  last_sweep_ = now;
  std::erase_if(peers_, [&](const auto& entry) {
    const bool expired = now - entry.second->last_used > options_.max_idle_time;
    if (expired) {
      idle->push_back(entry.second);
    }
    return expired;
  });
}

void OutboundMessages::Close(const PeerPtr& peer) {
  asio::post(io_, [self = shared_from_this(), peer] {
    peer->closed = true;
    error_code ignored;
    peer->timer.cancel();
    peer->socket.close(ignored);
  });
}

void OutboundMessages::Flush(const PeerPtr& peer, const Endpoint& endpoint) {
  if (peer->closed) {
    return;
  }
  if (peer->connected) {
    WriteNext(peer, endpoint);
  } else if (!peer->connecting) {
    Connect(peer, endpoint);
  }
}

void OutboundMessages::Connect(const PeerPtr& peer, const Endpoint& endpoint) {
  peer->connecting = true;
  const Endpoint& address = Translate(options_.translation, endpoint);
  error_code error;
  const auto ip = asio::ip::make_address_v4(address.host, error);
  if (error) {
    Log(LogLevel::kWarning, "messenger_address_invalid",
        {{"peer", endpoint.ToString()}, {"error", error.message()}});
    return;
  }
  peer->socket = tcp::socket(io_);
  peer->timer.expires_after(options_.connect_timeout);
  peer->timer.async_wait([self = shared_from_this(), peer](error_code failed) {
    error_code ignored;
    if (!failed && peer->connecting) {
      peer->socket.close(ignored);
    }
  });
  peer->socket.async_connect(
      {ip, address.port},
      [self = shared_from_this(), peer, endpoint](error_code failed) {
        peer->timer.cancel();
        if (peer->closed) {
          return;
        }
        if (failed) {
          self->OnFailed(peer, endpoint);
        } else {
          self->OnConnected(peer, endpoint);
        }
      });
}

void OutboundMessages::OnConnected(const PeerPtr& peer,
                                   const Endpoint& endpoint) {
  peer->connecting = false;
  peer->connected = true;
  SetTcpOptions(peer->socket, options_.tcp_user_timeout);
  {
    const TimePoint oldest = Clock::now() - options_.max_queue_time;
    std::scoped_lock lock(mutex_);
    while (!peer->queue.empty() && peer->queue.front().queued_at < oldest) {
      PopFront(*peer);
    }
  }
  WatchForClose(peer, endpoint);
  WriteNext(peer, endpoint);
}

// Peers send nothing on an outbound connection, so a read ends only when the
// connection does.
void OutboundMessages::WatchForClose(const PeerPtr& peer,
                                     const Endpoint& endpoint) {
  peer->socket.async_read_some(
      asio::buffer(&peer->read_buffer, 1),
      [self = shared_from_this(), peer, endpoint](error_code, size_t) {
        if (!peer->closed && peer->connected) {
          self->OnFailed(peer, endpoint);
        }
      });
}

void OutboundMessages::OnFailed(const PeerPtr& peer, const Endpoint& endpoint) {
  const bool was_connected = std::exchange(peer->connected, false);
  error_code ignored;
  peer->socket.close(ignored);
  peer->connecting = true;  // Until the next attempt.
  peer->timer.expires_after(was_connected ? Duration::zero() : kReconnectDelay);
  peer->timer.async_wait(
      [self = shared_from_this(), peer, endpoint](error_code failed) {
        peer->connecting = false;
        if (failed || peer->closed) {
          return;
        }
        bool retry = false;
        {
          const TimePoint oldest = Clock::now() - self->options_.max_queue_time;
          std::scoped_lock lock(self->mutex_);
          retry = !peer->queue.empty() && peer->queue.back().queued_at > oldest;
        }
        if (retry) {
          self->Connect(peer, endpoint);
        }
      });
}

void OutboundMessages::WriteNext(const PeerPtr& peer,
                                 const Endpoint& endpoint) {
  if (peer->writing) {
    return;
  }
  peer->write_buffer.clear();
  {
    std::scoped_lock lock(mutex_);
    peer->in_flight = 0;
    while (!peer->queue.empty() && peer->write_buffer.size() < kMaxWriteBytes) {
      peer->write_buffer += PopFront(*peer);
      ++peer->in_flight;
    }
  }
  if (peer->write_buffer.empty()) {
    std::string().swap(peer->write_buffer);
    return;
  }
  peer->writing = true;
  asio::async_write(
      peer->socket, asio::buffer(peer->write_buffer),
      [self = shared_from_this(), peer](error_code failed, size_t written) {
        if (written > 0) {
          std::scoped_lock lock(self->mutex_);
          peer->progressed_at = Clock::now();
        }
        return failed ? 0 : kMaxWriteBytes;
      },
      [self = shared_from_this(), peer, endpoint](error_code failed, size_t) {
        peer->writing = false;
        {
          std::scoped_lock lock(self->mutex_);
          peer->in_flight = 0;
        }
        if (peer->closed || failed == asio::error::operation_aborted) {
          return;
        }
        if (failed) {
          if (peer->connected) {
            self->OnFailed(peer, endpoint);
          }
        } else {
          self->WriteNext(peer, endpoint);
        }
      });
}

}  // namespace limpethatch
