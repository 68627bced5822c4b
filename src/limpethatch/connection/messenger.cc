#include "limpethatch/connection/messenger.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "limpethatch/process/log.h"

namespace limpethatch {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
namespace {

// Length of a message, big endian, in front of each one.
constexpr size_t kFrameHeaderBytes = 8;
constexpr size_t kReadBytes = 4UL * 1024;
// A larger buffer is freed once its messages were taken.
constexpr size_t kKeptBytes = 16UL * 1024;
// Messages that wait together are written together, up to about this much.
constexpr size_t kWriteBytes = 64UL * 1024;
// Between two attempts to connect to one peer.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);
// Idle connections are looked for at most this often.
constexpr Duration kSweepPeriod = std::chrono::seconds(1);
// An inbound connection outlives the idle time of its sender by this factor.
constexpr int kInboundIdleFactor = 2;

void SetUnconfirmedTimeout(tcp::socket& socket, Duration timeout) {
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

void AppendFrame(std::string_view message, std::string* bytes) {
  uint64_t length = boost::endian::native_to_big<uint64_t>(message.size());
  bytes->append(reinterpret_cast<const char*>(&length), sizeof(length));
  *bytes += message;
}

// A connection that messages come in on.
struct Inbound {
  explicit Inbound(asio::io_context& io) : socket(io) {}

  tcp::socket socket;
  std::string buffer;
  size_t used = 0;             // Bytes at its front, not yet a whole message.
  size_t wanted = kReadBytes;  // Room to make for the next read.
  TimePoint last_used;
};

}  // namespace

struct Messenger::State : std::enable_shared_from_this<Messenger::State> {
  struct Waiting {
    std::string frame;
    TimePoint since;
  };
  // Sockets are used on the thread of `io` only; `queue` is guarded by mutex.
  struct Peer {
    explicit Peer(asio::io_context& context)
        : socket(context), timer(context) {}

    tcp::socket socket;
    asio::steady_timer timer;
    bool connecting = false;
    bool connected = false;
    bool writing = false;
    bool closed = false;
    std::string out;
    char probe = 0;  // Read into, to notice the peer's end.
    std::deque<Waiting> queue;
    size_t in_flight = 0;  // Messages in `out`.
    TimePoint last_used;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  State(asio::io_context& context,
        MessengerOptions given_options,
        Receiver given_receiver)
      : io(context),
        options(std::move(given_options)),
        receiver(std::move(given_receiver)),
        acceptor(context) {}

  PeerPtr PeerOf(const Endpoint& endpoint, TimePoint now);
  void TakeIdle(TimePoint now, std::vector<PeerPtr>* idle);
  void Close(const PeerPtr& peer);
  void Kick(const PeerPtr& peer, const Endpoint& endpoint);
  void Connect(const PeerPtr& peer, const Endpoint& endpoint);
  void Connected(const PeerPtr& peer, const Endpoint& endpoint);
  void Watch(const PeerPtr& peer, const Endpoint& endpoint);
  void Failed(const PeerPtr& peer, const Endpoint& endpoint);
  void WriteNext(const PeerPtr& peer, const Endpoint& endpoint);
  void Accept();
  void Read(const std::shared_ptr<Inbound>& inbound);
  // False if the connection is to be closed.
  bool TakeMessages(Inbound& inbound);
  void SweepInbound(TimePoint now);

  // Set if the messenger has a thread of its own. Outlives all sockets.
  std::unique_ptr<asio::io_context> own_io;
  asio::io_context& io;
  const MessengerOptions options;
  const Receiver receiver;
  tcp::acceptor acceptor;
  std::list<std::shared_ptr<Inbound>> inbounds;
  std::atomic<bool> stopped{false};
  std::atomic<uint64_t> bytes_sent{0};
  std::atomic<uint64_t> bytes_received{0};

  std::mutex mutex;  // Guards what follows.
  std::map<Endpoint, PeerPtr> peers;
  TimePoint last_sweep;

  bool stopped_receiving = false;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      work;
  std::thread thread;  // If `own_io` is set.
};

// ---- Sending ----

Messenger::State::PeerPtr Messenger::State::PeerOf(const Endpoint& endpoint,
                                                   TimePoint now) {
  PeerPtr& peer = peers[endpoint];
  if (!peer) {
    peer = std::make_shared<Peer>(io);
  }
  peer->last_used = now;
  return peer;
}

void Messenger::State::TakeIdle(TimePoint now, std::vector<PeerPtr>* idle) {
  if (now - last_sweep < std::min(kSweepPeriod, options.max_idle_time)) {
    return;
  }
  last_sweep = now;
  std::erase_if(peers, [&](const auto& entry) {
    const bool expired = now - entry.second->last_used > options.max_idle_time;
    if (expired) {
      idle->push_back(entry.second);
    }
    return expired;
  });
}

void Messenger::State::Close(const PeerPtr& peer) {
  asio::post(io, [self = shared_from_this(), peer] {
    peer->closed = true;
    error_code ignored;
    peer->timer.cancel();
    peer->socket.close(ignored);
  });
}

void Messenger::State::Kick(const PeerPtr& peer, const Endpoint& endpoint) {
  if (peer->closed) {
    return;
  }
  if (peer->connected) {
    WriteNext(peer, endpoint);
  } else if (!peer->connecting) {
    Connect(peer, endpoint);
  }
}

void Messenger::State::Connect(const PeerPtr& peer, const Endpoint& endpoint) {
  peer->connecting = true;
  const Endpoint& address = Translate(options.translation, endpoint);
  error_code error;
  const auto ip = asio::ip::make_address_v4(address.host, error);
  if (error) {
    Log(LogLevel::kWarning, "messenger_address_wrong",
        {{"peer", endpoint.ToString()}, {"error", error.message()}});
    return;
  }
  peer->socket = tcp::socket(io);
  peer->timer.expires_after(options.connect_timeout);
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
          self->Failed(peer, endpoint);
        } else {
          self->Connected(peer, endpoint);
        }
      });
}

void Messenger::State::Connected(const PeerPtr& peer,
                                 const Endpoint& endpoint) {
  peer->connecting = false;
  peer->connected = true;
  SetUnconfirmedTimeout(peer->socket, options.unconfirmed_timeout);
  {
    const TimePoint oldest = Clock::now() - options.max_wait;
    std::scoped_lock lock(mutex);
    while (!peer->queue.empty() && peer->queue.front().since < oldest) {
      peer->queue.pop_front();
    }
  }
  Watch(peer, endpoint);
  WriteNext(peer, endpoint);
}

// Nothing comes back on an outbound connection but its end.
void Messenger::State::Watch(const PeerPtr& peer, const Endpoint& endpoint) {
  peer->socket.async_read_some(
      asio::buffer(&peer->probe, 1),
      [self = shared_from_this(), peer, endpoint](error_code, size_t) {
        if (!peer->closed && peer->connected) {
          self->Failed(peer, endpoint);
        }
      });
}

void Messenger::State::Failed(const PeerPtr& peer, const Endpoint& endpoint) {
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
        bool wanted = false;
        {
          const TimePoint oldest = Clock::now() - self->options.max_wait;
          std::scoped_lock lock(self->mutex);
          wanted = !peer->queue.empty() && peer->queue.back().since > oldest;
        }
        if (wanted) {
          self->Connect(peer, endpoint);
        }
      });
}

void Messenger::State::WriteNext(const PeerPtr& peer,
                                 const Endpoint& endpoint) {
  if (peer->writing) {
    return;
  }
  peer->out.clear();
  {
    std::scoped_lock lock(mutex);
    peer->in_flight = 0;
    while (!peer->queue.empty() && peer->out.size() < kWriteBytes) {
      peer->out += peer->queue.front().frame;
      peer->queue.pop_front();
      ++peer->in_flight;
    }
  }
  if (peer->out.empty()) {
    std::string().swap(peer->out);
    return;
  }
  peer->writing = true;
  asio::async_write(
      peer->socket, asio::buffer(peer->out),
      [self = shared_from_this(), peer, endpoint](error_code failed, size_t) {
        peer->writing = false;
        {
          std::scoped_lock lock(self->mutex);
          peer->in_flight = 0;
        }
        if (peer->closed || failed == asio::error::operation_aborted) {
          return;
        }
        if (failed) {
          if (peer->connected) {
            self->Failed(peer, endpoint);
          }
        } else {
          self->WriteNext(peer, endpoint);
        }
      });
}

// ---- Receiving ----

void Messenger::State::Accept() {
  auto inbound = std::make_shared<Inbound>(io);
  acceptor.async_accept(inbound->socket, [self = shared_from_this(),
                                          inbound](error_code failed) {
    if (failed == asio::error::operation_aborted || self->stopped) {
      return;
    }
    if (failed) {
      Log(LogLevel::kWarning, "accept_failed", {{"error", failed.message()}});
    } else {
      const TimePoint now = Clock::now();
      self->SweepInbound(now);
      inbound->last_used = now;
      self->inbounds.push_back(inbound);
      self->Read(inbound);
    }
    self->Accept();
  });
}

void Messenger::State::SweepInbound(TimePoint now) {
  for (const auto& inbound : inbounds) {
    if (now - inbound->last_used > kInboundIdleFactor * options.max_idle_time) {
      error_code ignored;
      inbound->socket.close(ignored);
    }
  }
}

void Messenger::State::Read(const std::shared_ptr<Inbound>& inbound) {
  if (inbound->buffer.size() < inbound->used + inbound->wanted) {
    inbound->buffer.resize(inbound->used + inbound->wanted);
  }
  inbound->socket.async_read_some(
      asio::buffer(inbound->buffer.data() + inbound->used,
                   inbound->buffer.size() - inbound->used),
      [self = shared_from_this(), inbound](error_code failed, size_t size) {
        if (self->stopped) {
          return;
        }
        inbound->last_used = Clock::now();
        inbound->used += size;
        if (failed || !self->TakeMessages(*inbound)) {
          error_code ignored;
          inbound->socket.close(ignored);
          self->inbounds.remove(inbound);
          return;
        }
        self->Read(inbound);
      });
}

bool Messenger::State::TakeMessages(Inbound& inbound) {
  std::string_view left(inbound.buffer.data(), inbound.used);
  inbound.wanted = kReadBytes;
  while (left.size() >= kFrameHeaderBytes && !stopped) {
    const auto length = boost::endian::load_big_u64(
        reinterpret_cast<const unsigned char*>(left.data()));
    if (length > options.max_message_bytes) {
      Log(LogLevel::kWarning, "messenger_message_too_large",
          {{"bytes", length}});
      return false;
    }
    if (left.size() - kFrameHeaderBytes < length) {
      inbound.wanted = std::max<size_t>(
          kReadBytes, kFrameHeaderBytes + length - left.size());
      break;
    }
    bytes_received += length + kFrameHeaderBytes;
    receiver(left.substr(kFrameHeaderBytes, length));
    left.remove_prefix(kFrameHeaderBytes + length);
  }
  // Once for each read that completed a message, not for each read.
  if (left.size() < inbound.used) {
    inbound.buffer.erase(0, inbound.used - left.size());
    inbound.used = left.size();
    if (inbound.used == 0 && inbound.buffer.size() > kKeptBytes) {
      std::string().swap(inbound.buffer);
    }
  }
  return true;
}

// ---- Messenger ----

Messenger::Messenger(boost::asio::io_context& io,
                     MessengerOptions options,
                     Receiver receiver)
    : state_(std::make_shared<State>(io,
                                     std::move(options),
                                     std::move(receiver))) {}

Messenger::Messenger(MessengerOptions options, Receiver receiver) {
  auto io = std::make_unique<asio::io_context>(1);
  state_ =
      std::make_shared<State>(*io, std::move(options), std::move(receiver));
  state_->own_io = std::move(io);
  state_->work.emplace(asio::make_work_guard(*state_->own_io));
  state_->thread = std::thread([own = state_->own_io.get()] { own->run(); });
}

Messenger::~Messenger() {
  StopReceiving();
  {
    error_code ignored;
    std::scoped_lock lock(state_->mutex);
    for (const auto& [endpoint, peer] : state_->peers) {
      peer->closed = true;
      peer->timer.cancel();
      peer->socket.close(ignored);
    }
    state_->peers.clear();
  }
  if (state_->own_io) {
    // The handlers that are left find everything closed, and let go of it.
    state_->work.reset();
    state_->own_io->restart();
    state_->own_io->poll();
  }
}

void Messenger::StopReceiving() {
  if (std::exchange(state_->stopped_receiving, true)) {
    return;
  }
  state_->stopped = true;
  if (state_->own_io) {
    state_->own_io->stop();
    state_->thread.join();
  }
  error_code ignored;
  state_->acceptor.close(ignored);
  for (const auto& inbound : state_->inbounds) {
    inbound->socket.close(ignored);
  }
  state_->inbounds.clear();
}

std::error_code Messenger::Listen(const Endpoint& endpoint) {
  error_code error;
  tcp::acceptor acceptor(state_->io);
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
  asio::post(state_->io,
             [state = state_,
              socket = std::make_shared<tcp::acceptor>(std::move(acceptor))] {
               state->acceptor = std::move(*socket);
               state->Accept();
             });
  return {};
}

void Messenger::Send(const Endpoint& endpoint, std::string_view message) {
  if (message.size() > state_->options.max_message_bytes) {
    Log(LogLevel::kError, "messenger_message_too_large",
        {{"peer", endpoint.ToString()}, {"bytes", message.size()}});
    return;
  }
  State::PeerPtr peer;
  std::vector<State::PeerPtr> idle;
  {
    const TimePoint now = Clock::now();
    std::scoped_lock lock(state_->mutex);
    state_->TakeIdle(now, &idle);
    peer = state_->PeerOf(endpoint, now);
    const auto most = static_cast<size_t>(state_->options.max_queued_per_peer);
    if (peer->queue.size() + peer->in_flight < most) {
      State::Waiting waiting{{}, now};
      AppendFrame(message, &waiting.frame);
      state_->bytes_sent += waiting.frame.size();
      peer->queue.push_back(std::move(waiting));
    }
  }
  for (const State::PeerPtr& closing : idle) {
    state_->Close(closing);
  }
  asio::post(state_->io,
             [state = state_, peer, endpoint] { state->Kick(peer, endpoint); });
}

void Messenger::Reset(const Endpoint& endpoint) {
  State::PeerPtr peer;
  {
    std::scoped_lock lock(state_->mutex);
    const auto found = state_->peers.find(endpoint);
    if (found == state_->peers.end()) {
      return;
    }
    peer = found->second;
    state_->peers.erase(found);
  }
  state_->Close(peer);
}

uint64_t Messenger::bytes_sent() const {
  return state_->bytes_sent;
}

uint64_t Messenger::bytes_received() const {
  return state_->bytes_received;
}

size_t Messenger::open_peers() const {
  std::scoped_lock lock(state_->mutex);
  return state_->peers.size();
}

}  // namespace limpethatch
