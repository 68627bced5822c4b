// A TCP socket whose operations have a time limit.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_TIMED_SOCKET_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_TIMED_SOCKET_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string_view>

#include "limpethatch/connection/yield.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

// Used by one coroutine at a time, which may change between operations.
class TimedSocket {
 public:
  explicit TimedSocket(const boost::asio::any_io_executor& executor);

  boost::asio::ip::tcp::socket& socket() { return state_->socket; }

  // Sets TCP_NODELAY and makes operations that need not wait complete at once.
  std::error_code Configure();
  // kConnectFailed, or kDeadlineExceeded.
  std::error_code Connect(Yield yield,
                          const Endpoint& endpoint,
                          TimePoint deadline);
  // Bytes read; 0 at the peer's orderly end. kNoProgress once `limit` passes.
  Result<size_t> ReadSome(Yield yield,
                          boost::asio::mutable_buffer buffer,
                          TimePoint limit);
  // Writes all of `data`. `stall_timeout` counts from each byte that moved, and
  // `written` tells how many bytes the kernel took.
  std::error_code Write(Yield yield,
                        std::string_view data,
                        Duration stall_timeout,
                        size_t* written);

  // True if the peer has neither closed nor sent anything, without waiting.
  bool IsIdleAndOpen();
  // True if the peer has closed or the connection failed, without waiting.
  bool PeerDisconnected();
  // Makes the operation in progress return kCancelled; call it on the
  // coroutine's executor.
  void CancelOperation();
  void Close();

 private:
  struct State {
    explicit State(const boost::asio::any_io_executor& executor)
        : socket(executor) {}

    boost::asio::ip::tcp::socket socket;
    std::atomic<uint64_t> operation = 0;
  };
  class OperationDeadline;

  std::shared_ptr<State> state_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_TIMED_SOCKET_H_
