// The pool of idle connections of an HttpClient.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_HTTP_CONNECTION_POOL_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_HTTP_CONNECTION_POOL_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/internal/timed_socket.h"

namespace limpethatch {

// A connection that carries one call at a time.
struct HttpConnection {
  explicit HttpConnection(const boost::asio::any_io_executor& executor)
      : socket(executor) {}

  TimedSocket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since;
};

// Thread-safe. A connection is returned to the pool only after its answer was
// read completely, so that no byte of one answer can reach another call.
class HttpConnectionPool {
 public:
  HttpConnectionPool(boost::asio::io_context& io, HttpClientOptions options);

  const HttpClientOptions& options() const { return options_; }

  // Returns an idle connection that is still open and has no unread data, or
  // null.
  std::unique_ptr<HttpConnection> AcquireIdle(const Endpoint& endpoint);
  // Opens a new connection. On failure returns null and sets `error`.
  std::unique_ptr<HttpConnection> OpenConnection(Yield yield,
                                                 const Endpoint& endpoint,
                                                 TimePoint deadline,
                                                 std::error_code* error);
  // Returns a connection to the pool, and closes expired and excess ones.
  void Release(const Endpoint& endpoint,
               std::unique_ptr<HttpConnection> connection);
  // Closes all idle connections to `endpoint`.
  void CloseIdle(const Endpoint& endpoint);

 private:
  using IdleList = std::vector<std::unique_ptr<HttpConnection>>;

  std::unique_ptr<HttpConnection> PopIdle(const Endpoint& endpoint);

  boost::asio::io_context& io_;
  const HttpClientOptions options_;
  std::mutex mutex_;
  std::map<Endpoint, IdleList> idle_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_HTTP_CONNECTION_POOL_H_
