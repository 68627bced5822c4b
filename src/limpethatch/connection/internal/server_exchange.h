// One request of an HttpServer connection and its answer.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_SERVER_EXCHANGE_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_SERVER_EXCHANGE_H_

#include <string_view>

#include "limpethatch/connection/client_memory.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/internal/http_codec.h"
#include "limpethatch/connection/internal/http_server_connection.h"

namespace limpethatch {

class ServerExchange : public HttpExchange {
 public:
  // `share` may be null.
  ServerExchange(HttpRequest request,
                 Yield yield,
                 TimedSocket* socket,
                 const HttpServerState* server_state,
                 ClientMemory::Share* share,
                 bool keep_alive);

  const HttpRequest& request() const override { return request_; }
  Yield yield() const override { return yield_; }
  size_t spare_memory() const override;
  bool HoldMemory(size_t bytes) override;

  std::error_code Respond(const HttpResponse& response) override;
  std::error_code StartStream(int status, const HttpHeaders& headers) override;
  std::error_code WriteChunk(std::string_view chunk) override;
  std::error_code FinishStream() override;
  bool PeerDisconnected() override;

  bool MayReuseConnection() const {
    return state_ == State::kComplete && keep_alive_;
  }

 private:
  enum class State { kUnanswered, kStreaming, kComplete, kFailed };

  KeepAlive DecideKeepAlive();
  std::error_code Write(std::string_view text, State next);
  // Ends early if the peer reads more slowly than the limits allow.
  std::error_code WriteAtMinimumRate(std::string_view text);

  HttpRequest request_;
  Yield yield_;
  TimedSocket* socket_;
  const HttpServerState* server_state_;
  ClientMemory::Share* share_;
  bool keep_alive_;
  State state_ = State::kUnanswered;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_SERVER_EXCHANGE_H_
