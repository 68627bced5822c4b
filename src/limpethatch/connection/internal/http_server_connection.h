// One accepted connection of an HttpServer.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_HTTP_SERVER_CONNECTION_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_HTTP_SERVER_CONNECTION_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <mutex>
#include <utility>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/internal/timed_socket.h"

namespace limpethatch {

// The state that all connections of a server share.
struct HttpServerState {
  HttpServerState(HttpServerLimits initial_limits,
                  HttpServer::Handler request_handler)
      : limits(initial_limits), handler(std::move(request_handler)) {}

  HttpServerLimits Limits() const {
    const std::lock_guard lock(limits_mutex);
    return limits;
  }

  mutable std::mutex limits_mutex;
  HttpServerLimits limits;  // Guarded by limits_mutex.
  HttpServer::Handler handler;
  std::atomic<bool> draining = false;
  std::atomic<size_t> active_requests = 0;
};

class HttpServerConnection {
 public:
  HttpServerConnection(const boost::asio::any_io_executor& strand,
                       HttpServerState* server_state)
      : socket_(strand), server_state_(server_state) {}

  TimedSocket& socket() { return socket_; }

  // Serves requests until the connection is to be closed.
  void Serve(Yield yield);
  // Shortens the wait for the next request to the drain idle timeout. Must be
  // called on the strand.
  void DrainIfIdle();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Returns true once `parser` holds a complete request, and false if the
  // connection is to be closed.
  bool ReadRequest(Yield yield, Parser& parser);
  // Parses the buffered bytes. Returns false if it sent an error response.
  bool ParseBuffered(Yield yield, Parser& parser);
  bool ReadMore(Yield yield, const Parser& parser, TimePoint started);
  void ContinueIfExpected(Yield yield,
                          const Parser& parser,
                          bool* continue_sent);
  void Refuse(Yield yield, int status, std::string_view code);
  bool Handle(Yield yield, Parser& parser);

  TimedSocket socket_;
  HttpServerState* server_state_;
  boost::beast::flat_buffer buffer_;
  bool idle_ = false;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_HTTP_SERVER_CONNECTION_H_
