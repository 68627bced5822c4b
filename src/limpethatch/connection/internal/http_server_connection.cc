#include "limpethatch/connection/internal/http_server_connection.h"

#include <fmt/format.h>

#include <boost/beast/core/buffer_traits.hpp>
#include <exception>
#include <optional>

#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/internal/http_codec.h"
#include "limpethatch/process/log.h"

namespace limpethatch {
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr size_t kHeaderReadBytes = 8UL * 1024;
constexpr size_t kBodyReadBytes = 64UL * 1024;
// How long the peer's remaining bytes are read and discarded after an error
// response. Closing a socket with unread bytes resets the connection, so that
// the peer may lose the response.
constexpr Duration kLingerTime = std::chrono::milliseconds(500);

class Exchange : public HttpExchange {
 public:
  Exchange(HttpRequest request,
           Yield yield,
           TimedSocket* socket,
           const HttpServerState* server_state,
           bool keep_alive)
      : request_(std::move(request)),
        yield_(yield),
        socket_(socket),
        server_state_(server_state),
        keep_alive_(keep_alive) {}

  const HttpRequest& request() const override { return request_; }
  Yield yield() const override { return yield_; }

  std::error_code Respond(const HttpResponse& response) override {
    if (state_ != State::kUnanswered) {
      return HttpError::kWrongSequence;
    }
    const auto text =
        EncodeResponse(response, DecideKeepAlive(), request_.method == "HEAD");
    return text ? Write(text.value(), State::kComplete) : text.error();
  }

  std::error_code StartStream(int status, const HttpHeaders& headers) override {
    if (state_ != State::kUnanswered) {
      return HttpError::kWrongSequence;
    }
    const auto text = EncodeStreamHeader(status, headers, DecideKeepAlive());
    return text ? Write(text.value(), State::kStreaming) : text.error();
  }

  std::error_code WriteChunk(std::string_view chunk) override {
    if (state_ != State::kStreaming) {
      return HttpError::kWrongSequence;
    }
    // An empty chunk would end the chunked body.
    return chunk.empty() ? std::error_code()
                         : Write(EncodeChunk(chunk), State::kStreaming);
  }

  std::error_code FinishStream() override {
    if (state_ != State::kStreaming) {
      return HttpError::kWrongSequence;
    }
    return Write(EncodeLastChunk(), State::kComplete);
  }

  bool PeerDisconnected() override {
    return state_ == State::kFailed || socket_->PeerDisconnected();
  }

  bool MayReuseConnection() const {
    return state_ == State::kComplete && keep_alive_;
  }

 private:
  enum class State { kUnanswered, kStreaming, kComplete, kFailed };

  KeepAlive DecideKeepAlive() {
    keep_alive_ = keep_alive_ && !server_state_->draining;
    return keep_alive_ ? KeepAlive::kYes : KeepAlive::kNo;
  }

  std::error_code Write(std::string_view text, State next) {
    size_t written = 0;
    const std::error_code error = socket_->Write(
        yield_, text, server_state_->Limits().write_timeout, &written);
    state_ = error ? State::kFailed : next;
    return error;
  }

  HttpRequest request_;
  Yield yield_;
  TimedSocket* socket_;
  const HttpServerState* server_state_;
  bool keep_alive_;
  State state_ = State::kUnanswered;
};

class CountGuard {
 public:
  explicit CountGuard(std::atomic<size_t>* count) : count_(count) { ++*count_; }
  ~CountGuard() { --*count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;

 private:
  std::atomic<size_t>* count_;
};

}  // namespace

void HttpServerConnection::Serve(Yield yield) {
  bool reuse = true;
  while (reuse) {
    Parser parser;
    parser.eager(true);
    parser.header_limit(
        static_cast<uint32_t>(server_state_->Limits().max_header_bytes));
    parser.body_limit(server_state_->Limits().max_body_bytes);
    reuse = ReadRequest(yield, parser) && Handle(yield, parser);
  }
}

void HttpServerConnection::DrainIfIdle() {
  if (idle_) {
    socket_.CancelOperation();
  }
}

bool HttpServerConnection::ReadRequest(Yield yield, Parser& parser) {
  TimePoint started = Clock::now();
  bool continue_sent = false;
  while (true) {
    if (buffer_.size() > 0 && !ParseBuffered(yield, parser)) {
      return false;
    }
    if (parser.is_done()) {
      return true;
    }
    ContinueIfExpected(yield, parser, &continue_sent);
    const bool awaiting_request = !parser.got_some() && buffer_.size() == 0;
    if (!ReadMore(yield, parser, started)) {
      return false;
    }
    if (awaiting_request) {
      started = Clock::now();
    }
  }
}

bool HttpServerConnection::ParseBuffered(Yield yield, Parser& parser) {
  beast::error_code error;
  const size_t used = parser.put(buffer_.data(), error);
  buffer_.consume(used);
  if (!error || error == http::error::need_more) {
    return true;
  }
  if (error == http::error::header_limit) {
    Refuse(yield, 431, "header_too_large");
  } else if (error == http::error::body_limit) {
    Refuse(yield, 413, "body_too_large");
  } else {
    Refuse(yield, 400, "malformed_request");
  }
  return false;
}

bool HttpServerConnection::ReadMore(Yield yield,
                                    const Parser& parser,
                                    TimePoint started) {
  const HttpServerLimits limits = server_state_->Limits();
  const bool awaiting_request = !parser.got_some() && buffer_.size() == 0;
  const bool in_body = parser.is_header_done();
  const auto space =
      buffer_.prepare(in_body ? kBodyReadBytes : kHeaderReadBytes);
  const bool was_draining = server_state_->draining;
  TimePoint limit = started + limits.header_timeout;
  if (awaiting_request) {
    limit = Clock::now() +
            (was_draining ? limits.drain_idle_timeout : limits.idle_timeout);
  } else if (in_body) {
    limit = Clock::now() + limits.header_timeout;
  }
  idle_ = awaiting_request;
  const Result<size_t> size = socket_.ReadSome(yield, space, limit);
  idle_ = false;
  if (size && size.value() > 0) {
    buffer_.commit(size.value());
    return true;
  }
  if (size) {
    return false;
  }
  if (size.error() == HttpError::kCancelled && awaiting_request &&
      !was_draining) {
    return true;
  }
  if (size.error() == HttpError::kNoProgress && !awaiting_request) {
    Refuse(yield, 408, "request_timeout");
  }
  return false;
}

void HttpServerConnection::ContinueIfExpected(Yield yield,
                                              const Parser& parser,
                                              bool* continue_sent) {
  if (*continue_sent || !parser.is_header_done() ||
      !beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    return;
  }
  *continue_sent = true;
  size_t written = 0;
  socket_.Write(yield, "HTTP/1.1 100 Continue\r\n\r\n",
                server_state_->Limits().write_timeout, &written);
}

void HttpServerConnection::Refuse(Yield yield,
                                  int status,
                                  std::string_view code) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = fmt::format(
      R"({{"error":{{"code":"{0}","message":"{0}","ran":"not_run"}}}})", code);
  const auto text = EncodeResponse(response, KeepAlive::kNo, false);
  size_t written = 0;
  if (!text || socket_.Write(yield, text.value(),
                             server_state_->Limits().write_timeout, &written)) {
    return;
  }
  boost::system::error_code ignored;
  socket_.socket().shutdown(boost::asio::socket_base::shutdown_send, ignored);
  const TimePoint limit = Clock::now() + kLingerTime;
  bool more = true;
  while (more) {
    buffer_.clear();
    const auto discarded =
        socket_.ReadSome(yield, buffer_.prepare(kBodyReadBytes), limit);
    more = discarded && discarded.value() > 0;
  }
}

bool HttpServerConnection::Handle(Yield yield, Parser& parser) {
  const bool keep_alive = parser.keep_alive();
  Exchange exchange(DecodeRequest(parser.release()), yield, &socket_,
                    server_state_, keep_alive);
  const CountGuard active(&server_state_->active_requests);
  try {
    server_state_->handler(exchange);
  } catch (const std::exception& failure) {
    Log(LogLevel::kError, "handler_failed", {{"error", failure.what()}});
    return false;
  }
  return exchange.MayReuseConnection();
}

}  // namespace limpethatch
