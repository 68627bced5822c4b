// A TCP socket whose operations have time limits.
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

// Used by one coroutine at a time; different operations may come from different
// coroutines.
class TimedSocket {
 public:
  explicit TimedSocket(const boost::asio::any_io_executor& executor);

  boost::asio::ip::tcp::socket& socket() { return state_->socket; }

  // Sets TCP_NODELAY and non-blocking mode, so that operations which need not
  // wait complete at once. Error: HttpError::kConnectionLost.
  std::error_code Configure();
  // Error: HttpError::kConnectFailed, also if `deadline` passes, or an error of
  // Configure.
  std::error_code Connect(Yield yield,
                          const Endpoint& endpoint,
                          TimePoint deadline);
  // Returns the number of bytes read, or 0 once the peer has closed its side.
  // Errors: HttpError::kNoProgress once `limit` passes, kCancelled,
  // kConnectionLost.
  Result<size_t> ReadSome(Yield yield,
                          boost::asio::mutable_buffer buffer,
                          TimePoint limit);
  // Writes all of `data`. `stall_timeout` restarts whenever bytes are accepted.
  // Adds the number of bytes that the kernel accepted to `written`.
  std::error_code Write(Yield yield,
                        std::string_view data,
                        Duration stall_timeout,
                        size_t* written);

  // Returns true if the peer has neither closed nor sent anything. Does not
  // wait.
  bool IsIdleAndOpen();
  // Returns true if the peer has closed or the connection failed. Does not
  // wait.
  bool PeerDisconnected();
  // Makes the operation in progress return HttpError::kCancelled. Must be
  // called on the executor of the coroutine that waits in it.
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
