#include "limpethatch/connection/internal/timed_socket.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

#include "limpethatch/connection/http_error.h"

namespace limpethatch {
namespace asio = boost::asio;
using boost::system::error_code;

// Cancels the socket's operations if `limit` passes during its lifetime. The
// operation number prevents a timer handler that is already queued from
// cancelling the next operation.
class TimedSocket::OperationDeadline {
 public:
  OperationDeadline(Yield yield,
                    const std::shared_ptr<State>& state,
                    TimePoint limit)
      : state_(state), timer_(yield.get_executor()) {
    if (limit == TimePoint::max()) {
      return;
    }
    timer_.expires_at(limit);
    const uint64_t operation = state->operation;
    timer_.async_wait([state, operation](error_code error) {
      if (!error && state->operation == operation) {
        ++state->operation;
        error_code ignored;
        state->socket.cancel(ignored);
      }
    });
    operation_ = operation;
  }

  ~OperationDeadline() { ++state_->operation; }

  OperationDeadline(const OperationDeadline&) = delete;
  OperationDeadline& operator=(const OperationDeadline&) = delete;

  bool passed() const { return state_->operation != operation_; }

 private:
  std::shared_ptr<State> state_;
  asio::steady_timer timer_;
  uint64_t operation_ = state_->operation;
};

namespace {

std::error_code ToHttpError(error_code error, bool limit_passed) {
  if (error == asio::error::operation_aborted) {
    return limit_passed ? HttpError::kNoProgress : HttpError::kCancelled;
  }
  return HttpError::kConnectionLost;
}

}  // namespace

TimedSocket::TimedSocket(const asio::any_io_executor& executor)
    : state_(std::make_shared<State>(executor)) {}

std::error_code TimedSocket::Configure() {
  error_code error;
  socket().non_blocking(true, error);
  if (!error) {
    socket().set_option(asio::ip::tcp::no_delay(true), error);
  }
  return error ? std::error_code(HttpError::kConnectionLost)
               : std::error_code();
}

std::error_code TimedSocket::Connect(Yield yield,
                                     const Endpoint& endpoint,
                                     TimePoint deadline) {
  error_code error;
  const auto address = asio::ip::make_address_v4(endpoint.host, error);
  if (error) {
    return HttpError::kConnectFailed;
  }
  const OperationDeadline limit(yield, state_, deadline);
  socket().async_connect({address, endpoint.port}, yield[error]);
  if (error) {
    return HttpError::kConnectFailed;
  }
  return Configure();
}

Result<size_t> TimedSocket::ReadSome(Yield yield,
                                     asio::mutable_buffer buffer,
                                     TimePoint limit_time) {
  error_code error;
  const OperationDeadline limit(yield, state_, limit_time);
  const size_t size =
      socket().async_read_some(asio::buffer(buffer), yield[error]);
  if (error == asio::error::eof) {
    return 0;
  }
  if (error) {
    return ToHttpError(error, limit.passed());
  }
  return size;
}

std::error_code TimedSocket::Write(Yield yield,
                                   std::string_view data,
                                   Duration stall_timeout,
                                   size_t* written) {
  while (!data.empty()) {
    error_code error;
    size_t size = socket().write_some(asio::buffer(data), error);
    bool limit_passed = false;
    if (error == asio::error::would_block) {
      error = {};
      const OperationDeadline limit(yield, state_,
                                    Clock::now() + stall_timeout);
      size = socket().async_write_some(asio::buffer(data), yield[error]);
      limit_passed = limit.passed();
    }
    *written += size;
    data.remove_prefix(size);
    if (error) {
      return ToHttpError(error, limit_passed);
    }
  }
  return {};
}

bool TimedSocket::IsIdleAndOpen() {
  char byte = 0;
  return recv(socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
             0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool TimedSocket::PeerDisconnected() {
  char byte = 0;
  const ssize_t size =
      recv(socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void TimedSocket::CancelOperation() {
  error_code ignored;
  socket().cancel(ignored);
}

void TimedSocket::Close() {
  error_code ignored;
  socket().close(ignored);
}

}  // namespace limpethatch
