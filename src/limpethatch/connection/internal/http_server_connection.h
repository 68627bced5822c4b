// One accepted connection of an HttpServer.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_HTTP_SERVER_CONNECTION_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_HTTP_SERVER_CONNECTION_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "limpethatch/connection/client_memory.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/internal/timed_socket.h"

namespace limpethatch {

// The state that all connections of a server share.
struct HttpServerState {
  HttpServerState(HttpServerLimits initial_limits,
                  HttpServer::Handler request_handler,
                  std::shared_ptr<ClientMemory> client_memory)
      : limits(initial_limits),
        handler(std::move(request_handler)),
        memory(std::move(client_memory)) {}

  HttpServerLimits Limits() const {
    const std::lock_guard lock(limits_mutex);
    return limits;
  }

  mutable std::mutex limits_mutex;
  HttpServerLimits limits;  // Guarded by limits_mutex.
  HttpServer::Handler handler;
  std::shared_ptr<ClientMemory> memory;  // Null: not bounded.
  std::atomic<bool> draining = false;
  std::atomic<size_t> active_requests = 0;
};

class HttpServerConnection {
 public:
  HttpServerConnection(const boost::asio::any_io_executor& strand,
                       HttpServerState* server_state);

  TimedSocket& socket() { return socket_; }
  // Null if memory is not bounded.
  ClientMemory::Share* share() { return share_ ? &*share_ : nullptr; }
  // Reserves the memory of the connection itself.
  bool ReserveConnection();

  // Serves requests until the connection is to be closed.
  void Serve(Yield yield);
  // Shortens the wait for the next request to the drain idle timeout. Must be
  // called on the strand.
  void DrainIfIdle();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void BeginRequest();
  // Returns true once a complete request was read, and false if the connection
  // is to be closed.
  bool ReadRequest(Yield yield);
  // Parses the buffered bytes. Returns false if it sent an error response.
  bool ParseBuffered(Yield yield);
  // Reserves the memory of the lines of a head that are about to be parsed.
  bool ReserveHead(Yield yield);
  // Takes the head out of the parser, so that trailers do not change it.
  void TakeHead();
  bool ReadMore(Yield yield);
  // When the wait for the next bytes ends.
  TimePoint ReadLimit(const HttpServerLimits& limits, TimePoint now) const;
  bool IsAwaitingRequest() const {
    return !parser_->got_some() && buffer_.size() == 0;
  }
  size_t NextReadBytes() const;
  // The memory held now.
  size_t HeldBytes() const;
  // Reserves `more` bytes, and pauses until there is room. Returns false if the
  // connection was refused.
  bool Reserve(Yield yield, size_t more);
  bool RefuseForMemory(Yield yield);
  void ContinueIfExpected(Yield yield);
  // Sends an error response, which promises that the request did not run.
  void Refuse(Yield yield, int status, std::string_view code);
  bool Handle(Yield yield);
  void SetPhase(ClientMemory::Phase phase);

  TimedSocket socket_;
  HttpServerState* server_state_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpRequest head_;            // Once the parser is done with the header.
  size_t head_bytes_ = 0;       // Memory of the head.
  size_t body_wire_bytes_ = 0;  // Parsed behind the head.
  TimePoint started_;           // When the first byte of the request arrived.
  TimePoint body_started_;      // Later by the pauses for memory.
  bool continue_sent_ = false;
  bool idle_ = false;
  std::optional<ClientMemory::Share> share_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_HTTP_SERVER_CONNECTION_H_
