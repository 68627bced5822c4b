#include "limpethatch/connection/internal/http_connection_pool.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace limpethatch {
namespace {

// A connection without keep-alive probes still works, so errors are ignored.
void SetKeepAlive(boost::asio::ip::tcp::socket& socket,
                  const TcpKeepAlive& keep_alive) {
  namespace option = boost::asio::detail::socket_option;
  boost::system::error_code ignored;
  socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(
                        static_cast<int>(keep_alive.idle_time.count())),
                    ignored);
  socket.set_option(option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(
                        static_cast<int>(keep_alive.interval.count())),
                    ignored);
  socket.set_option(
      option::integer<IPPROTO_TCP, TCP_KEEPCNT>(keep_alive.probes), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
}

}  // namespace

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context& io,
                                       HttpClientOptions options)
    : io_(io), options_(std::move(options)) {}

std::unique_ptr<HttpConnection> HttpConnectionPool::PopIdle(
    const Endpoint& endpoint) {
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(endpoint);
  if (found == idle_.end() || found->second.empty()) {
    return nullptr;
  }
  auto connection = std::move(found->second.back());
  found->second.pop_back();
  return connection;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::AcquireIdle(
    const Endpoint& endpoint) {
  while (auto connection = PopIdle(endpoint)) {
    if (Clock::now() - connection->idle_since < options_.max_idle_time &&
        connection->socket.IsIdleAndOpen()) {
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::OpenConnection(
    Yield yield,
    const Endpoint& endpoint,
    TimePoint deadline,
    std::error_code* error) {
  auto connection = std::make_unique<HttpConnection>(io_.get_executor());
  *error = connection->socket.Connect(
      yield, Translate(options_.translation, endpoint), deadline);
  if (*error) {
    return nullptr;
  }
  if (options_.keep_alive) {
    SetKeepAlive(connection->socket.socket(), *options_.keep_alive);
  }
  return connection;
}

void HttpConnectionPool::Release(const Endpoint& endpoint,
                                 std::unique_ptr<HttpConnection> connection) {
  const TimePoint now = Clock::now();
  connection->idle_since = now;
  connection->buffer.shrink_to_fit();  // The buffer is empty; frees its memory.
  IdleList closed;
  const std::lock_guard lock(mutex_);
  IdleList& list = idle_[endpoint];
  list.push_back(std::move(connection));
  // The list is ordered by `idle_since`, oldest first.
  const auto first_kept =
      std::find_if(list.begin(), list.end(), [&](const auto& c) {
        return now - c->idle_since < options_.max_idle_time;
      });
  const size_t excess =
      list.size() - std::min(list.size(), options_.max_idle_per_endpoint);
  const auto end =
      std::max(first_kept, list.begin() + static_cast<std::ptrdiff_t>(excess));
  std::move(list.begin(), end, std::back_inserter(closed));
  list.erase(list.begin(), end);
}

void HttpConnectionPool::CloseIdle(const Endpoint& endpoint) {
  IdleList closed;
  const std::lock_guard lock(mutex_);
  if (const auto found = idle_.find(endpoint); found != idle_.end()) {
    closed.swap(found->second);
    idle_.erase(found);
  }
}

}  // namespace limpethatch
