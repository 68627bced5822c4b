#include "limpethatch/connection/http_server.h"

#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <set>
#include <utility>

#include "limpethatch/connection/internal/http_server_connection.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
namespace {

// Delay after a failed accept, as when the process has no descriptors left.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::string_view kTooManyConnections =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";

}  // namespace

struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared> {
  Shared(asio::io_context& context,
         HttpServerLimits initial_limits,
         Handler request_handler,
         std::shared_ptr<ClientMemory> memory)
      : io(context),
        server_state(initial_limits,
                     std::move(request_handler),
                     std::move(memory)),
        acceptor(asio::make_strand(context)) {}

  void AcceptLoop(Yield yield);
  void Start(const std::shared_ptr<HttpServerConnection>& connection);
  void RemoveConnection(
      const std::shared_ptr<HttpServerConnection>& connection);
  // Closes the connection that has been idle for longest, or else the one whose
  // request has been incomplete for longest. Returns false if there is none, or
  // memory is not bounded.
  bool CloseLongestWaiting();
  void CloseAcceptor();
  template <typename Action>
  void ForEachConnection(Action action);

  asio::io_context& io;
  HttpServerState server_state;
  tcp::acceptor acceptor;
  uint16_t port = 0;
  std::atomic<size_t> open_connections = 0;
  std::mutex mutex;
  std::set<std::shared_ptr<HttpServerConnection>> connections;
};

void HttpServer::Shared::AcceptLoop(Yield yield) {
  while (acceptor.is_open()) {
    const asio::any_io_executor strand(asio::make_strand(io));
    auto connection =
        std::make_shared<HttpServerConnection>(strand, &server_state);
    error_code error;
    acceptor.async_accept(connection->socket().socket(), yield[error]);
    if (error == asio::error::operation_aborted || !acceptor.is_open()) {
      return;
    }
    if (error) {
      Log(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
      SleepFor(yield, kAcceptRetryDelay);
    } else if (connection->socket().Configure()) {
      continue;
    } else if ((open_connections >= server_state.Limits().max_connections &&
                !CloseLongestWaiting()) ||
               !connection->ReserveConnection()) {
      connection->socket().socket().write_some(
          asio::buffer(kTooManyConnections), error);
    } else {
      Start(connection);
    }
  }
}

void HttpServer::Shared::Start(
    const std::shared_ptr<HttpServerConnection>& connection) {
  ++open_connections;
  {
    const std::lock_guard lock(mutex);
    connections.insert(connection);
  }
  asio::spawn(
      connection->socket().socket().get_executor(),
      [self = shared_from_this(), connection](Yield yield) {
        connection->Serve(yield);
        self->RemoveConnection(connection);
      },
      asio::detached);
}

void HttpServer::Shared::RemoveConnection(
    const std::shared_ptr<HttpServerConnection>& connection) {
  connection->socket().Close();
  --open_connections;
  const std::lock_guard lock(mutex);
  connections.erase(connection);
}

bool HttpServer::Shared::CloseLongestWaiting() {
  using Phase = ClientMemory::Phase;
  ClientMemory::Share* longest = nullptr;
  const std::lock_guard lock(mutex);
  for (const auto& connection : connections) {
    ClientMemory::Share* share = connection->share();
    if (!share || share->evicted() ||
        (share->phase() != Phase::kIdle && share->phase() != Phase::kReading)) {
      continue;
    }
    const auto rank = [](const ClientMemory::Share& one) {
      return std::pair(one.phase(), one.phase_began_at());
    };
    if (!longest || rank(*share) < rank(*longest)) {
      longest = share;
    }
  }
  if (!longest) {
    return false;
  }
  longest->memory().CountRefusal("connections", Clock::now());
  longest->Evict();
  return true;
}

void HttpServer::Shared::CloseAcceptor() {
  asio::post(acceptor.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->acceptor.close(ignored);
  });
}

template <typename Action>
void HttpServer::Shared::ForEachConnection(Action action) {
  const std::lock_guard lock(mutex);
  for (const auto& connection : connections) {
    asio::post(connection->socket().socket().get_executor(),
               [self = shared_from_this(), connection, action] {
                 action(*connection);
               });
  }
}

TimePoint HttpServerLimits::RateLimit(TimePoint began_at, size_t bytes) const {
  if (min_bytes_per_second == 0) {
    return TimePoint::max();
  }
  return began_at + rate_grace +
         std::chrono::seconds(bytes / min_bytes_per_second);
}

HttpServer::HttpServer(asio::io_context& io,
                       HttpServerLimits limits,
                       Handler handler,
                       std::shared_ptr<ClientMemory> memory)
    : shared_(std::make_shared<Shared>(io,
                                       limits,
                                       std::move(handler),
                                       std::move(memory))) {}

HttpServer::~HttpServer() {
  shared_->CloseAcceptor();
  shared_->ForEachConnection(
      [](HttpServerConnection& connection) { connection.socket().Close(); });
}

std::error_code HttpServer::Listen(const Endpoint& endpoint) {
  error_code error;
  const auto address = asio::ip::make_address_v4(endpoint.host, error);
  tcp::acceptor& acceptor = shared_->acceptor;
  if (!error) {
    acceptor.open(tcp::v4(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind({address, endpoint.port}, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return error;
  }
  shared_->port = acceptor.local_endpoint(error).port();
  asio::spawn(
      acceptor.get_executor(),
      [shared = shared_](Yield yield) { shared->AcceptLoop(yield); },
      asio::detached);
  return {};
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  const std::lock_guard lock(shared_->server_state.limits_mutex);
  shared_->server_state.limits = limits;
}

void HttpServer::DisableKeepAlive() {
  shared_->server_state.draining = true;
  shared_->ForEachConnection(
      [](HttpServerConnection& connection) { connection.DrainIfIdle(); });
}

void HttpServer::Drain() {
  shared_->CloseAcceptor();
  DisableKeepAlive();
}

uint16_t HttpServer::port() const {
  return shared_->port;
}

size_t HttpServer::active_requests() const {
  return shared_->server_state.active_requests;
}

size_t HttpServer::open_connections() const {
  return shared_->open_connections;
}

}  // namespace limpethatch
