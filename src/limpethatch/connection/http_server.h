// An HTTP/1.1 server that runs one coroutine for each connection.
#ifndef LIMPETHATCH_CONNECTION_HTTP_SERVER_H_
#define LIMPETHATCH_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "limpethatch/connection/client_memory.h"
#include "limpethatch/connection/http_types.h"
#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

struct HttpServerLimits {
  size_t max_header_bytes = 16UL * 1024;
  size_t max_body_bytes = 8UL * 1024 * 1024;
  size_t max_connections = 4096;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
  // A write that makes no progress for this long ends the connection.
  Duration write_timeout = std::chrono::seconds(20);
  // How long an idle connection still accepts a request while the server
  // drains.
  Duration drain_idle_timeout = std::chrono::milliseconds(500);
  // Bodies and answers must proceed at this rate on average; 0: at any.
  size_t min_bytes_per_second = 512;
  // The rate counts after this time; no less than `write_timeout`, so that it
  // ends no write that may still make progress.
  Duration rate_grace = std::chrono::seconds(20);

  // When a transfer that has begun at `began_at` and moved `bytes` falls below
  // the rate.
  TimePoint RateLimit(TimePoint began_at, size_t bytes) const;
};

// One request and the means to answer it. It is valid while its handler runs.
// A handler answers exactly once: either with Respond, or with StartStream, any
// number of WriteChunk calls and FinishStream. If a handler returns without an
// answer or with an unfinished stream, the connection is closed, so that the
// peer can tell that the answer is incomplete.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  virtual Yield yield() const = 0;

  virtual std::error_code Respond(const HttpResponse& response) = 0;
  // Sends the header with chunked transfer encoding.
  virtual std::error_code StartStream(int status,
                                      const HttpHeaders& headers) = 0;
  virtual std::error_code WriteChunk(std::string_view chunk) = 0;
  virtual std::error_code FinishStream() = 0;
  // Returns true once the peer has closed its side or the connection failed.
  virtual bool PeerDisconnected() = 0;
  // Bytes that the handler may use for the request for a moment, besides its
  // body.
  virtual size_t spare_memory() const { return SIZE_MAX; }
  // Counts `bytes` more towards the memory of clients until the exchange ends.
  // Returns false, and counts nothing, if there is no room.
  virtual bool HoldMemory(size_t /*bytes*/) { return true; }
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  // With `memory`, all servers that share it, and the coroutines of their
  // requests, must run on one thread.
  HttpServer(boost::asio::io_context& io,
             HttpServerLimits limits,
             Handler handler,
             std::shared_ptr<ClientMemory> memory = nullptr);
  ~HttpServer();

  // Binds to `endpoint` and starts to accept connections. Port 0 selects a free
  // port. Errors are those of the address, bind and listen.
  std::error_code Listen(const Endpoint& endpoint);

  // The port that Listen bound.
  uint16_t port() const;

  // Applies to everything that is read from now on.
  void SetLimits(const HttpServerLimits& limits);

  // The first phase of a graceful shutdown: answers carry "Connection: close"
  // and idle connections are closed soon, but new ones are still accepted.
  void DisableKeepAlive();

  // The second phase of a graceful shutdown: stops accepting connections,
  // completes active requests with "Connection: close", and closes connections
  // that stay idle.
  void Drain();

  // The number of requests whose handler is running.
  size_t active_requests() const;
  size_t open_connections() const;

 private:
  struct Shared;

  std::shared_ptr<Shared> shared_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_HTTP_SERVER_H_
