// An HTTP/1.1 server: one coroutine for each connection.
#ifndef LIMPETHATCH_CONNECTION_HTTP_SERVER_H_
#define LIMPETHATCH_CONNECTION_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

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
  // While draining, an idle connection is still answered for this long.
  Duration drain_idle_timeout = std::chrono::milliseconds(500);
};

// One request and the means to answer it. Lives as long as its handler runs.
// A handler answers exactly once: with Respond, or with StartStream, any
// number of WriteChunk, and FinishStream. A handler that returns without an
// answer, or leaves its stream unfinished, closes the connection: the peer
// sees that the answer is not whole.
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
  // True once the peer has closed its side or the connection failed.
  virtual bool PeerDisconnected() = 0;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  HttpServer(boost::asio::io_context& io,
             HttpServerLimits limits,
             Handler handler);
  ~HttpServer();

  // Binds and starts to accept; port 0 takes a free one. Errors are those of
  // bind and listen.
  std::error_code Listen(const Endpoint& endpoint);

  // The port that Listen bound.
  uint16_t port() const;

  // Holds for all that is read from now on.
  void SetLimits(const HttpServerLimits& limits);

  // The first part of a planned stop: answers say "Connection: close" and idle
  // connections are closed soon, while new ones are still accepted.
  void DisableKeepAlive();

  // The rest of a planned stop: accepts nothing new, answers what has begun
  // with "Connection: close", and closes connections that stay idle.
  void Drain();

  // Requests whose handler is still running.
  size_t active_requests() const;
  size_t open_connections() const;

 private:
  struct Shared;

  std::shared_ptr<Shared> shared_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_HTTP_SERVER_H_
